package berth

// handOff hands a task to the host with the most free slots above the reserve; hosts of the same failure domain come first.
func (p *Planner) handOff(k *task, reserve int) bool {
	if k.NoHandoff {
		return false
	}
	best := ""
	most := reserve
	near := false
	for name, o := range p.remoteHosts {
		if !o.sameDomain && !k.Spill {
			continue
		}
		free := o.free[k.Pool]
		better := free > most || (free == most && name < best)
		if (o.sameDomain && !near && free > reserve) || (o.sameDomain == near && better) {
			best, most, near = name, free, o.sameDomain
		}
	}
	if best == "" {
		return false
	}
	p.remoteHosts[best].free[k.Pool]--
	p.handOffTo(k, best)
	return true
}

// handOffToOwner hands a task to a host that owns a target of the pool if this host owns none.
func (p *Planner) handOffToOwner(pool *pool, k *task) bool {
	if k.NoHandoff {
		return false
	}
	owner := p.remoteOwner(pool, k)
	if owner == "" {
		return false
	}
	p.handOffTo(k, owner)
	return true
}

// remoteOwner returns another host that owns a target large enough for k, or "" if this host owns one.
func (p *Planner) remoteOwner(pool *pool, k *task) string {
	owner := ""
	for _, s := range pool.members {
		t := s.target
		if t.Leaving || !t.everFits(k.Need) {
			continue
		}
		if t.owned {
			return ""
		}
		owner = Owner(p.hosts, t.Name)
	}
	return owner
}

func (p *Planner) handOffTo(k *task, host string) {
	k.handedTo = host
	k.starts++
	p.actions = append(p.actions, Handoff{ID: k.ID, Host: host})
}

// hasRemoteCapacity reports whether another host could take tasks like k.
func (p *Planner) hasRemoteCapacity(pool *pool, k *task) bool {
	if p.remoteOwner(pool, k) != "" {
		return true
	}
	for _, o := range p.remoteHosts {
		if (o.sameDomain || k.Spill) && o.free[k.Pool] > 0 {
			return true
		}
	}
	return false
}
