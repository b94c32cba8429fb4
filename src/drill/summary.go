package drill

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is what a load came to.
type Summary struct {
	Sent, Done, Failed, NotRun, Unknown       int
	Twice, Partial, Crossed, Untrue, Reverted int
	P50, P99                                  time.Duration
	Mean, Ratio50, Ratio99, MessagesPerTask   float64
	// Keyed50 and Keyed99 are the quantiles of submissions with a key, Plain50 and Plain99 of those without.
	Keyed50, Keyed99, Plain50, Plain99 time.Duration
	// RefusalP99 is how long refusals took.
	RefusalP99 time.Duration
	// Broken describes each broken promise.
	Broken []string
	// Reasons counts why tasks of failed jobs were not done.
	Reasons map[string]int
	// Codes counts the reasons of everything that was not done.
	Codes map[string]int
	// NotDone describes everything that was not done, by its code.
	NotDone map[string][]string
}

// Passed reports whether every promise held.
func (s Summary) Passed() bool {
	return s.Twice == 0 && s.Partial == 0 && s.Crossed == 0 && s.Untrue == 0 && s.Reverted == 0
}

// String returns the summary line.
func (s Summary) String() string {
	return fmt.Sprintf("sent=%d done=%d failed=%d notrun=%d unknown=%d twice=%d partial=%d crossed=%d untrue=%d reverted=%d "+
		"p50=%.1f p99=%.1f mean=%.2f ratio50=%.2f ratio99=%.2f msgs=%.2f",
		s.Sent, s.Done, s.Failed, s.NotRun, s.Unknown, s.Twice, s.Partial, s.Crossed, s.Untrue, s.Reverted,
		milliseconds(s.P50), milliseconds(s.P99), s.Mean, s.Ratio50, s.Ratio99, s.MessagesPerTask)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	// ratioScale keeps three digits of a ratio in a whole number.
	ratioScale    = 1000
	histogramMax  = int64(10 * time.Minute / time.Microsecond)
	histogramSize = 3 // significant digits
)

// meter collects latencies and ratios; it is safe for concurrent use.
type meter struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	keyed    *hdrhistogram.Histogram
	plain    *hdrhistogram.Histogram
	ratio    *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
	ratioSum float64
	n        int
}

func newMeter() *meter {
	return &meter{
		latency: hdrhistogram.New(1, histogramMax, histogramSize),
		keyed:   hdrhistogram.New(1, histogramMax, histogramSize),
		plain:   hdrhistogram.New(1, histogramMax, histogramSize),
		ratio:   hdrhistogram.New(1, histogramMax, histogramSize),
		refusal: hdrhistogram.New(1, histogramMax, histogramSize),
	}
}

func (m *meter) done(took, ideal time.Duration, keyed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	part := m.plain
	if keyed {
		part = m.keyed
	}
	_ = part.RecordValue(max(1, took.Microseconds())) // values over the maximum are left out
	r := float64(took) / float64(max(ideal, time.Microsecond))
	_ = m.latency.RecordValue(max(1, took.Microseconds())) // values over the maximum are left out
	_ = m.ratio.RecordValue(int64(r * ratioScale))
	m.ratioSum += r
	m.n++
}

func (m *meter) refused(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.refusal.RecordValue(max(1, took.Microseconds())) // values over the maximum are left out
}

func (m *meter) fill(s *Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.P50, s.P99 = quantile(m.latency, 50), quantile(m.latency, 99)
	s.RefusalP99 = quantile(m.refusal, 99)
	s.Keyed50, s.Keyed99 = quantile(m.keyed, 50), quantile(m.keyed, 99)
	s.Plain50, s.Plain99 = quantile(m.plain, 50), quantile(m.plain, 99)
	s.Ratio50 = float64(m.ratio.ValueAtQuantile(50)) / ratioScale
	s.Ratio99 = float64(m.ratio.ValueAtQuantile(99)) / ratioScale
	if m.n > 0 {
		s.Mean = m.ratioSum / float64(m.n)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
