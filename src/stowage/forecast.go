package stowage

import (
	"math"
	"slices"
	"time"
)

// Batch is a group of equal waiting tasks of one job.
type Batch struct {
	Pool, Label string
	Count       int
	Need        Room
	// Time is the predicted run time of a task at speed 1, After that of the steps that depend on it.
	Time, After time.Duration
	// Latest is when the job has to end to be of use, from now.
	Latest time.Duration
	// From is when the batch is expected to arrive, from now; it is 0 for one that waits.
	From time.Duration
	// Started jobs are served even if they end too late.
	Started bool
}

// Outlook is what is expected of a batch.
type Outlook struct {
	// Placed is how many of its tasks get room in time.
	Placed int
	// Start is when the first of them starts, End when the last of them and the steps after it end, from now.
	Start, End time.Duration
}

// scanLimit bounds how many waiting batches are tried when room becomes free; those far behind in the queue are served later anyway.
const scanLimit = 64

// maxPortions bounds in how many portions the room of tasks that end together becomes free.
const maxPortions = 8

// maxPlacements bounds how often a forecast gives room to a batch, for each worker; beyond that it is neither exact nor quick.
const maxPlacements = 256

// Forecaster forecasts starts and ends. It keeps its buffers from one forecast to the next.
type Forecaster struct {
	free     []Room
	fastest  float64
	closed   []bool
	ends     endHeap
	waiting  []int32
	outlooks []Outlook
	batches  []Batch
	workers  []Worker
	gaps     Gaps
	// smallest is the least CPU request that waits, largest the most CPU that an open worker has left, at most: they spare searches.
	smallest, largest int64
	// placements is how often room may still be given to a batch.
	placements int
	// RoomIn is in what time the next room becomes free that no waiting task takes.
	RoomIn time.Duration
}

// Forecast plays the queue forward: whenever room becomes free, it goes to the first batch in the order that fits. A batch that has
// not started and can no longer end in time is passed over. With sizes, gaps are kept as Gaps does. The result is valid until the next
// call.
func (f *Forecaster) Forecast(workers []Worker, batches []Batch, sizes *Sizes) []Outlook {
	f.reset(workers, batches)
	for i := range batches {
		f.placeNow(i)
	}
	f.keepGaps(sizes)
	for len(f.ends) > 0 && len(f.waiting) > 0 && f.placements > 0 {
		e := f.ends.pop()
		f.RoomIn = e.at
		f.release(e)
	}
	if len(f.ends) > 0 {
		f.RoomIn = f.ends[0].at
	}
	if f.placements <= 0 {
		f.assumeOthers()
	}
	return f.outlooks
}

// assumeOthers counts the batches as placed that had no turn in a forecast that was broken off.
func (f *Forecaster) assumeOthers() {
	for i := range f.outlooks {
		if f.outlooks[i].Placed == 0 {
			f.outlooks[i].Placed = f.batches[i].Count
		}
	}
}

// release gives the room of tasks that have ended to the batches that wait. It comes in portions, as tasks that are expected to end
// together hardly do.
func (f *Forecaster) release(e ending) {
	k := int(e.worker)
	if e.tasks == 0 {
		f.closed[k] = false
		f.fill(e.at, k)
	}
	portion := (int(e.tasks) + maxPortions - 1) / maxPortions
	for left := int(e.tasks); left > 0; left -= portion {
		f.free[k] = f.free[k].Plus(e.need.Times(min(left, portion)))
		if !f.closed[k] {
			f.fill(e.at, k)
		}
	}
}

func (f *Forecaster) reset(workers []Worker, batches []Batch) {
	f.workers, f.batches = workers, batches
	f.free, f.closed, f.ends, f.waiting = f.free[:0], f.closed[:0], f.ends[:0], f.waiting[:0]
	f.placements = maxPlacements * len(workers)
	f.fastest, f.RoomIn, f.smallest, f.largest = 0, 0, math.MaxInt64, math.MaxInt64
	f.outlooks = slices.Grow(f.outlooks[:0], len(batches))[:len(batches)]
	clear(f.outlooks)
	for i, w := range workers {
		f.free = append(f.free, w.Free)
		f.closed = append(f.closed, w.Opens > 0)
		f.fastest = max(f.fastest, w.Speed)
		if w.Opens > 0 {
			f.ends = append(f.ends, ending{at: w.Opens, worker: int32(i)})
		}
		for _, r := range w.Runs {
			f.ends = append(f.ends, ending{at: r.Ends, worker: int32(i), tasks: 1, need: r.Need})
		}
	}
	f.ends.init()
}

// placeNow places the tasks of a batch that fit at once, on the fastest workers and of these on the ones that they fill best.
func (f *Forecaster) placeNow(i int) {
	b := &f.batches[i]
	for b.From == 0 && f.outlooks[i].Placed < b.Count && b.Need.Milli <= f.largest {
		best := -1
		f.largest = 0
		for k := range f.workers {
			if f.closed[k] {
				continue
			}
			f.largest = max(f.largest, f.free[k].Milli)
			if f.suits(0, b, k) && (best < 0 || f.better(k, best)) {
				best = k
			}
		}
		if best < 0 {
			break
		}
		f.place(0, i, best, b.Need.count(f.free[best], b.Count-f.outlooks[i].Placed))
	}
	if f.outlooks[i].Placed < b.Count {
		f.waiting = append(f.waiting, int32(i))
		f.smallest = min(f.smallest, b.Need.Milli)
	}
}

// keepGaps keeps gaps for the first large tasks that wait.
func (f *Forecaster) keepGaps(sizes *Sizes) {
	f.gaps.Reset(f.workers)
	if sizes == nil {
		return
	}
	for _, i := range f.waiting[:min(len(f.waiting), scanLimit)] {
		b := &f.batches[i]
		for n := f.outlooks[i].Placed; b.From == 0 && n < b.Count; n++ {
			if _, _, ok := f.gaps.Keep(*b, sizes); !ok {
				break
			}
			f.gaps.kept[len(f.gaps.kept)-1].owner = i
		}
	}
}

// mayFill returns how many tasks of a waiting batch may start on a worker. Room that a gap is kept in is left, unless they end before
// the gap is needed; a gap that has not been filled in time is given up.
func (f *Forecaster) mayFill(at time.Duration, i int32, k int) int {
	b := &f.batches[i]
	free := f.free[k]
	if b.From > at || !f.suits(at, b, k) {
		return 0
	}
	if g := f.gaps.on(k); g != nil {
		switch {
		case g.owner == i, at > g.at:
			f.gaps.drop(k)
		case at+time.Duration(backfillMargin*float64(b.timeOn(&f.workers[k]))) > g.at:
			free = free.Minus(g.need)
		}
	}
	return b.Need.count(free, b.Count-f.outlooks[i].Placed)
}

func (f *Forecaster) better(a, b int) bool {
	if f.workers[a].Speed != f.workers[b].Speed {
		return f.workers[a].Speed > f.workers[b].Speed
	}
	return f.free[a].Milli < f.free[b].Milli
}

func (f *Forecaster) suits(at time.Duration, b *Batch, k int) bool {
	w := &f.workers[k]
	if !b.Need.Fits(f.free[k]) || !w.takes(b) {
		return false
	}
	return b.Started || at+b.timeOn(w)+b.After <= b.Latest
}

func (b *Batch) timeOn(w *Worker) time.Duration { return time.Duration(float64(b.Time) / w.Speed) }

// place starts n tasks of a batch on a worker; they end together.
func (f *Forecaster) place(at time.Duration, i, k, n int) {
	b, o := &f.batches[i], &f.outlooks[i]
	end := at + b.timeOn(&f.workers[k])
	if o.Placed == 0 {
		o.Start = at
	}
	o.Placed += n
	f.placements--
	o.End = max(o.End, end+b.After)
	f.free[k] = f.free[k].Minus(b.Need.Times(n))
	f.ends.push(ending{at: end, worker: int32(k), tasks: int32(n), need: b.Need})
}

// fill gives the room of a worker to the batches that wait.
func (f *Forecaster) fill(at time.Duration, k int) {
	kept := f.waiting[:0]
	scanned := 0
	for n, i := range f.waiting {
		if scanned++; scanned > scanLimit || f.free[k].Milli < f.smallest {
			kept = append(kept, f.waiting[n:]...)
			break
		}
		b := &f.batches[i]
		if !b.Started && at+time.Duration(float64(b.Time)/f.fastest)+b.After > b.Latest {
			continue
		}
		if n := f.mayFill(at, i, k); n > 0 {
			f.place(at, int(i), k, n)
		}
		if f.outlooks[i].Placed < b.Count {
			kept = append(kept, i)
		}
	}
	f.waiting = kept
}
