package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["killed"] = killed }

const (
	// lateShare and lateAfter are the dose of late orders: the share of the site, and a time of the 2 to 12 s that the pages give.
	lateShare = 0.055
	lateAfter = 2200 * time.Millisecond
	// dark is how long the entry host stays away; the site's own entry of this kind has 3.5 s.
	dark = 3500 * time.Millisecond
	// traffic is how long the entry host takes jobs before it is killed.
	traffic = 290 * time.Millisecond
	rounds  = 6
)

// killed kills the only frontend of a zone while minions of that zone leave some starts unanswered and carry them out later. Clients
// whose connection broke hand their jobs in again at a frontend of another zone.
func killed(d *deployment, trouble bool) verdict {
	s, err := startSystem(d, 1, 24, 16_000)
	if err != nil {
		return verdict{err: err}
	}
	var late atomic.Bool
	for _, m := range s.yard.all {
		if m.zone != zones[0] {
			continue
		}
		m.late = func(path string) (time.Duration, bool) {
			return lateAfter, late.Load() && strings.HasSuffix(path, "/run-start") && rand.Float64() < lateShare
		}
	}
	entry := s.front[0]
	body := encode(job{Spec: "1200 route", BestEffort: true, Steps: []step{{Count: 4, CPU: 4000, Memory: 64, Estimate: 1200}}})
	var broken []string
	for round := range rounds {
		late.Store(trouble)
		var clients sync.WaitGroup
		stop := time.After(traffic)
		ticker := time.NewTicker(25 * time.Millisecond)
	submitting:
		for n := 0; ; n++ {
			select {
			case <-stop:
				break submitting
			case <-ticker.C:
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id := fmt.Sprintf("%04x%012x", 0xf000+round, n)
				r := submit(context.Background(), d.record, entry, id, body, 4*time.Second)
				if r.status != 0 && r.status != 504 {
					return
				}
				time.Sleep(resendInterval)
				submit(context.Background(), d.record, s.front[1+n%2], id, body, 4*time.Second)
			}()
		}
		ticker.Stop()
		late.Store(false)
		if trouble {
			d.signal(entry, syscall.SIGKILL)
			<-entry.done
			time.Sleep(dark)
			entry.bootstrap = false
			if err := d.start(entry); err != nil {
				return verdict{err: err}
			}
		}
		clients.Wait()
		time.Sleep(6 * time.Second)
		broken = append(broken, overlaps(s.yard, "f")...)
		if len(broken) > 0 {
			break
		}
	}
	return verdict{broken: broken}
}
