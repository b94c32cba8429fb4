package convoy

import (
	"slices"
	"time"
)

// submit takes a job in, joins it to the one that bears its id, or refuses it at once.
func (p *Planner) submit(now time.Time, in Job) {
	if held, ok := p.jobs[in.ID]; ok {
		held.hosts = append(held.hosts, in.Host)
		held.Deadline = later(held.Deadline, in.Deadline)
		return
	}
	if r, ok := p.results[in.ID]; ok && r.outcome == Completed {
		p.act(Answer{ID: in.ID, Host: in.Host, Outcome: Completed, Reason: "completed before"})
		return
	}
	if p.stopping || len(p.claims) == 0 {
		p.act(Answer{ID: in.ID, Host: in.Host, Outcome: Redirected, Cause: CauseNoWorker, Reason: "this host plans no domain"})
		return
	}
	j := newJob(in)
	p.kind(j.Route).arrived(now, j)
	p.remember(j)
	refusal, ok := p.judge(now, j)
	if !ok && !j.Pinned && (p.elsewhere >= j.Tasks() || refusal.misfit) {
		p.elsewhere = max(0, p.elsewhere-j.Tasks())
		p.act(Answer{ID: in.ID, Host: in.Host, Outcome: Redirected, Cause: refusal.cause, Reason: refusal.reason})
		return
	}
	if !ok {
		p.act(Answer{ID: in.ID, Host: in.Host, Outcome: Refused, Cause: refusal.cause, Reason: refusal.reason, RetryAfter: refusal.retry})
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
	j := &job{Job: in, hosts: []string{in.Host}, left: make([]int, len(in.Steps))}
	for i, s := range in.Steps {
		tasks := make([]*task, s.Count)
		for k := range tasks {
			tasks[k] = &task{job: j, step: i, index: k}
		}
		j.tasks = append(j.tasks, tasks)
		j.left[i] = s.Count
	}
	j.recount()
	return j
}

// recount counts the tasks that could start now.
func (j *job) recount() {
	j.waiting = 0
	for i := range j.Steps {
		if !j.due(i) {
			continue
		}
		for _, t := range j.tasks[i] {
			if !t.done && t.run == nil {
				j.waiting++
			}
		}
	}
}

// due reports whether the steps before this one are done.
func (j *job) due(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

// open lets the tasks wait whose steps have become due.
func (p *Planner) open(j *job) {
	j.recount()
	if j.waiting > 0 && !slices.Contains(p.queue, j) {
		p.enqueue(j)
	}
}

// remember keeps the moving mean of what an ordinary task needs.
func (p *Planner) remember(j *job) {
	for _, s := range j.Steps {
		p.typical += kindGain * (float64(s.Need.Milli) - p.typical)
	}
	p.typical = max(p.typical, 1)
}

// end answers everyone who waits for a job and stops what is left of it.
func (p *Planner) end(now time.Time, j *job, o Outcome, cause Cause, reason string, retry time.Duration) {
	if j.ended {
		return
	}
	j.ended = true
	delete(p.jobs, j.ID)
	p.queue = slices.DeleteFunc(p.queue, func(q *job) bool { return q == j })
	p.results[j.ID] = result{outcome: o, at: now}
	for _, host := range j.hosts {
		p.act(Answer{ID: j.ID, Host: host, Outcome: o, Cause: cause, Reason: reason, RetryAfter: retry})
	}
	if o == Completed {
		return
	}
	for _, w := range p.sorted() {
		for _, r := range sortedRuns(w) {
			if r.task != nil && r.task.job == j {
				r.task = nil
				p.leftover[j.ID]++
				if r.state != runStarting {
					p.orderStop(now, w, r)
				}
			}
		}
	}
}

// drop gives a job up that nobody waits for any more.
func (p *Planner) drop(now time.Time, e JobCancelled) {
	j, ok := p.jobs[e.ID]
	if !ok {
		return
	}
	if i := slices.Index(j.hosts, e.Host); i >= 0 {
		j.hosts = slices.Delete(j.hosts, i, i+1)
	}
	if len(j.hosts) == 0 {
		p.note(DecisionJobAbandoned, j.ID, "", e.Reason)
		p.end(now, j, Lost, CauseCallerGone, e.Reason, 0)
	}
}

// hostLost gives up the jobs of an entry host that cannot answer its callers any more.
func (p *Planner) hostLost(now time.Time, host string) {
	for _, j := range p.jobList() {
		if slices.Contains(j.hosts, host) {
			j.hosts = slices.DeleteFunc(j.hosts, func(h string) bool { return h == host })
			if len(j.hosts) == 0 {
				p.note(DecisionJobAbandoned, j.ID, "", "its entry host is lost")
				p.end(now, j, Lost, CauseHostLost, "its entry host is lost", 0)
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
