// Standin plays the scenarios of the review against the project's own programs, as separate processes on loopback
// addresses. Exit code 1 means that the rule was broken, 0 that it held, 2 that the scenario could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// taskCPU is what each task of the scenarios asks for, in thousandths of a core; it is the mean of the Padma sheet.
const taskCPU = 14000

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario returns whether the rule was broken, and what was seen.
type scenario func(rec *record, trouble bool) (broken bool, seen string, err error)

var scenarios = map[string]scenario{
	"cancel":     cancelledJob,
	"host-case":  hostCase,
	"over-limit": overLimit,
	"twice-cut":  twiceAcrossCut,
	"thin-links": thinLinks,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec.add("scenario %s, disruption: %t", os.Args[1], trouble)
	broken, seen, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		rec.add("BROKEN: %s", seen)
		fmt.Println("broken:", seen)
		os.Exit(exitBroken)
	}
	rec.add("held: %s", seen)
	fmt.Println("held:", seen)
}

type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
	Stretch  float64 `json:"stretch"`
}

func newRoute(name, host, prefix string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: "unsafe", Timeout: 1500, Target: 60, Service: "huvo11a", Attempts: 2, Stretch: 1.6,
	}
}

// configuration is written as the pages show it.
func configuration(version int, routes ...route) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/health", "connection_limit": 64, "protocol": "h1", "tls_enabled": false,
			"admission_control": true, "spare": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	return b
}

// unguarded says of the minions that they start whatever they are told.
func unguarded(config []byte) []byte {
	return bytes.Replace(config, []byte(`"admission_control":true`), []byte(`"admission_control":false`), 1)
}

type step struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Memory   int   `json:"requested_memory_mb"`
	Estimate int   `json:"estimated_duration_ms"`
	After    []int `json:"depends_on,omitempty"`
}

func newStep(count, ms int, after ...int) step {
	return step{Count: count, CPU: taskCPU, Memory: 64, Estimate: ms, After: after}
}

// job is a best-effort job of tasks that take ms each.
func job(ms int, steps ...step) []byte {
	b, _ := json.Marshal(map[string]any{"task_spec": fmt.Sprint(ms), "steps": steps, "best_effort": true})
	return b
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

func deadline(d time.Duration) map[string]string {
	return map[string]string{"X-Deadline-Ms": fmt.Sprint(d.Milliseconds())}
}

// prepare starts a deployment, its minions spread over the zones, and puts the first configuration.
func prepare(rec *record, cores, fronts, minions int, config []byte, version int) (*system, error) {
	return prepareWith(rec, cores, fronts, minions, config, version, false, 0)
}

// prepareWith does the same with relays between the processes, if relayed; the entry hosts' links carry frontMbps, if that is not 0.
func prepareWith(rec *record, cores, fronts, minions int, config []byte, version int, relayed bool, frontMbps float64) (*system, error) {
	s, err := newSystem(rec, cores, fronts)
	if err != nil {
		return nil, err
	}
	if relayed {
		if err := s.useRelays(frontMbps); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.startAll(); err != nil {
		s.stop()
		return nil, err
	}
	for i := range minions {
		if _, err := s.addMinion(fmt.Sprintf("i-%08x", 0x7f3a9000+i), "huvo11a", zones[i%len(zones)], 100+i, 32000,
			[]string{"a", fmt.Sprintf("r1-%d", i%len(zones))}); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.put(config, version, 10*time.Second); err != nil {
		s.stop()
		return nil, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		s.stop()
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return s, nil
}
