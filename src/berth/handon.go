package berth

// handOn gives a task to the host with the most room above the reserve.
func (p *Planner) handOn(k *task, reserve int) bool {
	if k.NoHandoff {
		return false
	}
	best := ""
	most := reserve
	near := false
	for name, o := range p.others {
		if !o.near && !k.Spill {
			continue
		}
		free := o.free[k.Pool]
		better := free > most || (free == most && name < best)
		if (o.near && !near && free > reserve) || (o.near == near && better) {
			best, most, near = name, free, o.near
		}
	}
	if best == "" {
		return false
	}
	p.others[best].free[k.Pool]--
	p.handTo(k, best)
	return true
}

// handToOwner gives a task to a host that owns a target of the pool when this one owns none.
func (p *Planner) handToOwner(pool *pool, k *task) bool {
	if k.NoHandoff {
		return false
	}
	owner := p.ownerElsewhere(pool, k)
	if owner == "" {
		return false
	}
	p.handTo(k, owner)
	return true
}

// ownerElsewhere returns another host that owns a target fit for k, if this host owns none.
func (p *Planner) ownerElsewhere(pool *pool, k *task) string {
	owner := ""
	for _, s := range pool.seats {
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

func (p *Planner) handTo(k *task, host string) {
	k.host = host
	k.started++
	p.out = append(p.out, Handoff{ID: k.ID, Host: host})
}

// elsewhere reports whether another host has room for tasks like k.
func (p *Planner) elsewhere(pool *pool, k *task) bool {
	if p.ownerElsewhere(pool, k) != "" {
		return true
	}
	for _, o := range p.others {
		if (o.near || k.Spill) && o.free[k.Pool] > 0 {
			return true
		}
	}
	return false
}
