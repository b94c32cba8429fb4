package wharf

import (
	"context"
	"encoding/binary"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// followTargets asks a registry host for what has changed in its register; while none is there, any dispatch process.
func (p *plan) followTargets(m flotilla.Member) {
	key := source{name: m.Name, incarnation: m.Incarnation}
	if p.fetching[key] || m.TargetsRevision <= p.marks[key] {
		return
	}
	peers, registries := p.h.Fleet.PeerCounts()
	if !m.Registry && registries > 0 {
		return
	}
	now := p.h.Clock.Now()
	if peers > manyPeers && now.Sub(p.looked[key]) < p.followPause() {
		return
	}
	p.looked[key] = now
	p.fetching[key] = true
	since := p.marks[key]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		ev := targetsEvent{key: key}
		out, err := p.h.RPC.Probe(ctx, m.Address, kindTargets, binary.BigEndian.AppendUint64(nil, since))
		if err == nil {
			ev.mark, ev.entries, err = decodeTargets(out)
		}
		ev.err = err
		p.h.Post(p, ev)
	}()
}

// followPause returns the least pause between two looks at one register: planners need its news soon.
func (p *plan) followPause() time.Duration {
	if len(p.h.Fleet.Self().Claims) > 0 {
		return registerPause
	}
	return idlePause
}

func (p *plan) learnTargets(now time.Time, e targetsEvent) {
	delete(p.fetching, e.key)
	if e.err != nil {
		newsLost(p.h, "targets", e.key.name, e.err)
		return
	}
	p.marks[e.key] = max(p.marks[e.key], e.mark)
	for _, entry := range e.entries {
		entry.target.Part = flotilla.PartOf(entry.target.Domain, entry.target.ID)
		p.register.learn(now, entry)
		if entry.left {
			p.step(now, convoy.WorkerRemoved{ID: entry.target.ID})
			continue
		}
		p.step(now, convoy.WorkerListed{Target: entry.target})
	}
	p.h.Fleet.SetWorkerCounts(p.register.perDomain())
}
