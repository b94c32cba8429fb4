package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["frozen"] = frozen
	cases["restarted"] = restarted
	cases["woken"] = woken
}

// absence is a time in which a machine stood still, was stopped or not there.
type absence struct {
	h     *host
	until time.Time
}

// inTouch reports whether a machine counts as in touch: it has been there for touch_ms.
func (a absence) inTouch(h *host, at time.Time) bool {
	return h != nil && (a.h != h || at.After(a.until.Add(touch)))
}

// checkCancelled checks that a machine in touch starts nothing of a job later than cancel_ms after its cancelling was acknowledged, and
// that nothing of it runs on after cancel_ms and stop_timeout_ms of a stretch without any disruption in the touch_ms before.
func (s *stage) checkCancelled(id string, acked time.Time, away absence) {
	now := time.Now()
	calm := acked
	if away.until.After(calm) {
		calm = away.until
	}
	gone := calm.Add(touch + cancelMax + stopMax)
	for _, r := range s.rec.runsOf(id) {
		if r.start.After(acked.Add(cancelMax)) && away.inTouch(r.from, r.start) {
			s.rec.broken("UNASKED: task %s was started by %s %.1f s after the cancelling was acknowledged", r.task, r.from.name, r.start.Sub(acked).Seconds())
		}
		end := r.end
		if end.IsZero() {
			end = now
		}
		if r.start.Before(gone) && end.After(gone) {
			s.rec.broken("UNASKED: task %s still runs %.1f s after the cancelling was acknowledged", r.task, end.Sub(acked).Seconds())
		}
	}
}

// rounds is how often a case with a machine that stands still is repeated until a rule is broken: what comes first as the machine wakes
// up is a matter of chance.
const rounds = 5

// inRounds raises the deployment and plays a round on it, at most rounds times, with a calm stretch after each.
func (s *stage) inRounds(round func() error) error {
	if err := s.raise([]string{zones[0], zones[0], zones[1], zones[2]}, 2); err != nil {
		return err
	}
	for i := range rounds {
		s.rec.line("round %d", i+1)
		if err := round(); err != nil || len(s.rec.wrong) > 0 {
			return err
		}
		time.Sleep(touch + time.Second)
	}
	return nil
}

// callersOfCase is how many callers a case has at once, each with a job of its own.
const callersOfCase = 6

// frozen: jobs are handed in at an entry machine that stands still; the callers cancel them at another machine, and the first wakes up.
func frozen(s *stage) error { return s.inRounds(s.frozenRound) }

func (s *stage) frozenRound() error {
	e, other := s.entries()[1], s.entries()[2]
	if s.trouble {
		e.signal(syscall.SIGSTOP)
		s.rec.line("SIGSTOP to %s", e.name)
	}
	began := time.Now()
	var ids []string
	acked := make([]time.Time, callersOfCase)
	var posts, cancels sync.WaitGroup
	for i := range callersOfCase {
		id := newID()
		ids = append(ids, id)
		posts.Go(func() {
			work := []time.Duration{3300 * time.Millisecond, 400 * time.Millisecond}
			s.submitSteps(e, id, []any{step(1, work[0]), step(1, work[1], 0)}, work, 10*time.Second)
		})
		cancels.Go(func() {
			for acked[i].IsZero() && time.Since(began) < 3*time.Second {
				time.Sleep(400 * time.Millisecond)
				if acknowledged(s.cancel(other, id)) {
					acked[i] = time.Now()
				}
			}
		})
	}
	cancels.Wait()
	time.Sleep(time.Until(began.Add(3500 * time.Millisecond)))
	if s.trouble {
		e.signal(syscall.SIGCONT)
		s.rec.line("SIGCONT to %s", e.name)
	}
	woken := time.Now()
	posts.Wait()
	time.Sleep(time.Second)
	for i, id := range ids {
		if acked[i].IsZero() {
			return fmt.Errorf("the cancelling of %s was not acknowledged", id)
		}
		s.checkCancelled(id, acked[i], absence{h: e, until: woken})
	}
	return nil
}

// restarted: a job is cancelled, an entry machine restarts as planned, and a late copy of the job's request arrives there.
func restarted(s *stage) error {
	if err := s.raise([]string{zones[0], zones[0], zones[1], zones[2]}, 2); err != nil {
		return err
	}
	a, c := s.entries()[0], s.entries()[3]
	id := newID()
	done := make(chan int, 1)
	go func() {
		status, _ := s.submit(a, id, 2, 1500*time.Millisecond, 4*time.Second)
		done <- status
	}()
	time.Sleep(500 * time.Millisecond)
	if !acknowledged(s.cancel(a, id)) {
		return fmt.Errorf("the cancelling was not acknowledged")
	}
	acked := time.Now()
	<-done
	if s.trouble {
		s.rec.line("SIGTERM to %s", c.name)
		c.signal(syscall.SIGTERM)
		<-c.ended
		s.rec.line("%s has ended and is started again", c.name)
		if err := s.start(c); err != nil {
			return err
		}
	}
	if err := s.awaitServing(c); err != nil {
		return err
	}
	up := time.Now()
	time.Sleep(touch + 500*time.Millisecond)
	s.rec.line("a late copy of the request arrives %.1f s after the cancelling was acknowledged", time.Since(acked).Seconds())
	s.submit(c, id, 2, 1500*time.Millisecond, 4*time.Second)
	s.checkCancelled(id, acked, absence{h: c, until: up})
	return nil
}

// woken: an entry machine stands still for a while; requests to cancel jobs of another machine wait for it meanwhile.
func woken(s *stage) error { return s.inRounds(s.wokenRound) }

func (s *stage) wokenRound() error {
	a, f := s.entries()[0], s.entries()[3]
	var ids []string
	acked := make([]time.Time, callersOfCase)
	var posts, cancels sync.WaitGroup
	var clients []*http.Client
	for range callersOfCase {
		id := newID()
		ids = append(ids, id)
		clients = append(clients, s.connect(f))
		posts.Go(func() { s.submit(a, id, 1, 8500*time.Millisecond, 10*time.Second) })
	}
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		f.signal(syscall.SIGSTOP)
		s.rec.line("SIGSTOP to %s", f.name)
	}
	time.Sleep(200 * time.Millisecond)
	for i, id := range ids {
		cancels.Go(func() {
			if acknowledged(s.cancelWith(clients[i], f, id)) {
				acked[i] = time.Now()
			}
		})
	}
	time.Sleep(1300 * time.Millisecond)
	if s.trouble {
		f.signal(syscall.SIGCONT)
		s.rec.line("SIGCONT to %s", f.name)
	}
	calm := time.Now()
	cancels.Wait()
	posts.Wait()
	time.Sleep(500 * time.Millisecond)
	for i, id := range ids {
		if !acked[i].IsZero() {
			s.checkCancelled(id, acked[i], absence{h: f, until: calm})
		}
	}
	return nil
}
