package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// activity is what runs now, by task.
type activity struct {
	mu    sync.Mutex
	at    map[string]map[string]bool
	twice []string
}

func (a *activity) watch(m *minion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onStart = func(m *minion, task string, run int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.at[task] == nil {
			a.at[task] = make(map[string]bool)
		}
		for other := range a.at[task] {
			a.twice = append(a.twice, fmt.Sprintf("%s run %d begins on %s while it runs on %s", task, run, m.id, other))
			m.sys.rec.add("TWICE: %s", a.twice[len(a.twice)-1])
		}
		a.at[task][m.id] = true
	}
	m.onEnd = func(m *minion, task string, _ int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.at[task], m.id)
	}
}

// twiceAcrossCut has one start order in a zone that is cut off carried out late, with its minion out of reach for a while. The
// client comes back to another zone, where nobody knows of the order.
func twiceAcrossCut(rec *record, trouble bool) (bool, string, error) {
	const (
		// zoneCutFor and the others are within the largest figures of the site files.
		zoneCutFor = 6 * time.Second
		minionCut  = 2200 * time.Millisecond
		lateBy     = 3 * time.Second
		taskMs     = 1200
	)
	s, err := prepareWith(rec, 3, 3, 6, configuration(1, newRoute("r-3hwrr6x", "nony24.example", "/lohu930/")), 1, true, 0)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	a := &activity{at: make(map[string]map[string]bool)}
	zone := zones[2]
	l := &lateStart{after: lateBy, taken: make(chan struct{})}
	for _, m := range s.minions {
		a.watch(m)
	}
	if trouble {
		rec.add("%s is cut off from the other zones", zone)
		s.relays.cut.Store(&zone)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, m := range s.minions {
			if m.zone == zone {
				m.mu.Lock()
				m.late = l
				m.mu.Unlock()
			}
		}
		go func() {
			<-l.taken
			time.Sleep(minionCut)
			for _, m := range s.minions {
				m.mu.Lock()
				if m.cut {
					m.cut = false
					rec.add("%s is no longer cut off", m.id)
				}
				m.mu.Unlock()
			}
		}()
	}
	go func() {
		time.Sleep(zoneCutFor - 1500*time.Millisecond)
		s.relays.cut.Store(nil)
		rec.add("%s is no longer cut off", zone)
	}()
	body := job(taskMs, newStep(1, taskMs))
	outcome := ""
	for attempt, p := range []*process{s.fronts[2], s.fronts[1], s.fronts[0], s.fronts[1]} {
		status, out := call(newClient(1500*time.Millisecond), http.MethodPost, p.callerURL()+"/lohu930/"+jobID(1), "nony24.example", deadline(1500*time.Millisecond), body)
		rec.add("attempt %d at %s in %s gets %d %s", attempt+1, p.name, p.zone, status, out)
		outcome += fmt.Sprintf(" %d", status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendMs * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.twice) > 0, fmt.Sprintf("%d starts while the task ran elsewhere; the attempts got%s; %s", len(a.twice), outcome, strings.Join(a.twice, "; ")), nil
}
