package gauge

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// Row is the sums of one key over every window of Windows.
type Row struct {
	Key     Key
	Windows []Counts
	Causes  map[string]uint64
}

// Objective is what a route promises: LatencyShare of the whole answers come within LatencyRatio times the ideal, and
// SuccessShare of all requests get a whole answer or a true refusal; both are shares below 1, and 0 means that nothing is
// promised.
type Objective struct {
	LatencyRatio float64
	LatencyShare float64
	SuccessShare float64
}

// Rate is how fast a budget burns: 1 spends it exactly over the longest window.
type Rate struct {
	Window time.Duration
	Rate   float64
	Total  uint64
}

// Budget is the state of one promise of one key.
type Budget struct {
	Key Key
	// Objective is "within" or "whole".
	Objective string
	Target    float64
	// Left is the share of the budget that is left over the longest window; it is negative when overspent.
	Left  float64
	Rates []Rate
	// ExhaustedIn is how long until nothing is left at the rate of the last hour; 0 means already, negative means never.
	ExhaustedIn time.Duration
	// Alert is "page", "ticket" or empty.
	Alert  string
	Causes []Cause
}

// Cause is one reason with its count.
type Cause struct {
	Name  string
	Count uint64
}

// Burn rates that alert when both the long and the short window exceed them.
const (
	pageFast   = 14.4 // 1 h and 5 min
	pageSlow   = 6.0  // 6 h and 30 min
	ticketRate = 1.0  // 3 d and 6 h
	topCauses  = 3
)

func sortRows(rows []Row) {
	sort.Slice(rows, func(i, j int) bool { return less(rows[i].Key, rows[j].Key) })
}

func less(a, b Key) bool {
	if a.Route != b.Route {
		return a.Route < b.Route
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Domain < b.Domain
}

// Merge sums up rows of several processes by key.
func Merge(parts ...[]Row) []Row {
	byKey := make(map[Key]*Row)
	for _, part := range parts {
		for _, r := range part {
			merged, ok := byKey[r.Key]
			if !ok {
				merged = &Row{Key: r.Key, Windows: make([]Counts, len(Windows)), Causes: make(map[string]uint64)}
				byKey[r.Key] = merged
			}
			for i := range min(len(r.Windows), len(Windows)) {
				merged.Windows[i].add(r.Windows[i])
			}
			for c, n := range r.Causes {
				merged.Causes[c] += n
			}
		}
	}
	var out []Row
	for _, r := range byKey {
		out = append(out, *r)
	}
	sortRows(out)
	return out
}

// ComputeBudgets works out the state of every promise; objective returns what a route promises.
func ComputeBudgets(rows []Row, objective func(route string) Objective) []Budget {
	var out []Budget
	for _, r := range rows {
		o := objective(r.Key.Route)
		if o.LatencyShare > 0 {
			out = append(out, budget(r, "within", o.LatencyShare, func(c Counts) uint64 { return c.Slow }))
		}
		if o.SuccessShare > 0 {
			out = append(out, budget(r, "whole", o.SuccessShare, func(c Counts) uint64 { return c.Bad }))
		}
	}
	return out
}

func budget(r Row, promise string, target float64, bad func(Counts) uint64) Budget {
	b := Budget{Key: r.Key, Objective: promise, Target: target, Causes: top(r.Causes)}
	for i, w := range Windows {
		c := r.Windows[i]
		rate := 0.0
		if c.Total > 0 {
			rate = float64(bad(c)) / float64(c.Total) / (1 - target)
		}
		b.Rates = append(b.Rates, Rate{Window: w, Rate: rate, Total: c.Total})
	}
	b.Left = 1 - b.Rates[len(b.Rates)-1].Rate
	b.ExhaustedIn = untilSpent(b.Left, b.Rates[2].Rate)
	b.Alert = alert(b.Rates)
	return b
}

// untilSpent returns how long what is left lasts at a rate.
func untilSpent(left, rate float64) time.Duration {
	switch {
	case left <= 0:
		return 0
	case rate <= 0:
		return -1
	}
	longest := Windows[len(Windows)-1]
	return time.Duration(math.Min(left/rate, math.MaxInt32) * float64(longest))
}

func alert(r []Rate) string {
	switch {
	case r[2].Rate >= pageFast && r[0].Rate >= pageFast, r[3].Rate >= pageSlow && r[1].Rate >= pageSlow:
		return "page"
	case r[4].Rate >= ticketRate && r[3].Rate >= ticketRate:
		return "ticket"
	}
	return ""
}

func top(causes map[string]uint64) []Cause {
	var out []Cause
	for name, n := range causes {
		out = append(out, Cause{Name: name, Count: n})
	}
	slices.SortFunc(out, func(a, b Cause) int {
		if a.Count != b.Count {
			return int(b.Count) - int(a.Count)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out[:min(topCauses, len(out))]
}

// FormatBudgets returns the budgets as lines for people; missing names the processes whose counts are not in them.
func FormatBudgets(budgets []Budget, missing []string) string {
	var b strings.Builder
	if len(missing) > 0 {
		fmt.Fprintf(&b, "not counted, as they did not answer: %s\n", strings.Join(missing, ", "))
	}
	if len(budgets) == 0 {
		b.WriteString("no route with requests has an objective\n")
	}
	for _, x := range budgets {
		fmt.Fprintf(&b, "%s team=%s domain=%s %s %g%%: %.1f%% of the budget left, spent %s%s\n",
			x.Key.Route, orNone(x.Key.Team), x.Key.Domain, x.Objective, 100*x.Target, 100*x.Left, spentText(x.ExhaustedIn), alertText(x.Alert))
		for _, r := range x.Rates {
			fmt.Fprintf(&b, "  %-4s burn %.2f of %d requests\n", windowText(r.Window), r.Rate, r.Total)
		}
		for _, c := range x.Causes {
			fmt.Fprintf(&b, "  %s: %d\n", c.Name, c.Count)
		}
	}
	return b.String()
}

func orNone(team string) string {
	if team == "" {
		return "-"
	}
	return team
}

func spentText(d time.Duration) string {
	switch {
	case d == 0:
		return "already"
	case d < 0 || d > 10*Windows[len(Windows)-1]:
		return "not in sight"
	}
	return "in " + d.Round(time.Minute).String()
}

func alertText(alert string) string {
	if alert == "" {
		return ""
	}
	return " [" + alert + "]"
}

func windowText(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", int(d.Minutes()))
	}
	return fmt.Sprintf("%dh", int(d.Hours()))
}
