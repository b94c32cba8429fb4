package convoy

import (
	"slices"
	"time"
)

// submit accepts a job, attaches the caller to the pending job of the same id, or refuses the job at once.
func (p *Planner) submit(now time.Time, in Job) {
	in = in.Measured()
	if pending, ok := p.jobs[in.ID]; ok {
		if !slices.Contains(pending.hosts, in.Host) {
			pending.hosts = append(pending.hosts, in.Host)
		}
		pending.Deadline = later(pending.Deadline, in.Deadline)
		p.noteOwnCaller(pending, in)
		return
	}
	if r, ok := p.results[in.ID]; ok && r.outcome == Completed {
		p.emit(Answer{ID: in.ID, Host: in.Host, Outcome: Completed, Reason: "completed before"})
		return
	}
	if p.stopping || len(p.claims) == 0 {
		p.emit(Answer{ID: in.ID, Host: in.Host, Outcome: Redirected, Cause: CauseNoWorker, Reason: "this host plans no domain"})
		return
	}
	if late, ok := p.mayStartLate(now, in); ok {
		// The caller's former attempt may run, so this is no refusal.
		p.emit(Answer{ID: in.ID, Host: in.Host, Outcome: Lost, Cause: late.cause, Reason: late.reason})
		return
	}
	j := newJob(in)
	p.noteOwnCaller(j, in)
	p.routeStats(j.Route).addJob(now, j)
	p.noteArrival(j)
	p.updateTypicalMilli(j)
	p.noteSizes(now, in)
	p.classify(j)
	refusal, ok := p.checkAdmission(now, j)
	if !ok && !j.Pinned && p.returnsRefused(now, j, refusal.neverFits) {
		p.settle(now, j, Redirected)
		p.emit(Answer{ID: in.ID, Host: in.Host, Outcome: Redirected, Cause: refusal.cause, Reason: refusal.reason})
		return
	}
	if !ok {
		p.settle(now, j, Refused)
		p.emit(Answer{
			ID: in.ID, Host: in.Host, Outcome: Refused, Cause: refusal.cause, Reason: refusal.reason, RetryAfter: refusal.retry,
		})
		return
	}
	p.jobs[j.ID] = j
	p.enqueue(j)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func newJob(in Job) *job {
	in = in.Measured()
	j := &job{
		Job: in, hosts: []string{in.Host}, left: in.Tasks(), progress: make([]stepProgress, len(in.Steps)),
		measured: make([]time.Duration, len(in.Steps)),
	}
	for i, s := range in.Steps {
		j.progress[i] = stepProgress{unmet: in.shape.needs[i], left: s.Count}
	}
	for _, i := range in.shape.first {
		j.enable(int(i))
	}
	return j
}

// queueReadyTasks queues the job if tasks of it can be started.
func (p *Planner) queueReadyTasks(j *job) {
	if j.waiting.count > 0 && !slices.Contains(p.queue, j) {
		p.enqueue(j)
	}
}

// updateTypicalMilli updates the moving mean of the CPU request of a task.
func (p *Planner) updateTypicalMilli(j *job) {
	for _, s := range j.Steps {
		p.typicalMilli += runTimeGain * (float64(s.Need.Milli) - p.typicalMilli)
		p.sizes.Observe(s.Need.Milli, s.Count)
	}
	p.typicalMilli = max(p.typicalMilli, 1)
}

// endJob answers all entry hosts that wait for a job and stops its remaining runs.
func (p *Planner) endJob(now time.Time, j *job, o Outcome, cause Cause, reason string, retry time.Duration) {
	if j.ended {
		return
	}
	p.updateHeard(now, j)
	p.recordLateStarts(now, j, o)
	j.ended, j.endedAt = true, now
	delete(p.jobs, j.ID)
	p.queue = slices.DeleteFunc(p.queue, func(q *job) bool { return q == j })
	p.settle(now, j, o)
	p.results[j.ID] = result{outcome: o, at: now}
	for _, host := range j.hosts {
		p.emit(Answer{ID: j.ID, Host: host, Outcome: o, Cause: cause, Reason: reason, RetryAfter: retry})
	}
	if o == Completed {
		return
	}
	for _, w := range p.sortedWorkers() {
		for _, r := range runsWith(w, func(r *run) bool { return r.task != nil && r.job == j }) {
			r.task = nil
			p.orphanCounts[j.ID]++
			if r.state != runStarting {
				p.orderStop(now, w, r)
			}
		}
	}
}

// detachHost detaches an entry host from a job and gives the job up if no other entry host waits for it.
func (p *Planner) detachHost(now time.Time, e JobCancelled) {
	j, ok := p.jobs[e.ID]
	if !ok {
		return
	}
	p.updateHeard(now, j)
	if i := slices.Index(j.hosts, e.Host); i >= 0 {
		j.hosts = slices.Delete(j.hosts, i, i+1)
	}
	if len(j.hosts) == 0 {
		p.logDecision(DecisionJobAbandoned, j.ID, "", e.Reason)
		p.endJob(now, j, Lost, CauseCallerGone, e.Reason, 0)
	}
}

// hostLost detaches a failed entry host from its jobs and gives up those that no other entry host waits for.
func (p *Planner) hostLost(now time.Time, host string) {
	for _, j := range p.jobList() {
		if slices.Contains(j.hosts, host) {
			p.updateHeard(now, j)
			j.hosts = slices.DeleteFunc(j.hosts, func(h string) bool { return h == host })
			if len(j.hosts) == 0 {
				p.logDecision(DecisionJobAbandoned, j.ID, "", "its entry host has failed")
				p.endJob(now, j, Lost, CauseHostLost, "its entry host is lost", 0)
			}
		}
	}
}

func (p *Planner) jobList() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return a.Arrived.Compare(b.Arrived) })
	return out
}
