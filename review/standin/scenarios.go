package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// largeConfig grows the configuration by many routes several times, changes it a few times more, and kills all registry
// processes at the same moment. Their disks are kept, so the newest acknowledged configuration must be read back.
func largeConfig(rec *record, trouble bool) (bool, string, error) {
	grownBy, times, changes := envInt("ROUTES", 1400), envInt("TIMES", 12), envInt("CHANGES", 8)
	routes := []route{newRoute("r-3hwrr6x", "nony24.example", "/lohu930/")}
	s, err := prepare(rec, 3, 1, 0, configuration(1, routes...), 1)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	version, acked, unclear := 1, 1, 0
	for n := range times + changes {
		if n < times {
			for range grownBy {
				k := len(routes)
				routes = append(routes, newRoute(fmt.Sprintf("r-%07d", k), "nony24.example", fmt.Sprintf("/pu%05d/", k)))
			}
		}
		routes[0].Timeout = 1500 + n
		version += 2
		body := configuration(version, routes...)
		rec.add("configuration %d has %d routes and %d bytes", version, len(routes), len(body))
		if err := s.put(body, version, 15*time.Second); err != nil {
			rec.add("%v", err)
			unclear++
		} else {
			acked = version
		}
		if time.Since(rec.begun) > changesFor {
			break
		}
	}
	for _, p := range s.cores {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		for _, l := range strings.Split(string(b), "\n") {
			if strings.HasPrefix(l, "VmHWM") || strings.HasPrefix(l, "VmRSS") {
				rec.add("%s %s", p.name, l)
			}
		}
	}
	if trouble {
		for _, p := range s.cores {
			s.signal(p, syscall.SIGKILL)
		}
		for _, p := range s.cores {
			<-p.exited
			rec.add("journal of %s: %s", p.name, s.filesOf(p))
		}
		time.Sleep(500 * time.Millisecond)
		for _, p := range s.cores {
			if err := s.start(p); err != nil {
				return false, "", err
			}
		}
	}
	got, where := 0, ""
	until := time.Now().Add(readBackFor)
	for time.Now().Before(until) {
		if got, where = s.get(); got >= acked {
			break
		}
		time.Sleep(time.Second)
	}
	rec.add("read back: version %d from %q", got, where)
	for _, p := range s.cores {
		rec.add("%s runs: %t; files: %s; its last lines:\n%s", p.name, p.running(), s.filesOf(p), s.logOf(p, 8))
	}
	if got < acked {
		return true, fmt.Sprintf("configuration %d was acknowledged; %s after the restart the operator reads back version %d (0: none)", acked, readBackFor, got), nil
	}
	return false, fmt.Sprintf("configuration %d was acknowledged and %d is read back; %d changes got no clear answer", acked, got, unclear), nil
}

// changesFor bounds how long changes are sent.
const changesFor = 55 * time.Second

// readBackFor is longer than recovery_s, which is 12 on the small deployments and 15 on the grown ones.
const readBackFor = 25 * time.Second

// filesOf lists the files in the data folder of a process.
func (s *system) filesOf(p *process) string {
	entries, _ := os.ReadDir(filepath.Join(s.dir, p.name))
	var out []string
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			out = append(out, fmt.Sprintf("%s %d bytes", e.Name(), info.Size()))
		}
	}
	return strings.Join(out, ", ")
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

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

// drainQueued stops an entry host as planned while jobs wait for room, and looks whether each caller gets an answer.
func drainQueued(rec *record, trouble bool) (bool, string, error) {
	s, err := prepare(rec, 3, 3, 3, configuration(1, newRoute("r-3hwrr6x", "nony24.example", "/lohu930/")), 1)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	results := make(chan int, 1000)
	jobs := envInt("JOBS", 300)
	for n := range jobs {
		go func() {
			status, out := call(newClient(25*time.Second), http.MethodPost, s.fronts[0].callerURL()+"/lohu930/"+jobID(n), "nony24.example",
				deadline(20*time.Second), job(3000, newStep(4, 3000)))
			rec.add("job %d at %s gets %d %s", n, s.fronts[0].name, status, out)
			results <- status
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		s.signal(s.fronts[0], syscall.SIGTERM)
	}
	counts := make(map[int]int)
	for range jobs {
		counts[<-results]++
	}
	return counts[0] > 0, fmt.Sprintf("%d of %d callers got no complete answer; %v", counts[0], jobs, counts), nil
}
