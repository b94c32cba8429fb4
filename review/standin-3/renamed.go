package main

import (
	"fmt"
	"time"
)

func init() { cases["renamed"] = renamed }

// configApply is config_apply_ms.
const configApply = 2000 * time.Millisecond

// renamed: while a job is at work, a configuration replaces its route by one of another name at the same host and prefix; then the
// caller cancels the job where it has handed it in. Without trouble the configuration changes a time-out.
func renamed(s *stage) error {
	if err := s.raise([]string{zones[0], zones[0], zones[1], zones[2]}, 2); err != nil {
		return err
	}
	h := s.entries()[0]
	id := newID()
	done := make(chan struct{})
	go func() {
		s.submit(h, id, 2, 8500*time.Millisecond, 10*time.Second)
		close(done)
	}()
	time.Sleep(300 * time.Millisecond)
	route, timeoutMs := "r-3hwrr6x", 2000
	if s.trouble {
		route, timeoutMs = "r-9n73hh2", 1500
	}
	if err := s.putConfig(9, route, timeoutMs); err != nil {
		return err
	}
	changed := time.Now()
	time.Sleep(configApply + 100*time.Millisecond)
	if !acknowledged(s.cancel(h, id)) {
		return fmt.Errorf("the cancelling was not acknowledged")
	}
	acked := time.Now()
	<-done
	time.Sleep(200 * time.Millisecond)
	gone := acked.Add(cancelMax + stopMax)
	if gone.Before(changed.Add(touch + stopMax)) {
		return fmt.Errorf("the configuration changed too late")
	}
	for _, r := range s.rec.runsOf(id) {
		if r.end.IsZero() || r.end.After(gone) {
			s.rec.broken("UNASKED: task %s ran on until %.1f s after the cancelling was acknowledged", r.task, r.end.Sub(acked).Seconds())
		}
	}
	return nil
}
