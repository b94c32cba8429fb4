package convoy

import (
	"cmp"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var playLimit = flag.Bool("limit", false, "place a minute of load offline, beside the planner's")

// placedRun is a run of an offline placement.
type placedRun struct {
	begin, end time.Time
	milli      int64
}

// offlineWorker is the CPU of a worker and its runs, ordered by their begin.
type offlineWorker struct {
	milli int64
	runs  []placedRun
}

// earliest returns the first time from begin on at which a run fits, or the zero time if it does not end by latest.
func (w *offlineWorker) earliest(begin, latest time.Time, takes time.Duration, milli int64) time.Time {
	var near []placedRun
	for _, r := range w.runs {
		if r.begin.Before(latest) && r.end.After(begin) {
			near = append(near, r)
		}
	}
	tries := []time.Time{begin}
	for _, r := range near {
		tries = append(tries, r.end)
	}
	slices.SortFunc(tries, time.Time.Compare)
	for _, at := range tries {
		if at.Before(begin) {
			continue
		}
		if at.Add(takes).After(latest) {
			break
		}
		if w.fits(near, at, at.Add(takes), milli) {
			return at
		}
	}
	return time.Time{}
}

// fits reports whether the runs leave room for another one all the while.
func (w *offlineWorker) fits(near []placedRun, begin, end time.Time, milli int64) bool {
	usedAt := func(at time.Time) int64 {
		used := int64(0)
		for _, r := range near {
			if !r.begin.After(at) && r.end.After(at) {
				used += r.milli
			}
		}
		return used
	}
	if usedAt(begin)+milli > w.milli {
		return false
	}
	for _, r := range near {
		if r.begin.After(begin) && r.begin.Before(end) && usedAt(r.begin)+milli > w.milli {
			return false
		}
	}
	return true
}

// placeOffline places the jobs knowing all run times and arrivals, those with the most worth for their work first, each whole and
// within its objective or not at all. It returns the share of the worth that is served.
func placeOffline(jobs []scarceJob) float64 {
	workers := make([]offlineWorker, scarceWorkers)
	for i := range workers {
		workers[i].milli = scarceRooms[i%len(scarceRooms)]
	}
	asked, worth := make(map[string]float64), make(map[string]float64)
	for i, k := range scarceMix(1) {
		worth[k.route] = scarceWorths[i]
	}
	work := func(j scarceJob) float64 {
		sum := 0.0
		for _, ms := range j.durations {
			sum += ms
		}
		return sum * float64(j.Steps[0].Need.Milli)
	}
	for _, j := range jobs {
		asked[j.Route]++
	}
	order := slices.Clone(jobs)
	value := func(j scarceJob) float64 { return worth[j.Route] / asked[j.Route] / work(j) }
	slices.SortFunc(order, func(a, b scarceJob) int { return cmp.Compare(value(b), value(a)) })
	got := 0.0
	for _, j := range order {
		if placeWhole(workers, j) {
			got += worth[j.Route] / asked[j.Route]
		}
	}
	return got
}

// placeWhole places all tasks of a job, or none.
func placeWhole(workers []offlineWorker, j scarceJob) bool {
	type change struct{ worker, at int }
	var changes []change
	milli, latest := j.Steps[0].Need.Milli, j.Arrived.Add(j.objective)
	for _, ms := range j.durations {
		takes := time.Duration(ms * float64(time.Millisecond))
		best, bestAt := -1, time.Time{}
		for i := range workers {
			at := workers[i].earliest(j.Arrived, latest, takes, milli)
			if !at.IsZero() && (best < 0 || at.Before(bestAt)) {
				best, bestAt = i, at
			}
		}
		if best < 0 {
			for _, c := range slices.Backward(changes) {
				workers[c.worker].runs = slices.Delete(workers[c.worker].runs, c.at, c.at+1)
			}
			return false
		}
		w := &workers[best]
		w.runs = append(w.runs, placedRun{begin: bestAt, end: bestAt.Add(takes), milli: milli})
		changes = append(changes, change{worker: best, at: len(w.runs) - 1})
	}
	return true
}

// TestOfflineLimit shows what is left to gain at full load: the planner's worth beside that of an offline placement of the same
// minute, which also knows what will come.
func TestOfflineLimit(t *testing.T) {
	if !*playLimit {
		t.Skip("plays two minutes; -limit asks for it")
	}
	for name, rate := range map[string]float64{"all of the room": 150, "half again as much": 220} {
		t.Run(name, func(t *testing.T) {
			play := playScarce(t, 1, rate, time.Minute, byRoom)
			got := 0.0
			for i, k := range scarceMix(1) {
				got += scarceWorths[i] * play.counts[k.route].score()
			}
			limit := placeOffline(play.jobs)
			t.Logf("%d jobs: room and ahead %.3f, offline %.3f", len(play.jobs), got, limit)
			require.Less(t, got, limit)
		})
	}
}
