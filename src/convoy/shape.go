package convoy

import "time"

// shape is what follows from the steps of a job. It is computed once, in time linear in the steps and their dependencies, and shared by
// all copies of the job.
type shape struct {
	tasks int
	// work is the estimated CPU time in core-seconds, taskTime the sum of the tasks' estimated run times.
	work     float64
	taskTime time.Duration
	// chain is the estimated run time of the critical path, after by step that of the longest path through the steps that depend on it.
	chain time.Duration
	after []time.Duration
	// smallest is the least CPU request of a task, in thousandths of a core.
	smallest int64
	// first holds the steps that depend on no other; firstTasks and firstMilli are the number of their tasks and the largest CPU request.
	first      []int32
	firstTasks int
	firstMilli int64
	// dependents holds the steps that depend on each step, one step's after the other's; those of step i begin at bounds[i].
	dependents []int32
	bounds     []int32
	// needs is the number of dependencies of each step.
	needs []int32
}

func newShape(steps []Step) *shape {
	s := &shape{after: make([]time.Duration, len(steps)), bounds: make([]int32, len(steps)+1), needs: make([]int32, len(steps))}
	for i, step := range steps {
		s.tasks += step.Count
		s.work += float64(step.Count) * step.Estimate.Seconds() * float64(step.Need.Milli) / 1000
		s.taskTime += time.Duration(step.Count) * step.Estimate
		if i == 0 || step.Need.Milli < s.smallest {
			s.smallest = step.Need.Milli
		}
		if len(step.After) == 0 {
			s.first = append(s.first, int32(i))
			s.firstTasks += step.Count
			s.firstMilli = max(s.firstMilli, step.Need.Milli)
		}
		s.needs[i] = int32(len(step.After))
		for _, a := range step.After {
			s.bounds[a+1]++
		}
	}
	s.chain = fillPaths(steps, s.after)
	s.linkDependents(steps)
	return s
}

// fillPaths sets after to the longest path through the steps that depend on each step, and returns the longest path of all. Steps depend
// on earlier ones only.
func fillPaths(steps []Step, after []time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := len(steps) - 1; i >= 0; i-- {
		path := steps[i].Estimate + after[i]
		longest = max(longest, path)
		for _, a := range steps[i].After {
			after[a] = max(after[a], path)
		}
	}
	return longest
}

// linkDependents fills dependents; bounds holds the number of each step's dependents, one place behind it, until then.
func (s *shape) linkDependents(steps []Step) {
	for i := range steps {
		s.bounds[i+1] += s.bounds[i]
	}
	s.dependents = make([]int32, s.bounds[len(steps)])
	next := append([]int32(nil), s.bounds...)
	for i, step := range steps {
		for _, a := range step.After {
			s.dependents[next[a]] = int32(i)
			next[a]++
		}
	}
}

// dependentsOf returns the steps that depend on one, in ascending order; one that names it several times stands there as often.
func (s *shape) dependentsOf(step int) []int32 { return s.dependents[s.bounds[step]:s.bounds[step+1]] }

// Measured returns the job with what follows from its steps computed, for whoever asks for it later. The steps must not change after
// that.
func (j Job) Measured() Job {
	j.shape = j.measure()
	return j
}

func (j *Job) measure() *shape {
	if j.shape != nil {
		return j.shape
	}
	return newShape(j.Steps)
}

// Tasks returns the number of tasks of the job.
func (j Job) Tasks() int { return j.measure().tasks }

// Work returns the estimated CPU time of the job in core-seconds.
func (j Job) Work() float64 { return j.measure().work }

// Chain returns the estimated run time of the critical path through the steps.
func (j Job) Chain() time.Duration { return j.measure().chain }

// firstTasks returns the number of tasks that start first, and the largest of their CPU requests.
func (j Job) firstTasks() (milli int64, tasks int) {
	s := j.measure()
	return s.firstMilli, s.firstTasks
}
