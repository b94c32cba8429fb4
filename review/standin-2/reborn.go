package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["reborn"] = reborn }

// reborn lets minions crash and start again under their ids, as another kind, while tasks wait that need the former kind. A minion
// announces itself as soon as it has started.
func reborn(d *deployment, trouble bool) verdict {
	const (
		perZone, perRound, rounds = 14, 2, 3
		slots                     = 2
		need                      = "b"
	)
	s, err := startSystem(d, 1, perZone, slots*1000)
	if err != nil {
		return verdict{err: err}
	}
	// The clients together have half as many jobs again as fit.
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	stop := make(chan struct{})
	body := encode(job{
		Spec: "1000 boats", BestEffort: true, Steps: []step{{Count: 1, CPU: 1000, Memory: 64, Estimate: 1000, Label: need}},
	})
	for c := range len(zones) * perZone * slots * 3 / 2 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%08x%08x", 0xb000+c, n)
				r := submit(context.Background(), d.record, s.front[c%len(s.front)], id, body, 4*time.Second)
				mu.Lock()
				sent++
				if r.status == 200 {
					served++
				}
				mu.Unlock()
				if r.status != 200 {
					time.Sleep(resendInterval)
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for round := range rounds {
			var wg sync.WaitGroup
			for z := range zones {
				for k := range perRound {
					wg.Add(1)
					go func() {
						defer wg.Done()
						down := 3120*time.Millisecond + time.Duration(6*((round+z+3*k)%6))*time.Millisecond
						s.yard.restartAs(s.yard.all[z*perZone+round*perRound+k], down, "a")
					}()
				}
			}
			wg.Wait()
			time.Sleep(500 * time.Millisecond)
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	close(stop)
	clients.Wait()
	var broken []string
	for _, run := range s.yard.spans() {
		if strings.HasPrefix(run.task, "0000b") && !slices.Contains(run.labels, need) {
			broken = append(broken, fmt.Sprintf("%s run %d, which needs label %s, starts on %s, which has %v", run.task, run.run, need, run.minion, run.labels))
		}
	}
	if !trouble && served < sent/2 {
		return verdict{err: fmt.Errorf("%d of %d jobs are served without trouble", served, sent)}
	}
	return verdict{broken: broken}
}
