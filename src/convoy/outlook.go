package convoy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sesamecleat/src/stowage"
)

const (
	// overrunShare is how much longer a run that has exceeded its predicted run time is expected to take, of its time so far.
	overrunShare = 0.25
	// contactTime is when a worker that has not been contacted yet is expected to take tasks.
	contactTime = 20 * time.Millisecond
	// lateMargin is by how much of its objective a job may be expected to miss it.
	lateMargin = 1.3
	// maxRefusals bounds the forecasts of one step; later steps refuse the rest.
	maxRefusals = 4
	// maxForecast is later than any job in a forecast ends.
	maxForecast = time.Hour
)

// outlook is the forecast of the queue, with its buffers.
type outlook struct {
	forecaster stowage.Forecaster
	workers    []stowage.Worker
	// viewed holds the planner's worker of each of the workers.
	viewed  []*worker
	runs    []stowage.Run
	batches []stowage.Batch
	// owners holds the job of each batch, nil for one that is expected to arrive.
	owners []*job
	// arrived is the job that has just arrived and does not wait yet, or nil.
	arrived *job
}

// checkRoom decides on arrival whether a job can end in time, in the order in which the queue is served and with the room that the
// running and the waiting tasks leave on each worker. It answers overload by jobs whose tasks leave holes that no other task fits.
func (p *Planner) checkRoom(now time.Time, j *job) (refusal, bool) {
	if !p.viewWorkers(now) {
		return refusal{}, true
	}
	for range maxRefusals {
		missed := p.forecastQueue(now, j)
		switch missed {
		case nil:
			return refusal{}, true
		case j:
			return p.noRoom(j), false
		}
		p.refuseOvertaken(now, missed)
	}
	if p.forecastQueue(now, j) == j {
		return p.noRoom(j), false
	}
	return refusal{}, true
}

func (p *Planner) noRoom(j *job) refusal {
	roomIn := p.outlook.forecaster.RoomIn
	reason := fmt.Sprintf("no room in time for its %d tasks; %d others wait, and room beyond them is expected in %s",
		j.Tasks(), p.Waiting(), roomIn.Round(time.Millisecond))
	return refusal{cause: CauseBacklog, reason: reason, retry: clampRetryDelay(roomIn)}
}

// refuseMissing refuses the waiting jobs that have not started and no longer get room in time.
func (p *Planner) refuseMissing(now time.Time) {
	if len(p.queue) == 0 || !p.viewWorkers(now) {
		return
	}
	for range maxRefusals {
		missed := p.forecastQueue(now, nil)
		if missed == nil {
			return
		}
		p.refuseOvertaken(now, missed)
	}
}

// forecastQueue forecasts the queue, with a job that has just arrived unless it is nil, and returns the first job in the order that is
// not served in time, or nil: those behind it may be served once it is refused. The workers must have been viewed.
func (p *Planner) forecastQueue(now time.Time, arrived *job) *job {
	o := &p.outlook
	p.keepSorted(now)
	o.batches, o.owners, o.arrived = o.batches[:0], o.owners[:0], arrived
	added := arrived == nil
	for _, q := range p.queue {
		if !added && p.compareJobs(now, q, arrived) > 0 {
			added = true
			p.addArrived(now, arrived)
		}
		p.addBatches(now, q)
	}
	if !added {
		p.addArrived(now, arrived)
	}
	outlooks := o.forecaster.Forecast(o.workers, o.batches, p.gapSizes())
	for i, l := range outlooks {
		if o.owners[i] != nil && o.owners[i] == arrived {
			arrived.forecast = now.Add(l.Start)
			break
		}
	}
	return o.missed(outlooks)
}

// gapSizes returns the usual sizes if gaps are kept by them, or nil.
func (p *Planner) gapSizes() *stowage.Sizes {
	if _, ok := p.tuning.Policies.Placement.(PlaceAhead); ok {
		return &p.sizes
	}
	return nil
}

// addArrived adds a job that has just arrived to the forecast, behind those that are expected to overtake it.
func (p *Planner) addArrived(now time.Time, j *job) {
	p.addArrivals(now, j)
	p.addBatches(now, j)
}

// refuseOvertaken refuses a job that waits, or returns it if another planner has room.
func (p *Planner) refuseOvertaken(now time.Time, j *job) {
	if !j.Pinned && p.remoteSlots >= j.Tasks() {
		p.remoteSlots -= j.Tasks()
		p.endJob(now, j, Redirected, CauseRedirected, "other jobs go first here, and another planner has room", 0)
		return
	}
	reason := fmt.Sprintf("other jobs go first; after %s no room is left for its %d tasks in time",
		now.Sub(j.Arrived).Round(time.Millisecond), j.Tasks())
	p.logDecision(DecisionOvertaken, j.ID, "", reason)
	p.endJob(now, j, Refused, CauseQueueTimeout, reason, clampRetryDelay(p.outlook.forecaster.RoomIn))
}

// missed returns the first job that has not started and of which a task gets no room in time, or nil.
func (o *outlook) missed(outlooks []stowage.Outlook) *job {
	for i, l := range outlooks {
		if j := o.owners[i]; l.Placed < o.batches[i].Count && j != nil && !j.started {
			return j
		}
	}
	return nil
}

// viewWorkers describes the room of the workers that take tasks now or soon; it reports whether there are any.
func (p *Planner) viewWorkers(now time.Time) bool {
	o := &p.outlook
	o.workers, o.viewed, o.runs = o.workers[:0], o.viewed[:0], o.runs[:0]
	for _, w := range p.sortedFleet() {
		opens, ok := w.opensIn(now)
		if !ok {
			w.view = -1
			continue
		}
		w.view = len(o.workers)
		o.viewed = append(o.viewed, w)
		first := len(o.runs)
		for _, r := range w.runs {
			o.runs = append(o.runs, stowage.Run{Need: stowage.Room(r.need), Ends: r.endsIn(now)})
		}
		runs := o.runs[first:len(o.runs):len(o.runs)]
		slices.SortFunc(runs, func(a, b stowage.Run) int {
			return cmp.Or(cmp.Compare(a.Ends, b.Ends), cmp.Compare(a.Need.Milli, b.Need.Milli))
		})
		o.workers = append(o.workers, stowage.Worker{
			Pool: w.target.Pool, Labels: w.target.Labels, Free: stowage.Room(w.freeCapacity()), Speed: w.speedAt(now),
			Opens: opens, Runs: runs,
		})
	}
	return len(o.workers) > 0
}

// opensIn returns in what time a worker is expected to take tasks, and whether it is.
func (w *worker) opensIn(now time.Time) (time.Duration, bool) {
	if w.target.Leaving || w.target.Expired || w.handingOver || w.emptied || w.unanswered > 0 {
		return 0, false
	}
	switch {
	case w.phase == phaseNew || (w.phase == phaseReady && !w.described()):
		return contactTime, true
	case w.phase != phaseReady:
		return 0, false
	case len(w.orphans) > 0:
		return stopRetryInterval, true
	}
	return max(0, w.skipUntil.Sub(now)), true
}

// endsIn returns in what time a run is expected to end.
func (r *run) endsIn(now time.Time) time.Duration {
	elapsed := now.Sub(r.startedAt)
	return max(r.predicted-elapsed, time.Duration(overrunShare*float64(elapsed)), runOverhead)
}

// addBatches adds the waiting tasks of a job to the forecast. The steps behind its window count as one with tasks of their mean size.
func (p *Planner) addBatches(now time.Time, j *job) {
	rest := j.waiting
	for _, i := range j.window() {
		s := j.Steps[i]
		waiting := j.waitingIn(int(i))
		rest.add(-waiting, s)
		p.addBatch(now, j, int(i), waiting, s)
	}
	if n := int64(rest.count); n > 0 {
		mean := Resources{Milli: rest.need.Milli / n, Memory: rest.need.Memory / n, Accelerators: rest.need.Accelerators / n}
		p.addBatch(now, j, int(j.ready[stepWindow]), rest.count, Step{Need: mean, Estimate: time.Duration(rest.time / n)})
	}
}

// addBatch adds waiting tasks with the needs of s. They count as tasks of a step of the job: what depends on it has to end in time, too.
func (p *Planner) addBatch(now time.Time, j *job, step, waiting int, s Step) {
	o := &p.outlook
	k := p.routeStats(j.Route)
	o.owners = append(o.owners, j)
	o.batches = append(o.batches, stowage.Batch{
		Pool: j.Pool, Label: s.Label, Count: waiting, Need: stowage.Room(s.Need), Time: k.predict(s.Estimate) + runOverhead,
		After: k.predict(j.shape.after[step]), Latest: p.refuseAfter(j).Sub(now), Started: j.started,
	})
}

// keepSorted sorts the queue unless it is in order, as it mostly is.
func (p *Planner) keepSorted(now time.Time) {
	for _, j := range p.queue {
		j.standing = standing{}
	}
	if !slices.IsSortedFunc(p.queue, func(a, b *job) int { return p.compareJobs(now, a, b) }) {
		p.sortQueue(now)
	}
}

// sortedFleet returns the workers ordered by id; the caller must not change the slice.
func (p *Planner) sortedFleet() []*worker {
	if p.fleet == nil {
		p.fleet = p.sortedWorkers()
	}
	return p.fleet
}

// refuseAfter returns the time by which a job has to be expected to end, or it is refused. While others wait that is somewhat
// after its objective, as forecasts err: an answer that is certain to be late would take the room of one in time.
func (p *Planner) refuseAfter(j *job) time.Time {
	useful := p.usefulUntil(j)
	waiting := len(p.queue)
	if p.outlook.arrived != nil {
		waiting++
	}
	if waiting <= 1 {
		return useful
	}
	limit := j.Arrived.Add(time.Duration(lateMargin * float64(p.objective(j).Sub(j.Arrived))))
	if useful.Before(limit) {
		return useful
	}
	return limit
}
