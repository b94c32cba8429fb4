package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cancelledJob cancels a job whose steps follow each other, and counts the tasks that begin later than cancel_ms after
// the response to the DELETE.
func cancelledJob(rec *record, trouble bool) (bool, string, error) {
	const cancelMs, stopMs = 3000, 50
	s, err := prepare(rec, 3, 3, 6, configuration(1, newRoute("r-3hwrr6x", "nony24.example", "/lohu930/")), 1)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	var mu sync.Mutex
	var begun []time.Time
	for _, m := range s.minions {
		m.onStart = func(*minion, string, int64) {
			mu.Lock()
			defer mu.Unlock()
			begun = append(begun, time.Now())
		}
	}
	steps := []step{newStep(4, 900)}
	for n := 1; n < 12; n++ {
		steps = append(steps, newStep(4, 900, n-1))
	}
	path := "/lohu930/" + jobID(1)
	answered := make(chan string, 1)
	go func() {
		rec.add("POST %s to %s", path, s.fronts[0].name)
		status, out := call(newClient(40*time.Second), http.MethodPost, s.fronts[0].callerURL()+path, "nony24.example", deadline(30*time.Second), job(900, steps...))
		rec.add("the POST gets %d %s", status, out)
		answered <- fmt.Sprintf("%d %s", status, strings.TrimSpace(out))
	}()
	time.Sleep(1500 * time.Millisecond)
	if !trouble {
		answer := <-answered
		if !strings.HasPrefix(answer, "200") {
			return false, "", fmt.Errorf("without a cancel the job gets %s", answer)
		}
		return false, "the job ran to its end: " + answer, nil
	}
	var cancelled time.Time
	for n := 0; cancelled.IsZero(); n++ {
		p := s.fronts[n%len(s.fronts)]
		status, out := call(newClient(time.Second), http.MethodDelete, p.callerURL()+path, "nony24.example", nil, nil)
		rec.add("DELETE %s to %s gets %d %s", path, p.name, status, out)
		if (status >= 200 && status < 300) || status == http.StatusGone {
			cancelled = time.Now()
		}
	}
	answer := <-answered
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range begun {
		if at.Sub(cancelled) > cancelMs*time.Millisecond {
			late++
		}
	}
	seen := fmt.Sprintf("%d of %d tasks began later than %d ms after the cancel was acknowledged; the POST got %s", late, len(begun), cancelMs, answer)
	return late > 0, seen, nil
}

// hostCase adds a route whose host has capital letters, and sends requests to it in the same spelling.
func hostCase(rec *record, trouble bool) (bool, string, error) {
	first := newRoute("r-3hwrr6x", "nony24.example", "/lohu930/")
	s, err := prepare(rec, 3, 3, 6, configuration(1, first), 1)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	host := "ficu95.example"
	if trouble {
		host = "Ficu95.example"
	}
	if err := s.put(configuration(3, first, newRoute("r-73d3zji", host, "/pufi791/")), 3, 10*time.Second); err != nil {
		return false, "", err
	}
	time.Sleep(3 * time.Second)
	missing := 0
	for n := range 12 {
		p := s.fronts[n%len(s.fronts)]
		status, out := call(newClient(2*time.Second), http.MethodPost, p.callerURL()+"/pufi791/"+jobID(n), host, deadline(1500*time.Millisecond), job(60, newStep(1, 60)))
		rec.add("POST to %s for host %s gets %d %s", p.name, host, status, out)
		if status == http.StatusNotFound {
			missing++
		}
	}
	return missing > 0, fmt.Sprintf("%d of 12 requests got 404, 3 s after the acknowledgement of their route", missing), nil
}
