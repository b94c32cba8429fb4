package main

import (
	"net/http"
	"time"
)

func init() { cases["twice"] = twice }

const (
	// The cut of a zone, that of a minion and the delay of an order are within the largest figures of the pages.
	zoneCutFor   = 6 * time.Second
	minionCutFor = 5 * time.Second
	lateBy       = 3 * time.Second
	jobDeadline  = 1500 * time.Millisecond
	twiceWork    = 1200 * time.Millisecond
)

// twice: in a zone that is cut off, a minion leaves a start unanswered, is cut off as well, and carries the start out late. The caller is
// answered at its deadline and comes back to another zone.
func twice(s *stage) error {
	s.relayed = true
	if err := s.raise(zones, 2); err != nil {
		return err
	}
	zone, e := zones[2], s.entries()
	if s.trouble {
		s.rec.line("%s is cut off from the other zones", zone)
		s.relays.cut.Store(&zone)
		time.AfterFunc(zoneCutFor, func() {
			s.relays.cut.Store(nil)
			s.rec.line("%s is no longer cut off", zone)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		armed := &lateOrder{minions: s.minions, zone: zone}
		for _, m := range s.minions {
			m.setLate(armed)
		}
	}
	id := newID()
	for _, h := range []*host{e[2], e[1], e[0], e[1]} {
		status, _ := s.submit(h, id, 1, twiceWork, jobDeadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resend)
	}
	time.Sleep(4 * time.Second)
	runs := s.rec.runsOf(id)
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.task == b.task && a.start.Before(b.end) && b.start.Before(a.end) {
				s.rec.broken("TWICE: task %s ran on minion %s and on minion %s at the same time", a.task, b.minion, a.minion)
			}
		}
	}
	return nil
}

// lateOrder has the first start that reaches a minion of a zone left without an answer and carried out late, with a lease that counts from
// then; the minion is cut off meanwhile.
type lateOrder struct {
	minions []*minion
	zone    string
	taken   bool
}

func (m *minion) setLate(l *lateOrder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.zone == l.zone {
		m.late = l
	}
}

// takeLate takes a start that is to be late and reports whether it did; m.mu is held.
func (m *minion) takeLate(path string, o order, from string) bool {
	l := m.late
	if l == nil || path != "/api/run-start" || l.taken {
		return false
	}
	l.taken = true
	m.cut = true
	m.rec.line("minion %s: leaves the start of task %s run %d without an answer and is cut off", m.id, o.Task, o.Run)
	lease := o.Deadline - m.clock()
	time.AfterFunc(lateBy, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		o.Deadline = m.clock() + lease
		m.obey(discard{}, path, o, from)
	})
	time.AfterFunc(minionCutFor, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.cut = false
		m.rec.line("minion %s: is no longer cut off", m.id)
	})
	return true
}

// discard is the answer to an order that nobody waits for any more.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
