package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["steps"] = steps }

const (
	// jobSteps is the number of steps of the job that is handed in, of one task each.
	jobSteps = 64
	stepWork = 30 * time.Millisecond
	grace    = 6 * time.Second
	// settled is how long after the job the ordinary jobs count, and measured for how long: every client that sends the job again has
	// done so at every entry machine by then.
	settled  = 45 * time.Second
	measured = 20 * time.Second
)

// stages returns the steps of a job whose steps form stages: each step of a stage names all steps of the stage before in depends_on.
func stages(width int) []any {
	var list []any
	for i := range jobSteps {
		var after []int
		for k := range width {
			if before := (i/width-1)*width + k; before >= 0 {
				after = append(after, before)
			}
		}
		list = append(list, step(1, stepWork, after...))
	}
	return list
}

// steps: one job of 64 steps in 16 stages is handed in, and sent again as long as it gets no answer; without trouble the same steps
// stand in two stages.
func steps(s *stage) error {
	if err := s.raise([]string{zones[0], zones[0], zones[1], zones[2]}, 2); err != nil {
		return err
	}
	width := jobSteps / 2
	if s.trouble {
		width = jobSteps / 16
	}
	list := stages(width)
	id := newID()
	quit := make(chan struct{})
	go func() {
		// The client sends its job again as the page on the wire says.
		for i := 0; ; i++ {
			status, _ := s.submitSteps(s.entries()[i%len(s.entries())], id, list, []time.Duration{stepWork}, 4*time.Second)
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				return
			}
			select {
			case <-time.After(resend):
			case <-quit:
				return
			}
		}
	}()
	served, sent := s.ordinary()
	close(quit)
	s.rec.line("of %d ordinary jobs that were handed in from %s after that on, %d were served", sent, settled, served)
	if served == 0 {
		s.rec.broken("Fault: none of %d ordinary jobs was served in %s, at entry machines that nothing has disturbed", sent, measured)
	}
	for _, h := range s.entries() {
		h.signal(syscall.SIGTERM)
	}
	last := time.After(grace)
	for _, h := range s.entries() {
		select {
		case <-h.ended:
			s.rec.line("%s has ended after its SIGTERM", h.name)
		case <-last:
			last = time.After(time.Millisecond)
			s.rec.broken("Fault: %s hangs: it has not ended %s after its SIGTERM", h.name, grace)
		}
	}
	return nil
}

// ordinary hands small jobs in at all entry machines for a while and returns how many of the last were served.
func (s *stage) ordinary() (served, sent int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for i := 0; time.Since(began) < settled+measured; i++ {
		h := s.entries()[i%len(s.entries())]
		wg.Go(func() {
			counts := time.Since(began) >= settled
			status, _ := s.submit(h, newID(), 1, 50*time.Millisecond, 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if counts {
				sent++
				if status == http.StatusOK {
					served++
				}
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	return served, sent
}
