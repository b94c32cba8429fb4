package sesamecleat

import (
	"encoding/json"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"sesamecleat/src/drill"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

type burnReport struct {
	Budgets []struct {
		Route   string  `json:"route"`
		Team    string  `json:"team"`
		Domain  string  `json:"domain"`
		Promise string  `json:"promise"`
		Left    float64 `json:"left"`
	} `json:"budgets"`
}

func runBurn(c *command, args []string) int {
	api := c.flags.String("api", defaultAPI, "address of an entry host")
	asJSON := c.flags.Bool("json", false, "print JSON")
	picture := c.flags.String("plot", "", "file for a picture of the budgets left; its ending names the form, such as .png or .svg")
	t, code, ok := c.reader(args, api)
	if !ok {
		return code
	}
	path := "/v1/burn"
	if *asJSON {
		path += "?format=json"
	}
	r, code := t.fetch(path)
	if code != ExitOK {
		return code
	}
	fmt.Fprintf(c.stdout, "%s", r.Body)
	if *picture == "" {
		return ExitOK
	}
	if r, code = t.fetch("/v1/burn?format=json"); code != ExitOK {
		return code
	}
	if err := plotBurn(r.Body, *picture); err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

// plotBurn draws the share of each budget that is left.
func plotBurn(report []byte, file string) error {
	var burn burnReport
	if err := json.Unmarshal(report, &burn); err != nil {
		return drill.Error.Wrap(err)
	}
	var values plotter.Values
	var names []string
	for _, b := range burn.Budgets {
		values = append(values, 100*b.Left)
		names = append(names, b.Route+" "+b.Promise+"\n"+b.Domain+" "+b.Team)
	}
	if len(values) == 0 {
		return drill.Error.New("there is no budget to draw")
	}
	p := plot.New()
	p.Title.Text = "error budget left over 72 h"
	p.Y.Label.Text = "%"
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return drill.Error.Wrap(err)
	}
	p.Add(bars)
	p.NominalX(names...)
	return drill.Error.Wrap(p.Save(plotWidth, plotHeight, file))
}
