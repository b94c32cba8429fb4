package berth

import (
	"container/list"
	"sort"
	"time"
)

// accountQueue holds the queued tasks of one client account, in order of arrival.
type accountQueue struct {
	team   string
	weight float64
	tasks  *list.List
	// pass is the virtual time of stride scheduling: the account with the lowest one is served next.
	pass float64
}

// fairQueue is the queue of a pool. It shares the targets between the waiting client accounts by weight.
//
// See C. Waldspurger, W. Weihl: "Stride Scheduling: Deterministic Proportional-Share Resource Management" (1995).
type fairQueue struct {
	accounts map[string]*accountQueue
	length   int
	// virtualTime is the pass of the account that was served last; an account that starts to wait again starts with it.
	virtualTime float64
}

func newFairQueue() *fairQueue { return &fairQueue{accounts: make(map[string]*accountQueue)} }

func (w *fairQueue) len() int { return w.length }

func (w *fairQueue) push(k *task) {
	l, ok := w.accounts[k.Team]
	if !ok {
		l = &accountQueue{team: k.Team, tasks: list.New(), pass: w.virtualTime}
		w.accounts[k.Team] = l
	}
	l.weight = max(1, float64(k.Weight))
	k.queueElement = l.tasks.PushBack(k)
	w.length++
}

func (w *fairQueue) remove(k *task) {
	l := w.accounts[k.Team]
	l.tasks.Remove(k.queueElement)
	k.queueElement = nil
	w.length--
	if l.tasks.Len() == 0 {
		delete(w.accounts, k.Team)
	}
}

// serve removes a task that starts, and advances the pass of its account.
func (w *fairQueue) serve(k *task) {
	l := w.accounts[k.Team]
	w.virtualTime = max(w.virtualTime, l.pass)
	l.pass += 1 / l.weight
	w.remove(k)
}

// candidates returns the tasks to check for a free target: the oldest task of each account in the order of their passes,
// or the first tasks of the only account.
func (w *fairQueue) candidates(limit int) []*task {
	if len(w.accounts) == 1 {
		for _, l := range w.accounts {
			return l.front(limit)
		}
	}
	lines := make([]*accountQueue, 0, len(w.accounts))
	for _, l := range w.accounts {
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

func (l *accountQueue) front(limit int) []*task {
	var out []*task
	for e := l.tasks.Front(); e != nil && len(out) < limit; e = e.Next() {
		out = append(out, e.Value.(*task))
	}
	return out
}

// countAhead returns how many queued tasks are served before a new one of an account.
func (w *fairQueue) countAhead(team string, weight int) int {
	mine := 0
	total := max(1, float64(weight))
	for _, l := range w.accounts {
		if l.team == team {
			mine = l.tasks.Len()
			continue
		}
		total += l.weight
	}
	fair := int(float64(mine+1) * total / max(1, float64(weight)))
	return min(w.length, fair-1)
}

// newestOverShare returns the newest task of the account with the most queued tasks for its weight, or nil if no account has more
// than the given one would have with one more task.
func (w *fairQueue) newestOverShare(team string, weight int) *task {
	mine := 1.0
	if l, ok := w.accounts[team]; ok {
		mine += float64(l.tasks.Len())
	}
	most := mine / max(1, float64(weight))
	var longest *accountQueue
	for _, l := range w.accounts {
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

// expired returns every queued task whose deadline has passed, ordered by id.
func (w *fairQueue) expired(now time.Time) []*task {
	var out []*task
	for _, l := range w.accounts {
		for e := l.tasks.Front(); e != nil; e = e.Next() {
			if k := e.Value.(*task); !now.Before(k.Deadline) {
				out = append(out, k)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
