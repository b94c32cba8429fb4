package stowage

// sizeSteps is the resolution of the sizes that are told apart, of the largest worker.
const sizeSteps = 96

// sizeMemory is the weight that the sizes of the past keep at each refresh.
const sizeMemory = 0.8

// Sizes is a moving distribution of the CPU requests of tasks, and what room of each size is worth with it.
type Sizes struct {
	// step is the width of one size class, in thousandths of a core.
	step   float64
	fresh  [sizeSteps + 1]float64
	weight [sizeSteps + 1]float64
	worth  [sizeSteps + 1]float64
	mean   float64
}

// Observe counts a number of tasks that request milli thousandths of a core each.
func (s *Sizes) Observe(milli int64, tasks int) {
	if s.step > 0 {
		s.fresh[s.class(milli)] += float64(tasks)
	}
}

// Refresh takes in what was observed since the last call and values all sizes of room anew. Largest is the CPU of the largest worker.
func (s *Sizes) Refresh(largest int64) {
	if step := float64(max(largest, sizeSteps)) / sizeSteps; step != s.step {
		*s = Sizes{step: step}
		return
	}
	sum, milli := 0.0, 0.0
	for i := range s.weight {
		s.weight[i] = s.weight[i]*sizeMemory + s.fresh[i]
		s.fresh[i] = 0
		sum += s.weight[i]
		milli += s.weight[i] * float64(i)
	}
	if sum == 0 {
		return
	}
	s.mean = milli / sum
	// Room is worth what the next task takes of it if it fits, and then what the rest is worth.
	for room := range s.worth {
		s.worth[room] = 0
		for size := 1; size <= room; size++ {
			s.worth[room] += s.weight[size] / sum * (float64(size) + s.worth[room-size])
		}
	}
}

// Cost returns what it costs to place a task on a worker with this much free CPU, in typical tasks: how much more the worth of its
// room falls than the task takes. It is negative where the task fills a gap that others would hardly fill.
func (s *Sizes) Cost(free, milli int64) float64 {
	if s.mean == 0 {
		return 0
	}
	return (s.value(free) - s.value(free-milli) - float64(milli)/s.step) / s.mean
}

// value returns what room is worth, between two classes in proportion.
func (s *Sizes) value(milli int64) float64 {
	at := min(max(0, float64(milli)/s.step), sizeSteps)
	i := min(int(at), sizeSteps-1)
	part := at - float64(i)
	return s.worth[i]*(1-part) + s.worth[i+1]*part
}

// class rounds up, as a task does not fit into less room than it requests.
func (s *Sizes) class(milli int64) int {
	return min(sizeSteps, max(1, int((float64(milli)+s.step-1)/s.step)))
}

// Below returns the share of tasks that request less CPU.
func (s *Sizes) Below(milli int64) float64 {
	sum, below := 0.0, 0.0
	for i, w := range s.weight {
		sum += w
		if i < s.class(milli) {
			below += w
		}
	}
	return below / max(sum, 1)
}
