package wharf

import (
	"context"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// fetchTargets asks a registry host for the changes in its list of targets; while no registry host is known, it asks
// any dispatch process.
func (p *plan) fetchTargets(m flotilla.Member) {
	source := processRun{name: m.Name, incarnation: m.Incarnation}
	if p.fetching[source] || m.TargetsRevision <= p.revisions[source] {
		return
	}
	peers, registries := p.h.Fleet.PeerCounts()
	if !m.Registry && registries > 0 {
		return
	}
	now := p.h.Clock.Now()
	if peers > manyPeers && now.Sub(p.lastFetch[source]) < p.minFetchInterval() {
		return
	}
	p.lastFetch[source] = now
	p.fetching[source] = true
	since := p.revisions[source]
	size, known := p.pageSizes[source]
	if !known {
		size = firstPiece
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		ev := targetsFetchedEvent{source: source, pageSize: size}
		began := p.h.Clock.Now()
		out, err := p.h.RPC.Probe(ctx, m.Address, kindFetchTargets, encodeTargetRequest(since, size))
		if err != nil {
			ev.pageSize.shrink()
		} else {
			// What a short answer takes says little of the link.
			if len(out) >= int(size)/2 {
				ev.pageSize.adapt(len(out), p.h.Clock.Now().Sub(began))
			}
			ev.revision, ev.entries, err = decodeTargets(p.h.Clock.Now(), out)
		}
		ev.err = err
		p.h.Post(p, ev)
	}()
}

// minFetchInterval returns the least time between two fetches from one process; planners need changes soon.
func (p *plan) minFetchInterval() time.Duration {
	if len(p.h.Fleet.Self().Claims) > 0 {
		return targetFetchInterval
	}
	return idleFetchInterval
}

func (p *plan) onTargetsFetched(now time.Time, e targetsFetchedEvent) {
	delete(p.fetching, e.source)
	p.pageSizes[e.source] = e.pageSize
	if e.err != nil {
		reportUpdateFailure(p.h, "targets", e.source.name, e.err)
		return
	}
	p.revisions[e.source] = max(p.revisions[e.source], e.revision)
	for _, entry := range e.entries {
		entry.target.Part = flotilla.PartOf(entry.target.Domain, entry.target.ID)
		if !p.targets.merge(now, entry) {
			continue
		}
		if entry.departed {
			p.step(now, convoy.WorkerRemoved{ID: entry.target.ID})
			continue
		}
		p.step(now, convoy.WorkerListed{Target: entry.target})
	}
	p.h.Fleet.SetWorkerCounts(p.targets.countPerDomain())
	if peer, ok := p.h.Fleet.Peer(e.source.name); ok && len(e.entries) > 0 && e.revision < peer.Member.TargetsRevision {
		// The rest of a list that takes several pages is not held back.
		delete(p.lastFetch, e.source)
		p.fetchTargets(peer.Member)
	}
}
