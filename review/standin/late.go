package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateStart has the next start order get no answer and be carried out later; its time counts from its arrival then.
type lateStart struct {
	after time.Duration
	used  atomic.Bool
	taken chan struct{}
}

// carryOutLater carries an order out once a while has passed, as if it arrived then.
func (m *minion) carryOutLater(path string, o order, after time.Duration) {
	length := o.Deadline - m.clock()
	m.sys.rec.add("%s leaves %s %s run %d unanswered", m.id, path, o.Task, o.Run)
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		o.Deadline = m.clock() + length
		m.sys.rec.add("%s carries out late: %s %s run %d", m.id, path, o.Task, o.Run)
		m.obey(discard{m, o}, path, o)
	})
}

// discard takes the answer to an order that nobody waits for any more.
type discard struct {
	m *minion
	o order
}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(status int) {
	d.m.sys.rec.add("%s refuses the late order %s: %d", d.m.id, d.o.Task, status)
}

// Of the orders to a minion one start is carried out late, and the minion is cut off right after that.
const (
	lateAfter = 9 * time.Second
	cutFor    = 4 * time.Second
)

// overLimit loads minions that do not guard their capacity. One start is left unanswered and carried out 9 s later, and its
// minion is cut off for 4 s meanwhile; then a start must not bring it over its capacity.
func overLimit(rec *record, trouble bool) (bool, string, error) {
	const loadFor = 30 * time.Second
	s, err := prepare(rec, 3, 3, 6, unguarded(configuration(1, newRoute("r-3hwrr6x", "nony24.example", "/lohu930/"))), 1)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	var over atomic.Int64
	for _, m := range s.minions {
		m.mu.Lock()
		m.guards = false
		m.onStart = func(m *minion, task string, run int64) {
			if used := int64(len(m.runs)) * taskCPU; used > m.cpu {
				over.Add(1)
				rec.add("OVER: %s run %d brings %s to %d of %d", task, run, m.id, used, m.cpu)
			}
		}
		m.mu.Unlock()
	}
	var wg sync.WaitGroup
	var served atomic.Int64
	begin := time.Now()
	if trouble {
		wg.Go(func() { s.minions[0].loseStartAndCut(4 * time.Second) })
	}
	jobs := 0
	for ; time.Since(begin) < loadFor; jobs++ {
		n := jobs
		wg.Go(func() {
			if s.submitUntilAnswered(n, job(500, newStep(2, 500))) == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	return over.Load() > 0, fmt.Sprintf("%d starts brought a minion over its capacity; %d of %d jobs served", over.Load(), served.Load(), jobs), nil
}

// loseStartAndCut leaves one start unanswered, to be carried out later, and cuts the minion off from then on.
func (m *minion) loseStartAndCut(wait time.Duration) {
	time.Sleep(wait)
	l := &lateStart{after: lateAfter, taken: make(chan struct{})}
	m.mu.Lock()
	m.late = l
	m.mu.Unlock()
	<-l.taken
	time.Sleep(cutFor)
	m.mu.Lock()
	m.cut = false
	m.mu.Unlock()
	m.sys.rec.add("%s is no longer cut off", m.id)
}

// submitUntilAnswered hands a job in again after each attempt without a clear answer, as clients do.
func (s *system) submitUntilAnswered(n int, body []byte) int {
	for attempt := range 4 {
		p := s.fronts[(n+attempt)%len(s.fronts)]
		status, _ := call(newClient(1500*time.Millisecond), http.MethodPost, p.callerURL()+"/lohu930/"+jobID(n), "nony24.example", deadline(1500*time.Millisecond), body)
		s.rec.add("attempt %d of job %s at %s gets %d", attempt+1, jobID(n), p.name, status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(resendMs * time.Millisecond)
	}
	return 0
}
