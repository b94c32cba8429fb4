package convoy

import "time"

// A caller whose entry host died submits its job again after Tuning.CallerPause, to any host, and another planner may get
// it. The runs of the first attempt have to be over by then even if this planner dies too, so their leases end in time, and
// no task is started for a host that has been silent for Tuning.HostSilence.

// hostHeard records when an entry host was last known to be alive.
func (p *Planner) hostHeard(e HostHeard) {
	if e.At.After(p.heard[e.Host]) {
		p.heard[e.Host] = e.At
	}
}

// updateHeard records and returns when an entry host that waits for a job was last known to be alive.
func (p *Planner) updateHeard(now time.Time, j *job) time.Time {
	for _, host := range j.hosts {
		if host == p.tuning.Host {
			j.heardAt = later(j.heardAt, p.callersSeen(now))
		} else {
			j.heardAt = later(j.heardAt, p.heard[host])
		}
	}
	return j.heardAt
}

// standstill is a time in which this process did not run; its callers may have left meanwhile.
type standstill struct{ from, until time.Time }

// noteStandstill notices that this process has been suspended since the last step for longer than a host may be silent.
func (p *Planner) noteStandstill(lastStep, now time.Time) {
	if p.tuning.CallerPause > 0 && now.Sub(lastStep) > p.tuning.HostSilence {
		p.standstill = standstill{from: lastStep, until: now}
	}
}

// callersSeen returns when the callers of this process were last known to wait: not since it was suspended, until it has looked.
func (p *Planner) callersSeen(now time.Time) time.Time {
	if now.Sub(p.standstill.until) < p.tuning.CallerCheck {
		return p.standstill.from
	}
	return now
}

// noteOwnCaller records that a caller of this process waited for a job when it handed it in.
func (p *Planner) noteOwnCaller(j *job, in Job) {
	if in.Host == p.tuning.Host {
		j.heardAt = later(j.heardAt, in.Arrived)
	}
}

// isAwaited reports whether an entry host that waits for a job is known to be alive, so that tasks of it may start.
func (p *Planner) isAwaited(now time.Time, j *job) bool {
	return p.tuning.CallerPause == 0 || now.Sub(p.updateHeard(now, j)) <= p.tuning.HostSilence
}

// pauseAfterSilence returns what is left of a caller's pause when its entry host counts as silent.
func (p *Planner) pauseAfterSilence() time.Duration {
	return p.tuning.CallerPause - p.tuning.HostSilence
}

// leaseLength returns the longest lease that this planner asks for.
func (p *Planner) leaseLength() time.Duration {
	if p.tuning.CallerPause == 0 {
		return p.tuning.MaxLease
	}
	return min(p.tuning.MaxLease, leaseWithin(p.pauseAfterSilence()))
}

// leaseFor returns the longest lease that ends before a caller of any run on the worker can be back.
func (p *Planner) leaseFor(now time.Time, w *worker) time.Duration {
	length := p.leaseLength()
	if p.tuning.CallerPause == 0 {
		return length
	}
	for _, r := range w.runs {
		left := p.updateHeard(now, r.job).Add(p.tuning.CallerPause).Sub(now)
		if r.job.ended {
			left = min(left, r.job.endedAt.Add(p.pauseAfterSilence()).Sub(now))
		}
		length = min(length, leaseWithin(left))
	}
	return length.Truncate(time.Millisecond)
}

// leaseTooShort reports whether a worker runs tasks for a host that may be dead, so that a new task would hardly get a lease.
func (p *Planner) leaseTooShort(now time.Time, w *worker) bool {
	if !w.leaseCheckedAt.Equal(now) {
		w.leaseCheckedAt, w.shortLease = now, len(w.runs) > 0 && p.leaseFor(now, w) < minStartLease
	}
	return w.shortLease
}

// leaseWithin returns the lease that certainly ends within d on a worker's clock.
func leaseWithin(d time.Duration) time.Duration {
	return time.Duration(float64(d-leaseMargin) / clockDriftFactor)
}

// leaseBound returns the longest time for which a lease can last from when it is granted.
func leaseBound(length time.Duration) time.Duration {
	return time.Duration(clockDriftFactor*float64(length)) + leaseMargin
}
