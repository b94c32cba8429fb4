package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

type runKey struct {
	task string
	run  int64
}

type taskRun struct {
	begun    time.Time
	length   time.Duration
	timer    *time.Timer
	stopping bool
}

// minion is a stand-in of a worker: it announces itself, keeps leases and fences, and runs tasks that take as many
// milliseconds as their specification says.
type minion struct {
	sys      *system
	id       string
	zone     string
	service  string
	cpu      int64
	labels   []string
	address  string
	guards   bool
	born     int64
	begun    time.Time
	server   *http.Server
	quit     chan struct{}
	mu       sync.Mutex
	sequence int64
	state    string
	token    int64
	lease    int64
	runs     map[runKey]*taskRun
	cpuOf    map[runKey]int64
	ended    [][5]any
	number   int64
	changed  chan struct{}
	top      map[string]int64
	// onStart is told of each task that begins, onEnd of each that ends.
	onStart func(m *minion, task string, run int64)
	onEnd   func(m *minion, task string, run int64)
	// late is set while the next start order is to be carried out late; cut, while nothing reaches the minion or leaves it.
	late *lateStart
	cut  bool
}

func (s *system) addMinion(id, service, zone string, last int, cpu int64, labels []string) (*minion, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:0", s.prefix, last))
	if err != nil {
		return nil, err
	}
	m := &minion{
		sys: s, id: id, zone: zone, service: service, cpu: cpu, labels: labels, address: l.Addr().String(), guards: true,
		born: time.Now().UnixMilli(), begun: time.Now().Add(-time.Minute), quit: make(chan struct{}), state: "ready",
		runs: make(map[runKey]*taskRun), changed: make(chan struct{}), top: make(map[string]int64),
	}
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	go func() { _ = m.server.Serve(l) }()
	go m.keepAnnouncing()
	go m.watchLease()
	s.minions = append(s.minions, m)
	return m, nil
}

func (m *minion) close() {
	close(m.quit)
	_ = m.server.Close()
}

func (m *minion) clock() int64 { return time.Since(m.begun).Milliseconds() }

func (m *minion) keepAnnouncing() {
	client := newClient(time.Second)
	for n := 0; ; n++ {
		m.mu.Lock()
		if m.cut {
			m.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state,
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": m.cpu, "requested_memory_mb": 131072, "gpu_count": 0},
			"labels": m.labels, "clock_ms": m.clock(), "sequence": m.sequence, "born": m.born,
		})
		m.mu.Unlock()
		wait := heartbeatMs * time.Millisecond
		p := m.sys.cores[n%len(m.sys.cores)]
		if m.sys.relays != nil {
			p = m.sys.coreOf(m.zone)
		}
		if status, _ := call(client, http.MethodPut, p.controlURL()+"/api/instances/"+m.id, "", nil, body); status != http.StatusOK {
			wait = 100 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-m.quit:
			return
		}
	}
}

func (m *minion) watchLease() {
	for {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-m.quit:
			return
		}
		m.mu.Lock()
		m.endLapsed()
		m.mu.Unlock()
	}
}

func (m *minion) endLapsed() {
	if m.clock() <= m.lease {
		return
	}
	for key := range m.runs {
		m.end(key, "lapsed")
	}
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

func (m *minion) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.silent(r.URL.Path, o) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.obey(w, r.URL.Path, o)
}

// silent reports whether an order gets no answer: the minion is cut off, or the order is to be carried out late.
func (m *minion) silent(path string, o order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.late; l != nil && path == "/api/run-start" && l.used.CompareAndSwap(false, true) {
		m.late, m.cut = nil, true
		m.carryOutLater(path, o, l.after)
		close(l.taken)
	}
	return m.cut
}

// coreOf returns the registry host of a zone.
func (s *system) coreOf(zone string) *process {
	for _, p := range s.cores {
		if p.zone == zone {
			return p
		}
	}
	return s.cores[0]
}

// obey carries an order out, unless its token is overtaken.
func (m *minion) obey(w http.ResponseWriter, path string, o order) {
	if o.Token < m.token {
		m.conflict(w, "fence")
		return
	}
	m.token = o.Token
	m.endLapsed()
	switch path {
	case "/api/run-start":
		m.start(w, o)
	case "/api/run-stop":
		key := runKey{o.Task, o.Run}
		m.top[o.Task] = max(m.top[o.Task], o.Run)
		if run, ok := m.runs[key]; ok && !run.stopping {
			run.stopping = true
			run.timer.Stop()
			run.timer = time.AfterFunc(20*time.Millisecond, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.runs[key] == run {
					m.end(key, "stopped")
				}
			})
		}
		m.reply(w, map[string]any{})
	case "/api/hold":
		m.hold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) conflict(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"clock_ms": m.clock(), "born": m.born, "reason": reason})
}

func (m *minion) reply(w http.ResponseWriter, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock(), m.born
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) renew(deadline int64) { m.lease = max(m.lease, min(deadline, m.clock()+maxHoldMs)) }

func (m *minion) start(w http.ResponseWriter, o order) {
	if o.Deadline < m.clock() {
		m.conflict(w, "late")
		return
	}
	m.renew(o.Deadline)
	key := runKey{o.Task, o.Run}
	if _, ok := m.runs[key]; ok {
		m.reply(w, map[string]any{})
		return
	}
	if o.Run <= m.top[o.Task] {
		m.conflict(w, "old")
		return
	}
	// Every task of these scenarios asks for taskCPU.
	if m.guards && int64(len(m.runs)+1)*taskCPU > m.cpu {
		m.conflict(w, "room")
		return
	}
	ms, err := strconv.Atoi(o.Spec)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := &taskRun{begun: time.Now(), length: time.Duration(ms) * time.Millisecond}
	run.timer = time.AfterFunc(run.length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.runs[key] == run && !run.stopping {
			m.end(key, "done")
		}
	})
	m.runs[key] = run
	m.sys.rec.add("%s begins %s run %d", m.id, o.Task, o.Run)
	if m.onStart != nil {
		m.onStart(m, o.Task, o.Run)
	}
	m.reply(w, map[string]any{})
}

func (m *minion) end(key runKey, how string) {
	m.runs[key].timer.Stop()
	delete(m.runs, key)
	m.top[key.task] = max(m.top[key.task], key.run)
	m.number++
	m.ended = append(m.ended, [5]any{m.number, key.task, key.run, how, ""})
	m.sys.rec.add("%s ends %s run %d: %s", m.id, key.task, key.run, how)
	if m.onEnd != nil {
		m.onEnd(m, key.task, key.run)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) hold(w http.ResponseWriter, o order) {
	if o.Deadline > 0 {
		m.renew(o.Deadline)
	}
	m.ended = slices.DeleteFunc(m.ended, func(e [5]any) bool { return e[0].(int64) <= o.Acked })
	if len(m.ended) == 0 && o.Wait > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		m.mu.Lock()
	}
	running := [][]any{}
	for key, run := range m.runs {
		percent := min(99, int(100*time.Since(run.begun)/max(run.length, time.Millisecond)))
		running = append(running, []any{key.task, key.run, "", percent})
	}
	m.reply(w, map[string]any{"running": running, "finished": m.ended[:min(len(m.ended), 500)]})
}
