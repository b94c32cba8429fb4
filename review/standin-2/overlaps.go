package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// overlaps returns the runs of one task that were at work at the same time, of jobs whose id begins with a prefix.
func overlaps(y *yard, prefix string) []string {
	byTask := make(map[string][]span)
	for _, r := range y.spans() {
		if strings.HasPrefix(r.task, prefix) {
			byTask[r.task] = append(byTask[r.task], r)
		}
	}
	var out []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b span) int { return a.began.Compare(b.began) })
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			if before.end.IsZero() || before.end.After(next.began) {
				end := before.end
				if next.end.Before(end) {
					end = next.end
				}
				out = append(out, fmt.Sprintf("%s run %d on %s and run %d on %s are at work at once, for %s",
					task, before.run, before.minion, next.run, next.minion, end.Sub(next.began).Round(time.Millisecond)))
			}
		}
	}
	return out
}
