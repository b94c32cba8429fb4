package convoy

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// minMoveWait is the wait here for which a job is moved: returning it and offering it again takes about that long.
	minMoveWait = 20 * time.Millisecond
	// sizeRetention is how long a planner tells of the room for tasks of a size that it was last asked for.
	sizeRetention = 10 * time.Second
)

// redirectJobs returns waiting jobs to their entry hosts while other planners have free slots for them.
func (p *Planner) redirectJobs(now time.Time) {
	if p.remote != nil {
		p.moveJobs(now)
		return
	}
	if p.remoteSlots <= 0 {
		return
	}
	for _, j := range append([]*job(nil), p.queue...) {
		if j.started || j.Pinned || now.Sub(j.Arrived) < redirectDelay || j.Tasks() > p.remoteSlots {
			continue
		}
		p.remoteSlots -= j.Tasks()
		p.endJob(now, j, Redirected, CauseRedirected, "another planner has room", 0)
	}
}

// updateRemote takes what the other planners have told of their room; nil says that they tell only free slots.
func (p *Planner) updateRemote(e RemoteCapacity) {
	p.remoteSlots = e.Tasks
	if e.Planners == nil {
		p.remote = nil
		return
	}
	old := p.remote
	p.remote = make(map[string]*RemoteRoom, len(e.Planners))
	for _, in := range e.Planners {
		r, known := old[in.Name]
		if !known {
			r = &RemoteRoom{}
		}
		r.Update(in)
		p.remote[in.Name] = r
	}
}

// returnsRefused reports whether a job that is not accepted here goes back for another planner, and counts it there. It answers
// for loads that come unevenly: while any planner in reach can serve a job in time, it is not refused.
func (p *Planner) returnsRefused(now time.Time, j *job, neverFits bool) bool {
	if p.remote == nil {
		if p.remoteSlots < j.Tasks() && !neverFits {
			return false
		}
		p.remoteSlots = max(0, p.remoteSlots-j.Tasks())
		return true
	}
	var best *RemoteRoom
	for _, r := range p.sortedRemote() {
		if wait := r.Wait(j.Job); j.EndsUseful(now, wait+minMoveWait) && (best == nil || wait < best.Wait(j.Job)) {
			best = r
		}
	}
	if best != nil {
		best.Take(now, j.Job)
	}
	return best != nil || neverFits
}

// moveJobs returns the jobs that have to wait here and could start at once at another planner. It answers for queues that grow
// at one planner while another idles. Jobs that were moved before stay.
func (p *Planner) moveJobs(now time.Time) {
	if len(p.queue) == 0 || now.Sub(p.lastMove) < redirectDelay {
		return
	}
	p.lastMove = now
	targets := p.moveTargets()
	if len(targets) == 0 {
		return
	}
	rate := p.endRate()
	ahead := 0
	for _, j := range append([]*job(nil), p.queue...) {
		ahead += j.waiting.count
		if j.started || j.Pinned || now.Sub(j.Arrived) < redirectDelay || waitFor(ahead, rate) < minMoveWait || !j.EndsUseful(now, minMoveWait) {
			continue
		}
		i := slices.IndexFunc(targets, func(m moveTarget) bool { return m.takes(j.Job) })
		if i < 0 {
			continue
		}
		targets[i].Take(now, j.Job)
		ahead -= j.waiting.count
		p.logDecision(DecisionMoved, j.ID, "", targets[i].Name+" has room")
		p.endJob(now, j, Redirected, CauseRedirected, "another planner has room", 0)
	}
}

// moveTargets returns the other planners that have told of room.
func (p *Planner) moveTargets() []moveTarget {
	var idle []*RemoteRoom
	var rivals []string
	for _, r := range p.sortedRemote() {
		if slices.ContainsFunc(r.Digest.Sizes, func(s SizeRoom) bool { return s.Tasks > 0 }) {
			idle = append(idle, r)
		}
		if slices.ContainsFunc(r.Digest.Waits, func(w RouteWait) bool { return w.Wait > 0 }) {
			rivals = append(rivals, r.Name)
		}
	}
	out := make([]moveTarget, 0, len(idle))
	for _, r := range idle {
		out = append(out, newMoveTarget(r, p.tuning.Host, rivals))
	}
	return out
}

func (p *Planner) sortedRemote() []*RemoteRoom {
	return slices.SortedFunc(maps.Values(p.remote), func(a, b *RemoteRoom) int { return strings.Compare(a.Name, b.Name) })
}

// noteSizes records the sizes and the route of a job, for the digest.
func (p *Planner) noteSizes(now time.Time, in Job) {
	if p.remote == nil {
		return
	}
	for _, s := range in.Steps {
		p.sizesAsked[sizeClass(s.Need.Milli)] = now
	}
	in.Spec = ""
	p.lastOfRoute[in.Route] = in
}

// Digest returns what this planner tells of its room.
func (p *Planner) Digest(now time.Time) Digest {
	var d Digest
	waiting := p.Waiting()
	for _, class := range p.digestClasses(now) {
		d.Sizes = append(d.Sizes, SizeRoom{Class: class, Tasks: min(maxDigestTasks, max(0, p.startable(now, classMilli(class))-waiting))})
	}
	rate := p.endRate()
	for _, in := range p.latestJobs(now) {
		d.Waits = append(d.Waits, RouteWait{Route: RouteHash(in.Route), Wait: p.expectedWait(now, in, rate)})
	}
	return d
}

// latestJobs returns the last job of each of the routes that jobs came of most lately, as if it arrived now.
func (p *Planner) latestJobs(now time.Time) []Job {
	var out []Job
	for route, in := range p.lastOfRoute {
		if now.Sub(in.Arrived) > sizeRetention {
			delete(p.lastOfRoute, route)
			continue
		}
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b Job) int { return cmp.Or(b.Arrived.Compare(a.Arrived), strings.Compare(a.Route, b.Route)) })
	out = out[:min(len(out), maxDigestWaits)]
	slices.SortFunc(out, func(a, b Job) int { return strings.Compare(a.Route, b.Route) })
	for i, in := range out {
		out[i].Arrived, out[i].Deadline = now, now.Add(in.Deadline.Sub(in.Arrived))
	}
	return out
}

// digestClasses returns the size classes that the digest tells: those asked for lately, the typical one, and the largest that
// fits on an idle worker.
func (p *Planner) digestClasses(now time.Time) []int {
	largest := int64(1)
	for _, w := range p.workers {
		largest = max(largest, w.target.Capacity.Milli)
	}
	fits := sizeClass(largest)
	if classMilli(fits) > largest {
		fits--
	}
	classes := []int{sizeClass(int64(p.typicalMilli)), fits}
	for class, at := range p.sizesAsked {
		if now.Sub(at) > sizeRetention {
			delete(p.sizesAsked, class)
			continue
		}
		classes = append(classes, class)
	}
	slices.Sort(classes)
	classes = slices.Compact(classes)
	// Requests between two classes are rounded up, so the largest ones stay.
	for drop := 0; len(classes) > maxDigestSizes; drop++ {
		classes = slices.Delete(classes, drop, drop+1)
		if drop+2 >= len(classes) {
			drop = -1
		}
	}
	return classes
}

// startable returns how many tasks of a size could start at once.
func (p *Planner) startable(now time.Time, milli int64) int {
	n := 0
	for _, w := range p.workers {
		if w.acceptsTasks(now) && !w.handingOver {
			n += int(max(0, w.freeCapacity().Milli) / max(1, milli))
		}
	}
	return n
}

// endRate returns how many runs end a second, as long as all slots are in use.
func (p *Planner) endRate() float64 {
	rate := 0.0
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.predicted > 0 {
				rate += 1 / r.predicted.Seconds()
			}
		}
	}
	return max(rate, 1)
}

// expectedWait returns when a job that arrives now would get the room that it needs: at once, or when as many runs have ended as
// it and the work ahead of it have tasks. The queue is in order since the last step.
func (p *Planner) expectedWait(now time.Time, in Job, rate float64) time.Duration {
	ahead := 0
	if len(p.queue) > 0 {
		j := &job{Job: in}
		place, _ := slices.BinarySearchFunc(p.queue, j, func(q, j *job) int { return p.compareJobs(now, q, j) })
		for _, q := range p.queue[:place] {
			ahead += q.waiting.count
		}
	}
	milli, tasks := in.firstTasks()
	missing := ahead + tasks - p.startable(now, milli)
	if missing <= 0 {
		return 0
	}
	return waitFor(missing, rate)
}

// waitFor returns how long it takes until a number of runs have ended.
func waitFor(runs int, rate float64) time.Duration {
	return time.Duration(float64(runs) / rate * float64(time.Second))
}
