package convoy

import "time"

// redirectJobs returns waiting jobs to their entry hosts while other planners have free slots for them.
func (p *Planner) redirectJobs(now time.Time) {
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
