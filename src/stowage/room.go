package stowage

import "time"

// Room is what a task takes up on a worker, or what a worker has left.
type Room struct {
	// Milli is CPU in thousandths of a core.
	Milli int64
	// Memory is in megabytes.
	Memory       int64
	Accelerators int64
}

// Fits reports whether free is at least r in every resource.
func (r Room) Fits(free Room) bool {
	return r.Milli <= free.Milli && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Plus returns the sum of two rooms.
func (r Room) Plus(o Room) Room {
	return Room{Milli: r.Milli + o.Milli, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference of two rooms.
func (r Room) Minus(o Room) Room {
	return Room{Milli: r.Milli - o.Milli, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Times returns the room of n tasks.
func (r Room) Times(n int) Room {
	k := int64(n)
	return Room{Milli: k * r.Milli, Memory: k * r.Memory, Accelerators: k * r.Accelerators}
}

// count returns how many tasks that take up r fit into free at once, at most limit.
func (r Room) count(free Room, limit int) int {
	if !r.Fits(free) {
		return 0
	}
	n := int64(limit)
	for _, of := range [][2]int64{{r.Milli, free.Milli}, {r.Memory, free.Memory}, {r.Accelerators, free.Accelerators}} {
		if of[0] > 0 {
			n = min(n, of[1]/of[0])
		}
	}
	return int(n)
}

// Run is a run on a worker and when it is expected to end, from now.
type Run struct {
	Need Room
	Ends time.Duration
}

// Worker is the room of one worker, now and when its runs end.
type Worker struct {
	Pool   string
	Labels []string
	Free   Room
	// Speed is relative to the usual 1.
	Speed float64
	// Opens is from when on the worker takes tasks, from now.
	Opens time.Duration
	// Runs are ordered by their ends.
	Runs []Run
}
