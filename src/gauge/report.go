package gauge

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// Row holds the counts of one key over each of Windows.
type Row struct {
	Key     Key
	Windows []Counts
	Causes  map[string]uint64
}

// Objective is the service-level objective of a route: the share LatencyShare of the complete answers takes at most
// LatencyRatio times the ideal latency, and the share SuccessShare of all requests gets a complete answer or a correct
// refusal. Both shares are below 1; 0 means no objective.
type Objective struct {
	LatencyRatio float64
	LatencyShare float64
	SuccessShare float64
}

// Rate is the burn rate of a budget over one window: at rate 1 the budget is used up exactly over the longest window.
type Rate struct {
	Window time.Duration
	Rate   float64
	Total  uint64
}

// Budget is the state of the error budget of one objective of one key.
type Budget struct {
	Key Key
	// Objective is "within" for latency or "whole" for success.
	Objective string
	Target    float64
	// Left is the remaining share of the budget over the longest window; it is negative when the budget is overspent.
	Left  float64
	Rates []Rate
	// ExhaustedIn is the time until the budget is used up at the burn rate of the last hour; 0 means that it is already
	// used up, a negative value means never.
	ExhaustedIn time.Duration
	// Alert is "page", "ticket" or empty.
	Alert  string
	Causes []Cause
}

// Cause is the number of requests that failed or were slow for one reason.
type Cause struct {
	Name  string
	Count uint64
}

// Burn-rate thresholds; an alert fires when both its long and its short window reach the threshold.
const (
	fastPageRate = 14.4 // 1 h and 5 min
	slowPageRate = 6.0  // 6 h and 30 min
	ticketRate   = 1.0  // 3 d and 6 h
	maxTopCauses = 3
)

func sortRows(rows []Row) {
	sort.Slice(rows, func(i, j int) bool { return keyLess(rows[i].Key, rows[j].Key) })
}

func keyLess(a, b Key) bool {
	if a.Route != b.Route {
		return a.Route < b.Route
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Domain < b.Domain
}

// Merge adds up the rows of several processes by key.
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

// ComputeBudgets returns the budgets of all objectives; objective returns the objective of a route.
func ComputeBudgets(rows []Row, objective func(route string) Objective) []Budget {
	var out []Budget
	for _, r := range rows {
		o := objective(r.Key.Route)
		if o.LatencyShare > 0 {
			out = append(out, computeBudget(r, "within", o.LatencyShare, func(c Counts) uint64 { return c.Slow }))
		}
		if o.SuccessShare > 0 {
			out = append(out, computeBudget(r, "whole", o.SuccessShare, func(c Counts) uint64 { return c.Bad }))
		}
	}
	return out
}

func computeBudget(r Row, promise string, target float64, bad func(Counts) uint64) Budget {
	b := Budget{Key: r.Key, Objective: promise, Target: target, Causes: topCauses(r.Causes)}
	for i, w := range Windows {
		c := r.Windows[i]
		rate := 0.0
		if c.Total > 0 {
			rate = float64(bad(c)) / float64(c.Total) / (1 - target)
		}
		b.Rates = append(b.Rates, Rate{Window: w, Rate: rate, Total: c.Total})
	}
	b.Left = 1 - b.Rates[len(b.Rates)-1].Rate
	b.ExhaustedIn = timeToExhaustion(b.Left, b.Rates[2].Rate)
	b.Alert = alertFor(b.Rates)
	return b
}

// timeToExhaustion returns how long the remaining share of a budget lasts at a burn rate.
func timeToExhaustion(left, rate float64) time.Duration {
	switch {
	case left <= 0:
		return 0
	case rate <= 0:
		return -1
	}
	longest := Windows[len(Windows)-1]
	return time.Duration(math.Min(left/rate, math.MaxInt32) * float64(longest))
}

func alertFor(r []Rate) string {
	switch {
	case r[2].Rate >= fastPageRate && r[0].Rate >= fastPageRate, r[3].Rate >= slowPageRate && r[1].Rate >= slowPageRate:
		return "page"
	case r[4].Rate >= ticketRate && r[3].Rate >= ticketRate:
		return "ticket"
	}
	return ""
}

func topCauses(causes map[string]uint64) []Cause {
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
	return out[:min(maxTopCauses, len(out))]
}

// FormatBudgets returns the budgets as human-readable text; missing lists the processes whose counts are not included.
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
			x.Key.Route, teamOrDash(x.Key.Team), x.Key.Domain, x.Objective, 100*x.Target, 100*x.Left, exhaustionText(x.ExhaustedIn), alertText(x.Alert))
		for _, r := range x.Rates {
			fmt.Fprintf(&b, "  %-4s burn %.2f of %d requests\n", windowText(r.Window), r.Rate, r.Total)
		}
		for _, c := range x.Causes {
			fmt.Fprintf(&b, "  %s: %d\n", c.Name, c.Count)
		}
	}
	return b.String()
}

func teamOrDash(team string) string {
	if team == "" {
		return "-"
	}
	return team
}

func exhaustionText(d time.Duration) string {
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
