package wharf

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"sesamecleat/src/convoy"
)

const (
	simLease    = time.Second
	simStopTime = 50 * time.Millisecond
	simEndsPage = 500
)

type simRun struct {
	key  convoy.RunKey
	by   string
	need int64
}

// simWorker is a model of a worker; born distinguishes its lives.
type simWorker struct {
	s        *simWorld
	target   convoy.Target
	up       bool
	born     int64
	speed    float64
	rate     float64
	base     int64
	began    time.Time
	token    int64
	lease    int64
	runs     map[convoy.RunKey]*simRun
	top      map[string]int64
	ends     []convoy.EndReport
	endCount int64
	waiting  []func()
	silent   bool
}

// simAddress returns the address of the i-th worker.
func simAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 80)
}

func (s *simWorld) newWorker(id, domain string, addr netip.AddrPort) *simWorker {
	w := &simWorker{s: s, target: convoy.Target{
		ID: id, Pool: "pool", Domain: domain, Address: addr, Part: partOf(domain, id),
		Capacity: convoy.Resources{Milli: 12_000, Memory: 1 << 17},
	}}
	s.workers = append(s.workers, w)
	s.at[addr] = w
	w.begin()
	return w
}

// begin starts a life that knows nothing of earlier ones.
func (w *simWorker) begin() {
	r := w.s.rnd("begin", w.target.ID)
	w.up, w.born, w.began = true, w.s.now.UnixMilli(), w.s.now
	w.speed, w.rate = 0.6+0.8*r.Float64(), 0.98+0.02*r.Float64()
	switch r.IntN(3) {
	case 0:
		w.base = 0
	case 1:
		w.base = int64(r.IntN(20_000))
	default:
		w.base = int64(r.IntN(1_000_000_000))
	}
	w.token, w.lease, w.ends, w.endCount, w.waiting = 0, 0, nil, 0, nil
	w.runs, w.top = make(map[convoy.RunKey]*simRun), make(map[string]int64)
	w.target.Incarnation, w.target.Sequence, w.target.Leaving = w.born, 0, false
	w.s.log("%s begins, born %d clock %d", w.target.ID, w.born, w.clock())
	w.announce(w.born)
}

func (w *simWorker) end() {
	w.s.log("%s crashes", w.target.ID)
	w.up, w.runs, w.waiting = false, nil, nil
}

func (w *simWorker) clock() int64 {
	return w.base + int64(float64(w.s.now.Sub(w.began).Milliseconds())*w.rate)
}

// announce tells every host of the worker, over the registry, now and then.
func (w *simWorker) announce(born int64) {
	if !w.up || w.born != born {
		return
	}
	w.target.Sequence++
	if !w.silent {
		w.s.publish(w.target, false)
	}
	w.s.after(250*time.Millisecond, func() { w.announce(born) })
}

func (w *simWorker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	if token > w.token {
		w.s.log("%s token %d", w.target.ID, token)
	}
	w.token = token
	return false
}

func (w *simWorker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+simLease.Milliseconds()))
	w.watchLease(w.born)
}

// watchLease ends everything that runs once the lease has expired.
func (w *simWorker) watchLease(born int64) {
	left := time.Duration(float64(w.lease-w.clock())/w.rate) * time.Millisecond
	w.s.after(max(0, left), func() {
		switch {
		case w.born != born || !w.up || len(w.runs) == 0:
			return
		case w.clock() <= w.lease:
			if w.lease-w.clock() < 5 {
				w.s.after(time.Millisecond, func() { w.watchLease(born) })
			}
			return
		}
		for _, key := range w.sortedRuns() {
			w.finish(key, convoy.EndedLeaseExpired)
		}
	})
}

func (w *simWorker) sortedRuns() []convoy.RunKey {
	var out []convoy.RunKey
	for k := range w.runs {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b convoy.RunKey) int {
		if a.Task == b.Task {
			return int(a.Run - b.Run)
		}
		return strings.Compare(a.Task, b.Task)
	})
	return out
}

func (w *simWorker) hold(o convoy.Hold, done func(convoy.OrderResult, convoy.Report)) {
	if w.fenced(o.Token) {
		done(convoy.Fenced, convoy.Report{})
		return
	}
	if o.Lease > 0 {
		w.extend(o.Lease)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e convoy.EndReport) bool { return e.Number <= o.Acked })
	if len(w.ends) > 0 || o.Wait == 0 {
		done(convoy.Accepted, w.report())
		return
	}
	answered, born := false, w.born
	answer := func() {
		if !answered && w.up && w.born == born {
			answered = true
			done(convoy.Accepted, w.report())
		}
	}
	w.waiting = append(w.waiting, answer)
	w.s.after(o.Wait, answer)
}

func (w *simWorker) report() convoy.Report {
	r := convoy.Report{Incarnation: w.born, Clock: w.clock(), Ends: slices.Clone(w.ends[:min(len(w.ends), simEndsPage)])}
	for _, k := range w.sortedRuns() {
		r.Runs = append(r.Runs, convoy.RunReport{Key: k, Percent: 50})
	}
	return r
}

func (w *simWorker) start(o convoy.Start, by string) convoy.OrderResult {
	switch {
	case w.fenced(o.Token):
		return convoy.Fenced
	case w.clock() > o.Lease:
		return convoy.TooLate
	case w.runs[o.Key] != nil:
		w.extend(o.Lease)
		return convoy.Accepted
	case o.Key.Run <= w.top[o.Key.Task]:
		w.extend(o.Lease)
		return convoy.Outdated
	}
	// A job's spec is its run time in milliseconds, and the CPU request of its tasks if that is not the usual one.
	spec, size, sized := strings.Cut(o.Spec, "/")
	need := int64(4000)
	if sized {
		need, _ = strconv.ParseInt(size, 10, 64)
	}
	used := need
	for _, r := range w.runs {
		used += r.need
	}
	w.extend(o.Lease)
	if used > w.target.Capacity.Milli {
		return convoy.NoRoom
	}
	w.s.checkStart(w, o.Key, by)
	w.s.log("%s STARTS %s run %d by %s", w.target.ID, o.Key.Task, o.Key.Run, by)
	w.s.starts++
	w.runs[o.Key] = &simRun{key: o.Key, by: by, need: need}
	w.watchLease(w.born)
	ms, _ := strconv.Atoi(spec)
	r := w.s.rnd("run", o.Key.Task, w.target.ID)
	how := convoy.EndedDone
	if r.Float64() < 0.02 {
		how = convoy.EndedFailed
	}
	run := w.runs[o.Key]
	w.s.after(time.Duration(float64(ms)/w.speed)*time.Millisecond, func() {
		if w.up && w.runs[o.Key] == run {
			w.finish(o.Key, how)
		}
	})
	return convoy.Accepted
}

func (w *simWorker) stop(o convoy.Stop) convoy.OrderResult {
	if w.fenced(o.Token) {
		return convoy.Fenced
	}
	w.top[o.Key.Task] = max(w.top[o.Key.Task], o.Key.Run)
	w.s.log("%s stop %s run %d", w.target.ID, o.Key.Task, o.Key.Run)
	for _, k := range w.sortedRuns() {
		run := w.runs[k]
		if k.Task != o.Key.Task || k.Run > o.Key.Run {
			continue
		}
		took := time.Duration(w.s.rnd("stop", k.Task).Int64N(int64(simStopTime)))
		w.s.after(took, func() {
			if w.up && w.runs[k] == run {
				w.finish(k, convoy.EndedStopped)
			}
		})
	}
	return convoy.Accepted
}

func (w *simWorker) finish(k convoy.RunKey, how convoy.RunResult) {
	w.s.log("%s ends %s run %d %s", w.target.ID, k.Task, k.Run, how)
	delete(w.runs, k)
	w.top[k.Task] = max(w.top[k.Task], k.Run)
	w.endCount++
	w.ends = append(w.ends, convoy.EndReport{Number: w.endCount, Key: k, Result: how})
	waiting := w.waiting
	w.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}
