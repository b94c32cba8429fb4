package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// minion is a sound worker: it announces itself, keeps leases and fences, and runs tasks as long as their text says.
type minion struct {
	id, zone, addr string
	capacity       int
	f              *fleet
	rec            *record
	server         *http.Server
	began          time.Time
	born           int64

	mu       sync.Mutex
	state    string
	sequence int
	token    int64
	lease    int64
	runs     map[runKey]*minionRun
	used     int
	ends     [][]any
	number   int64
	top      map[string]int64
	changed  chan struct{}
	quit     chan struct{}
	next     int
	// cut says that nobody reaches the minion and that it reaches nobody; late is an order that it leaves without an answer.
	cut  bool
	late *lateOrder
	// acked is when a process last acknowledged a heartbeat that said that this minion drains.
	drainAcked time.Time
}

type runKey struct {
	task string
	run  int64
}

type minionRun struct {
	begun    time.Time
	length   time.Duration
	timer    *time.Timer
	stopping bool
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Acked    int64  `json:"last_acked"`
	Wait     int64  `json:"wait_ms"`
}

// taskCPU is what each task of a case takes of a minion, in thousandths of a core, as on the sheet.
const (
	taskCPU   = 14000
	minionCPU = 32000
)

func startMinion(f *fleet, rec *record, n int, zone string) (*minion, error) {
	m := &minion{
		id: fmt.Sprintf("i-%08x", n+1), zone: zone, capacity: minionCPU, f: f, rec: rec, began: time.Now(), born: time.Now().UnixMilli(),
		state: "ready", runs: map[runKey]*minionRun{}, top: map[string]int64{}, changed: make(chan struct{}), quit: make(chan struct{}), next: n,
	}
	l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:0", f.net, 101+n))
	if err != nil {
		return nil, err
	}
	m.addr = l.Addr().String()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }() // ends with the minion
	go m.announceLoop()
	go m.lapseLoop()
	return m, nil
}

func (m *minion) close() {
	close(m.quit)
	_ = m.server.Close()
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() }

func (m *minion) announceLoop() {
	for {
		m.announce()
		select {
		case <-time.After(beat):
		case <-m.quit:
			return
		}
	}
}

// announce sends a heartbeat to one process after the other until one acknowledges it.
func (m *minion) announce() {
	m.mu.Lock()
	if m.cut {
		m.mu.Unlock()
		return
	}
	m.sequence++
	draining := m.state == "draining"
	body := map[string]any{
		"service": service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": m.capacity, "requested_memory_mb": 131072, "gpu_count": 0},
		"labels":   []string{"a", "r1-1"}, "clock_ms": m.clock(), "sequence": m.sequence, "born": m.born,
	}
	m.mu.Unlock()
	b, _ := json.Marshal(body) // holds nothing that cannot be encoded
	cores := m.f.cores()
	for range cores {
		c := cores[m.next%len(cores)]
		status, _ := call(http.MethodPut, "http://"+m.f.control(c)+"/api/instances/"+m.id, "", b, time.Second, 0)
		if status == http.StatusOK {
			if draining {
				m.mu.Lock()
				if m.drainAcked.IsZero() {
					m.drainAcked = time.Now()
					m.rec.line("minion %s: %s acknowledged that it drains", m.id, c.name)
				}
				m.mu.Unlock()
			}
			return
		}
		m.next++
	}
}

func (m *minion) lapseLoop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.mu.Lock()
			m.lapse()
			m.mu.Unlock()
		case <-m.quit:
			return
		}
	}
}

// lapse ends everything once the lease has run out.
func (m *minion) lapse() {
	if m.clock() <= m.lease {
		return
	}
	for k := range m.runs {
		m.end(k, "lapsed")
	}
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut || m.takeLate(r.URL.Path, o, r.RemoteAddr) {
		// Nothing is answered as long as the caller waits.
		m.mu.Unlock()
		<-r.Context().Done()
		m.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	m.obey(w, r.URL.Path, o, r.RemoteAddr)
}

// obey carries an order out unless a higher token has been seen; m.mu is held.
func (m *minion) obey(w http.ResponseWriter, path string, o order, from string) {
	if o.Token < m.token {
		m.conflict(w, "fence")
		return
	}
	m.token = o.Token
	m.lapse()
	switch path {
	case "/api/run-start":
		m.start(w, o, from)
	case "/api/run-stop":
		m.stop(w, o)
	case "/api/hold":
		m.hold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock(), m.born
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone asks again
}

func (m *minion) conflict(w http.ResponseWriter, reason string) {
	m.reply(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (m *minion) renew(deadline int64) { m.lease = max(m.lease, min(deadline, m.clock()+maxHold)) }

func (m *minion) start(w http.ResponseWriter, o order, from string) {
	if o.Deadline <= m.clock() {
		m.conflict(w, "late")
		return
	}
	m.renew(o.Deadline)
	k := runKey{o.Task, o.Run}
	if _, ok := m.runs[k]; ok {
		m.reply(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= m.top[o.Task] {
		m.conflict(w, "old")
		return
	}
	if m.used+taskCPU > m.capacity {
		m.conflict(w, "room")
		return
	}
	length, err := workOf(o.Task, o.Spec)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := &minionRun{begun: time.Now(), length: length}
	m.runs[k] = run
	m.used += taskCPU
	m.rec.began(m, k, m.f.hostOf(portOf(from)))
	m.endLater(k, run, run.length, "done")
	m.reply(w, http.StatusOK, map[string]any{})
}

// workOf returns how long a task works: its name has the form ID.K.STEP.INDEX, and the text names the milliseconds of each step.
func workOf(task, spec string) (time.Duration, error) {
	name, words := strings.Split(task, "."), strings.Fields(spec)
	var step, ms int
	if len(name) != 4 || len(words) < 2 {
		return 0, fmt.Errorf("task %q with text %q", task, spec)
	}
	if _, err := fmt.Sscan(name[2], &step); err != nil {
		return 0, err
	}
	if _, err := fmt.Sscan(words[1+min(step, len(words)-2)], &ms); err != nil {
		return 0, err
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (m *minion) stop(w http.ResponseWriter, o order) {
	m.top[o.Task] = max(m.top[o.Task], o.Run)
	k := runKey{o.Task, o.Run}
	if run, ok := m.runs[k]; ok && !run.stopping {
		run.stopping = true
		m.endLater(k, run, 20*time.Millisecond, "stopped")
	}
	m.reply(w, http.StatusOK, map[string]any{})
}

func (m *minion) endLater(k runKey, run *minionRun, after time.Duration, how string) {
	if run.timer != nil {
		run.timer.Stop()
	}
	run.timer = time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lapse()
		if m.runs[k] == run && run.stopping == (how == "stopped") {
			m.end(k, how)
		}
	})
}

func (m *minion) end(k runKey, how string) {
	m.runs[k].timer.Stop()
	delete(m.runs, k)
	m.used -= taskCPU
	m.top[k.task] = max(m.top[k.task], k.run)
	m.number++
	m.ends = append(m.ends, []any{m.number, k.task, k.run, how, ""})
	m.rec.ended(m, k, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) hold(w http.ResponseWriter, o order) {
	if o.Deadline > 0 {
		m.renew(o.Deadline)
	}
	for len(m.ends) > 0 && m.ends[0][0].(int64) <= o.Acked {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && o.Wait > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		m.mu.Lock()
		if m.cut {
			// The answer does not get out.
			for m.cut {
				m.mu.Unlock()
				time.Sleep(50 * time.Millisecond)
				m.mu.Lock()
			}
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for k, r := range m.runs {
		percent := min(99, int(100*time.Since(r.begun)/max(r.length, time.Millisecond)))
		running = append(running, []any{k.task, k.run, "", percent, taskCPU})
	}
	ends := m.ends[:min(len(m.ends), 500)]
	if ends == nil {
		ends = [][]any{}
	}
	m.reply(w, http.StatusOK, map[string]any{"running": running, "finished": ends})
}

// call makes one call on a connection of its own and returns its status, 0 if there was no answer.
func call(method, url, hostName string, body []byte, limit, deadline time.Duration) (int, string) {
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	return callWith(&c, method, url, hostName, body, deadline)
}

// callWith makes one call with a client that may keep its connection.
func callWith(c *http.Client, method, url, hostName string, body []byte, deadline time.Duration) (int, string) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if hostName != "" {
		req.Host = hostName
	}
	req.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}
