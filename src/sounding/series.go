package sounding

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Error is the class of this package's errors.
var Error = errs.Class("sounding")

// Point is one measurement at a size.
type Point struct {
	Size  float64
	Value float64
}

// Series is one quantity measured at several sizes, with a line fitted to it.
type Series struct {
	Name     string
	Unit     string
	SizeUnit string
	Points   []Point
	// Base and Slope are the fitted line, Deviation is the standard error of the slope.
	Base      float64
	Slope     float64
	Deviation float64
}

// fit puts a line through the points by least squares.
func (s *Series) fit() {
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
	}
	s.Base, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	n := float64(len(xs))
	if n < 3 {
		return
	}
	mean := stat.Mean(xs, nil)
	var residual, spread float64
	for i := range xs {
		r := ys[i] - s.Base - s.Slope*xs[i]
		residual += r * r
		spread += (xs[i] - mean) * (xs[i] - mean)
	}
	s.Deviation = math.Sqrt(residual / (n - 2) / spread)
}

// String returns the fitted line with its error.
func (s Series) String() string {
	return fmt.Sprintf("%-22s %12.4g %s + %.4g (±%.2g) %s per %s", s.Name, s.Base, s.Unit, s.Slope, s.Deviation, s.Unit, s.SizeUnit)
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// grown returns the bytes that what make returns holds.
func grown(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return after - before
}

// micros returns the microseconds that one of n calls of f takes.
func micros(n int, f func(i int)) float64 {
	began := time.Now()
	for i := range n {
		f(i)
	}
	return float64(time.Since(began).Nanoseconds()) / float64(n) / float64(time.Microsecond)
}

func measure(name, unit, per string, sizes []int, at func(n int) float64) Series {
	s := Series{Name: name, Unit: unit, SizeUnit: per}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{Size: float64(n), Value: at(n)})
	}
	s.fit()
	return s
}

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WriteReport puts the points of every series and a picture of each into a folder.
func WriteReport(folder string, all []Series) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	var data strings.Builder
	data.WriteString("series\tsize\tvalue\tunit\n")
	for _, s := range all {
		for _, p := range s.Points {
			fmt.Fprintf(&data, "%s\t%g\t%g\t%s\n", s.Name, p.Size, p.Value, s.Unit)
		}
		if err := draw(folder, s); err != nil {
			return err
		}
	}
	return Error.Wrap(os.WriteFile(filepath.Join(folder, "points.tsv"), []byte(data.String()), 0o644))
}

func draw(folder string, s Series) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.SizeUnit
	p.Y.Label.Text = s.Unit
	var points plotter.XYs
	for _, v := range s.Points {
		points = append(points, plotter.XY{X: v.Size, Y: v.Value})
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return Error.Wrap(err)
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.Base + s.Slope*x })
	p.Add(dots, line)
	return Error.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(folder, s.Name+".png")))
}
