package berth

import (
	"container/list"
	"sort"
	"time"
)

// line holds the waiting tasks of one team, in the order they came.
type line struct {
	team   string
	weight float64
	tasks  *list.List
	// pass is the line's virtual time: the line with the least one is served next.
	pass float64
}

// waiting shares a pool's targets between the teams that wait, by weight.
//
// It follows C. Waldspurger, W. Weihl: "Stride Scheduling: Deterministic Proportional-Share Resource Management" (1995).
type waiting struct {
	lines map[string]*line
	n     int
	// now is the pass of the line that was served last; a line that comes back starts there.
	now float64
}

func newWaiting() *waiting { return &waiting{lines: make(map[string]*line)} }

func (w *waiting) len() int { return w.n }

func (w *waiting) push(k *task) {
	l, ok := w.lines[k.Team]
	if !ok {
		l = &line{team: k.Team, tasks: list.New(), pass: w.now}
		w.lines[k.Team] = l
	}
	l.weight = max(1, float64(k.Weight))
	k.element = l.tasks.PushBack(k)
	w.n++
}

func (w *waiting) remove(k *task) {
	l := w.lines[k.Team]
	l.tasks.Remove(k.element)
	k.element = nil
	w.n--
	if l.tasks.Len() == 0 {
		delete(w.lines, k.Team)
	}
}

// serve removes a task that starts, and charges its team for it.
func (w *waiting) serve(k *task) {
	l := w.lines[k.Team]
	w.now = max(w.now, l.pass)
	l.pass += 1 / l.weight
	w.remove(k)
}

// candidates returns the tasks to look at for a free target: those at the front of the lines, the one due first first,
// or the first few of a single line.
func (w *waiting) candidates(limit int) []*task {
	if len(w.lines) == 1 {
		for _, l := range w.lines {
			return l.front(limit)
		}
	}
	lines := make([]*line, 0, len(w.lines))
	for _, l := range w.lines {
		lines = append(lines, l)
	}
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].pass != lines[j].pass {
			return lines[i].pass < lines[j].pass
		}
		return lines[i].team < lines[j].team
	})
	var out []*task
	for _, l := range lines[:min(limit, len(lines))] {
		out = append(out, l.front(1)...)
	}
	return out
}

func (l *line) front(limit int) []*task {
	var out []*task
	for e := l.tasks.Front(); e != nil && len(out) < limit; e = e.Next() {
		out = append(out, e.Value.(*task))
	}
	return out
}

// ahead returns how many tasks are served before one more of a team.
func (w *waiting) ahead(team string, weight int) int {
	mine := 0
	total := max(1, float64(weight))
	for _, l := range w.lines {
		if l.team == team {
			mine = l.tasks.Len()
			continue
		}
		total += l.weight
	}
	fair := int(float64(mine+1) * total / max(1, float64(weight)))
	return min(w.n, fair-1)
}

// over returns the newest task of the team that waits with most for its weight, if that is more than one more of the
// team asked for would be.
func (w *waiting) over(team string, weight int) *task {
	mine := 1.0
	if l, ok := w.lines[team]; ok {
		mine += float64(l.tasks.Len())
	}
	most := mine / max(1, float64(weight))
	var longest *line
	for _, l := range w.lines {
		load := float64(l.tasks.Len()) / l.weight
		if l.team != team && (load > most || (load == most && longest != nil && l.team < longest.team)) {
			most = load
			longest = l
		}
	}
	if longest == nil {
		return nil
	}
	return longest.tasks.Back().Value.(*task)
}

// late returns every task whose deadline has passed.
func (w *waiting) late(now time.Time) []*task {
	var out []*task
	for _, l := range w.lines {
		for e := l.tasks.Front(); e != nil; e = e.Next() {
			if k := e.Value.(*task); !now.Before(k.Deadline) {
				out = append(out, k)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
