package convoy

import (
	"math"
	"slices"
	"time"
)

type phase uint8

const (
	// phaseNew workers have not answered this planner yet.
	phaseNew phase = iota
	phaseReady
	// phaseLost workers do not answer; what runs there ends with its lease.
	phaseLost
	// phaseFenced workers follow another planner.
	phaseFenced
)

var phaseNames = [...]string{"new", "ready", "lost", "fenced"}

type runState uint8

const (
	runStarting runState = iota
	runWorking
	// runDoubtful runs may begin or not: the start was not answered.
	runDoubtful
	runStopping
)

// run is one attempt of a task on a worker.
type run struct {
	key   RunKey
	task  *task
	state runState
	// began is when the start was ordered, and answered once the run is at work.
	began time.Time
	// expected is how long the run should take on its worker.
	expected time.Duration
	// listed says that the worker has named the run.
	listed bool
	// stopped is when the last stop was ordered, barred when one was acknowledged: the run cannot begin after that.
	stopped time.Time
	barred  time.Time
	need    Resources
}

// worker is what the planner knows of a target.
type worker struct {
	target Target
	phase  phase
	token  int64
	// yielding workers are let go of once nothing runs there.
	yielding bool
	// clock is the worker's clock in milliseconds as of clockAt here.
	clock   int64
	clockAt time.Time
	// lease is the latest end of a lease asked for, on the worker's clock.
	lease    int64
	acked    int64
	holding  bool
	nextHold time.Time
	failures int
	fencedAt time.Time
	runs     map[RunKey]*run
	// strays are runs of other planners, with the time their stop was last ordered.
	strays map[RunKey]time.Time
	used   Resources
	// speed is how fast it works against the usual; heard is when it was last measured.
	speed    float64
	measured time.Time
	// failed counts failures in a row, of different jobs.
	failed     int
	lastFailed string
	passUntil  time.Time
}

func newWorker(t Target, token int64) *worker {
	return &worker{
		target: t, token: token, speed: 1,
		runs: make(map[RunKey]*run), strays: make(map[RunKey]time.Time),
	}
}

// clockNow returns the least that the worker's clock can show.
func (w *worker) clockNow(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + int64(float64(now.Sub(w.clockAt).Milliseconds())/leaseDrift)
}

// patience returns how long a hold should stay open: until the next end should have come.
func (w *worker) patience(now time.Time) time.Duration {
	wait := holdWait
	for _, r := range w.runs {
		left := r.began.Add(r.expected).Sub(now)
		wait = min(wait, max(holdLeast, time.Duration(holdMargin*float64(left))))
	}
	return wait.Round(time.Millisecond)
}

// grant returns the end of a lease that begins now, and remembers it.
func (w *worker) grant(now time.Time, length time.Duration) int64 {
	end := w.clock + now.Sub(w.clockAt).Milliseconds() + length.Milliseconds()
	w.lease = max(w.lease, end)
	return end
}

// lapsed reports whether every lease this planner asked for has certainly run out on the worker's clock.
func (w *worker) lapsed(now time.Time) bool {
	if w.clockAt.IsZero() {
		return true
	}
	return w.clockNow(now.Add(-leaseMargin)) > w.lease
}

func (w *worker) free() Resources { return w.target.Capacity.minus(w.used) }

// slots returns how many ordinary tasks fit on the worker.
func (w *worker) slots(typical float64) int { return int(w.target.Capacity.Milli / int64(typical)) }

// open reports whether new tasks may be placed here.
func (w *worker) open(now time.Time) bool {
	return w.phase == phaseReady && !w.target.Leaving && !w.target.Expired && !now.Before(w.passUntil) && len(w.strays) == 0
}

// pace returns the speed to reckon with; without new measures it returns to the usual.
func (w *worker) pace(now time.Time) float64 {
	if w.measured.IsZero() {
		return w.speed
	}
	trust := math.Exp(-float64(now.Sub(w.measured)) / float64(speedMemory))
	return math.Exp(math.Log(w.speed) * trust)
}

// learn takes a run's time against what it should have taken on a worker of the usual speed.
func (w *worker) learn(now time.Time, usual, took time.Duration) {
	if took <= 0 || usual <= 0 {
		return
	}
	was := math.Log(w.pace(now))
	is := math.Log(float64(usual) / float64(took))
	w.speed = math.Exp(was + speedGain*(is-was))
	w.measured = now
}

// labelled reports whether the worker has a label.
func (w *worker) labelled(label string) bool {
	return label == "" || slices.Contains(w.target.Labels, label)
}

// onStep counts the runs of one step of a job here.
func (w *worker) onStep(t *task) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			n++
		}
	}
	return n
}
