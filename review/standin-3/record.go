package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what clients and minions have seen; it is written to record.txt.
type record struct {
	mu    sync.Mutex
	out   *os.File
	epoch time.Time
	runs  []*runSeen
	wrong []string
}

// runSeen is a run as its minion has seen it.
type runSeen struct {
	job, task, minion string
	run               int64
	from              *host
	start, end        time.Time
	how               string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{out: f, epoch: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), format, args...)
}

func (r *record) write(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", at.Sub(r.epoch).Seconds(), fmt.Sprintf(format, args...))
}

// nameOf returns the name of a machine, if it is known.
func nameOf(h *host) string {
	if h == nil {
		return "an unknown process"
	}
	return h.name
}

func (r *record) began(m *minion, k runKey, from *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, _, _ := strings.Cut(k.task, ".")
	s := &runSeen{job: job, task: k.task, minion: m.id, run: k.run, from: from, start: time.Now()}
	r.runs = append(r.runs, s)
	r.write(s.start, "minion %s: task %s run %d begins, ordered by %s", s.minion, s.task, s.run, nameOf(from))
}

func (r *record) ended(m *minion, k runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.runs {
		if s.minion == m.id && s.task == k.task && s.run == k.run && s.end.IsZero() {
			s.end, s.how = time.Now(), how
		}
	}
	r.write(time.Now(), "minion %s: task %s run %d ends: %s", m.id, k.task, k.run, how)
}

// runsOf returns the runs of a job so far.
func (r *record) runsOf(job string) []runSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runSeen
	for _, s := range r.runs {
		if s.job == job {
			out = append(out, *s)
		}
	}
	return out
}

// broken notes that a rule was broken.
func (r *record) broken(format string, args ...any) {
	r.line("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
}
