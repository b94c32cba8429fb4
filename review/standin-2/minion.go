package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion is a sound server as the pages describe it: it starts tasks under leases, lists them, and stops them.
type minion struct {
	id, zone, address string
	milli             int
	labels            []string
	born              time.Time
	rec               *record
	control           func() []string
	// work tells how long a run of a task takes.
	work func(spec string) time.Duration
	// onOrder sees the raw body of each start order.
	onOrder func(m *minion, body []byte)
	// late decides whether an order is left unanswered, and after which time it is carried out then; nil means never.
	late   func(path string) (time.Duration, bool)
	server *http.Server

	mu       sync.Mutex
	fence    int64
	lease    int64
	running  map[string]*running
	highest  map[string]int64
	ends     []ended
	nextEnd  int64
	sequence int
	ended    chan struct{}
	stopped  chan struct{}
}

// stopTakes is how long a minion takes to end a run that it is told to stop; at most stopBound is allowed.
const stopTakes = 45 * time.Millisecond

type running struct {
	task  string
	run   int64
	began time.Time
	takes time.Duration
	milli int
	timer *time.Timer
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// span is the time in which a run was at work.
type span struct {
	minion     string
	labels     []string
	task       string
	run        int64
	began, end time.Time
	how        string
}

// yard is all minions of a deployment, and every run that they began.
type yard struct {
	rec  *record
	mu   sync.Mutex
	runs []*span
	all  []*minion
}

func (y *yard) begin(m *minion, task string, run int64, at time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.runs = append(y.runs, &span{minion: m.id, labels: m.labels, task: task, run: run, began: at})
	y.rec.add("run", "%s (labels %v, born %d) begins %s run %d", m.id, m.labels, m.born.UnixMilli(), task, run)
}

func (y *yard) end(m *minion, task string, run int64, at time.Time, how string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, s := range y.runs {
		if s.minion == m.id && s.task == task && s.run == run && s.end.IsZero() {
			s.end, s.how = at, how
		}
	}
	y.rec.add("run", "%s ends %s run %d: %s", m.id, task, run, how)
}

// spans returns a copy of all runs.
func (y *yard) spans() []span {
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []span
	for _, s := range y.runs {
		out = append(out, *s)
	}
	return out
}

// newMinion starts a minion that listens at an address and announces itself.
func (y *yard) newMinion(id, zone, address string, milli int, labels []string, control func() []string, work func(string) time.Duration) (*minion, error) {
	m := &minion{
		id: id, zone: zone, address: address, milli: milli, labels: labels, born: time.Now(), rec: y.rec, control: control, work: work,
		running: make(map[string]*running), highest: make(map[string]int64), ended: make(chan struct{}), stopped: make(chan struct{}),
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.expect(func(w http.ResponseWriter, r *http.Request) { m.start(y, w, r) }))
	mux.HandleFunc("POST /api/run-stop", m.expect(func(w http.ResponseWriter, r *http.Request) { m.stop(y, w, r) }))
	mux.HandleFunc("POST /api/hold", m.expect(func(w http.ResponseWriter, r *http.Request) { m.hold(y, w, r) }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	go m.beats()
	go m.leases(y)
	y.mu.Lock()
	y.all = append(y.all, m)
	y.mu.Unlock()
	return m, nil
}

func (m *minion) expect(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if m.late != nil {
			if after, yes := m.late(r.URL.Path); yes {
				m.carryOutLater(next, r, after)
				panic(http.ErrAbortHandler)
			}
		}
		next(w, r)
	}
}

// carryOutLater gives no answer to an order and carries it out after a while, with a lease that counts from then; the connection stays
// silent until its caller gives up.
func (m *minion) carryOutLater(next http.HandlerFunc, r *http.Request, after time.Duration) {
	var fields map[string]any
	decoder := json.NewDecoder(r.Body)
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return
	}
	if n, ok := fields["deadline_ms"].(json.Number); ok {
		deadline, _ := n.Int64()
		fields["deadline_ms"] = deadline + after.Milliseconds()
	}
	body, _ := json.Marshal(fields)
	m.rec.add("minion", "%s leaves %s %s unanswered for %s", m.id, r.URL.Path, body, after)
	time.AfterFunc(after, func() {
		select {
		case <-m.stopped:
			return
		default:
		}
		again, _ := http.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
		next(discard{http.Header{}}, again)
	})
	select {
	case <-r.Context().Done():
	case <-time.After(after):
	}
}

// discard takes the answer to an order whose caller is gone.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// clock is the minion's steady clock.
func (m *minion) clock() int64 { return 400_000 + time.Since(m.born).Milliseconds() }

func (m *minion) beats() {
	client := httpClient(time.Second)
	daemon := 0
	for {
		m.mu.Lock()
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": m.milli, "requested_memory_mb": 32768, "gpu_count": 0},
			"labels": m.labels, "clock_ms": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		for range 3 {
			addresses := m.control()
			req, _ := http.NewRequest(http.MethodPut, "http://"+addresses[daemon%len(addresses)]+"/api/instances/"+m.id, strings.NewReader(string(body)))
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					break
				}
			}
			daemon++
		}
		select {
		case <-time.After(beatInterval):
		case <-m.stopped:
			return
		}
	}
}

// leases ends everything when the lease is over.
func (m *minion) leases(y *yard) {
	for {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-m.stopped:
			return
		}
		m.mu.Lock()
		if len(m.running) > 0 && m.clock() > m.lease {
			for _, r := range m.running {
				m.finish(y, r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// finish lists the end of a run; m.mu is held.
func (m *minion) finish(y *yard, r *running, how string) {
	if m.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.running, r.task)
	m.nextEnd++
	m.ends = append(m.ends, ended{m.nextEnd, r.task, r.run, how})
	y.end(m, r.task, r.run, time.Now(), how)
	close(m.ended)
	m.ended = make(chan struct{})
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

func readOrder(w http.ResponseWriter, r *http.Request) (order, []byte, bool) {
	var o order
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, body, false
	}
	return o, body, true
}

func (m *minion) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["clock_ms"], fields["born"] = m.clock(), m.born.UnixMilli()
	b, _ := json.Marshal(fields)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (m *minion) extend(deadline int64) {
	m.lease = max(m.lease, min(deadline, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) start(y *yard, w http.ResponseWriter, r *http.Request) {
	o, body, ok := readOrder(w, r)
	if m.onOrder != nil {
		m.onOrder(m, body)
	}
	if !ok {
		m.rec.add("order", "%s cannot read a start: %q", m.id, body)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	refuse := func(reason string) { m.answer(w, http.StatusConflict, map[string]any{"reason": reason}) }
	if o.Token < m.fence {
		refuse("fence")
		return
	}
	m.fence = o.Token
	if now, there := m.running[o.Task]; there && now.run == o.Run {
		m.extend(o.Deadline)
		m.answer(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= m.highest[o.Task] {
		m.extend(o.Deadline)
		refuse("old")
		return
	}
	if max(o.Deadline, m.lease) <= m.clock() {
		refuse("late")
		return
	}
	m.extend(o.Deadline)
	const need = 1000 // as much as a task of the cases asks for, or less
	used := 0
	for _, r := range m.running {
		used += r.milli
	}
	if used+need > m.milli {
		refuse("room")
		return
	}
	takes := m.work(o.Spec)
	run := &running{task: o.Task, run: o.Run, began: time.Now(), takes: takes, milli: need}
	run.timer = time.AfterFunc(takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(y, run, "done")
	})
	m.running[o.Task], m.highest[o.Task] = run, o.Run
	y.begin(m, o.Task, o.Run, run.began)
	m.answer(w, http.StatusOK, map[string]any{})
}

func (m *minion) stop(y *yard, w http.ResponseWriter, r *http.Request) {
	o, _, ok := readOrder(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Token < m.fence {
		m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.fence = o.Token
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if run, there := m.running[o.Task]; there && run.run == o.Run {
		time.AfterFunc(stopTakes, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.finish(y, run, "stopped")
		})
	}
	m.answer(w, http.StatusOK, map[string]any{})
}

func (m *minion) hold(_ *yard, w http.ResponseWriter, r *http.Request) {
	o, _, ok := readOrder(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Token < m.fence {
		m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.fence = o.Token
	if o.Deadline > 0 {
		m.extend(o.Deadline)
	}
	for len(m.ends) > 0 && m.ends[0].number <= o.Acked {
		m.ends = m.ends[1:]
	}
	if o.Wait > 0 && len(m.ends) == 0 {
		change := m.ended
		m.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	lists := map[string]any{"running": []any{}, "finished": []any{}}
	rows := []any{}
	for _, r := range m.running {
		percent := min(99, int(100*time.Since(r.began)/max(1, r.takes)))
		rows = append(rows, []any{r.task, r.run, "", percent})
	}
	lists["running"] = rows
	rows = []any{}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		rows = append(rows, []any{e.number, e.task, e.run, e.how, ""})
	}
	lists["finished"] = rows
	m.answer(w, http.StatusOK, lists)
}

// crash ends the minion at once.
func (m *minion) crash(y *yard) {
	close(m.stopped)
	_ = m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		m.finish(y, r, "crashed")
	}
}

// restartAs crashes a minion and starts it again after a while, under its id and at its address, as a minion of another kind.
func (y *yard) restartAs(m *minion, down time.Duration, kind string) {
	y.rec.add("minion", "%s crashes", m.id)
	m.crash(y)
	time.Sleep(down)
	if _, err := y.newMinion(m.id, m.zone, m.address, m.milli, append([]string{kind}, m.labels[1:]...), m.control, m.work); err != nil {
		y.rec.add("error", "%s cannot start again: %s", m.id, err)
		return
	}
	y.rec.add("minion", "%s is back after %s as kind %s", m.id, down, kind)
}

// workOf reads how long a task takes from its spec, which begins with milliseconds.
func workOf(spec string) time.Duration {
	word, _, _ := strings.Cut(spec, " ")
	ms, err := strconv.Atoi(word)
	if err != nil {
		ms = 200
	}
	return time.Duration(ms) * time.Millisecond
}

// startYard starts minions in all zones.
func startYard(d *deployment, perZone, milli int, control func() []string) (*yard, error) {
	y := &yard{rec: d.record}
	for z, zone := range zones {
		for n := range perZone {
			id := fmt.Sprintf("i-%04x%04x", z+1, n+1)
			if _, err := y.newMinion(id, zone, fmt.Sprintf("%s.%d:8080", d.prefix, 100+z*50+n), milli, []string{"b", fmt.Sprintf("r%d-1", z+1)}, control, workOf); err != nil {
				return nil, err
			}
		}
	}
	return y, nil
}
