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
