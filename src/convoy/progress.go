package convoy

import (
	"cmp"
	"slices"
)

// stepWindow bounds how many steps of one job a placement round or a forecast looks at one by one: those behind them have their turn
// once tasks of these have started.
const stepWindow = 64

// stepProgress is what is left to do of a step.
type stepProgress struct {
	// unmet is the number of its dependencies that are not done, left that of its tasks that are not done.
	unmet int32
	left  int
	// next is the index of its first task that has never been started; again holds those that are to be started again, in order.
	next  int
	again []*task
}

// waitingTasks sums up the tasks of a job that could start now.
type waitingTasks struct {
	count int
	need  Resources
	time  int64 // the sum of the estimated run times, in nanoseconds
}

func (w *waitingTasks) add(n int, s Step) {
	k := int64(n)
	w.count += n
	w.need = w.need.plus(Resources{Milli: k * s.Need.Milli, Memory: k * s.Need.Memory, Accelerators: k * s.Need.Accelerators})
	w.time += k * int64(s.Estimate)
}

// waitingIn returns how many tasks of a step whose dependencies are done wait to be started.
func (j *job) waitingIn(step int) int {
	s := &j.progress[step]
	return j.Steps[step].Count - s.next + len(s.again)
}

// enable has the tasks of a step wait whose dependencies are done.
func (j *job) enable(step int) {
	if j.Steps[step].Count <= 0 {
		return // no submission has such a step, and a round would never leave it
	}
	j.ready = append(j.ready, int32(step))
	j.waiting.add(j.Steps[step].Count, j.Steps[step])
}

// window returns the first of the steps with waiting tasks.
func (j *job) window() []int32 { return j.ready[:min(len(j.ready), stepWindow)] }

// firstWaiting returns the first waiting task of a step.
func (j *job) firstWaiting(step int) *task {
	s := &j.progress[step]
	if len(s.again) > 0 {
		return s.again[0]
	}
	t := &task{job: j, step: step, index: s.next}
	t.name = t.ref().String()
	return t
}

// begin takes the task that firstWaiting has returned from the waiting ones.
func (j *job) begin(t *task) {
	s := &j.progress[t.step]
	if len(s.again) > 0 {
		s.again = s.again[1:]
	} else {
		s.next++
	}
	j.waiting.add(-1, j.Steps[t.step])
	if j.waitingIn(t.step) > 0 {
		return
	}
	// The steps in front of it, which are few, close the gap.
	i, _ := slices.BinarySearch(j.ready, int32(t.step))
	copy(j.ready[1:i+1], j.ready[:i])
	j.ready = j.ready[1:]
}

// putBack has a task wait that was started before.
func (j *job) putBack(t *task) {
	s := &j.progress[t.step]
	at, _ := slices.BinarySearchFunc(s.again, t, func(a, b *task) int { return cmp.Compare(a.index, b.index) })
	s.again = slices.Insert(s.again, at, t)
	j.waiting.add(1, j.Steps[t.step])
	if i, found := slices.BinarySearch(j.ready, int32(t.step)); !found {
		j.ready = slices.Insert(j.ready, i, int32(t.step))
	}
}

// complete counts a task that is done, and reports whether tasks have become ready by that.
func (j *job) complete(t *task) bool {
	j.left--
	s := &j.progress[t.step]
	if s.left--; s.left > 0 {
		return false
	}
	before := len(j.ready)
	for _, d := range j.shape.dependentsOf(t.step) {
		next := &j.progress[d]
		if next.unmet--; next.unmet == 0 {
			j.enable(int(d))
		}
	}
	if len(j.ready) == before {
		return false
	}
	slices.Sort(j.ready)
	return true
}
