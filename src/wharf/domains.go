package wharf

import (
	"strings"
	"sync/atomic"
	"time"

	"sesamecleat/src/charter"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("domains", startOrderDomains, newDomains, manifest.Dispatch, manifest.Registry)
}

// domains holds which failure domains are emptied, as far as this process knows. The list goes with the heartbeats: whoever hears of
// a higher revision passes it on, so that it also reaches processes that hear of no registry host.
type domains struct {
	h       *helm.Kernel
	emptied []string
	// revision and count are for the metrics, too.
	revision atomic.Uint64
	count    atomic.Int64
}

// domainsCommittedEvent carries the orders for failure domains committed to the replicated log.
type domainsCommittedEvent struct{ domains charter.Domains }

// domainsInForceEvent tells the other plug-ins which failure domains are emptied.
type domainsInForceEvent struct{ emptied []string }

func (domainsCommittedEvent) KernelEvent() {}
func (domainsInForceEvent) KernelEvent()   {}

func newDomains(h *helm.Kernel) helm.Plugin { return &domains{h: h} }

// Start registers the metrics.
func (d *domains) Start() error {
	d.h.Metrics.GetOrCreateGauge("sesamecleat_domains_revision", func() float64 { return float64(d.revision.Load()) })
	d.h.Metrics.GetOrCreateGauge("sesamecleat_domains_emptied", func() float64 { return float64(d.count.Load()) })
	return nil
}

// Stop has nothing to release.
func (d *domains) Stop() {}

// Handle takes newer orders from the log and from other processes' heartbeats.
func (d *domains) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case domainsCommittedEvent:
		d.install(now, e.domains.Revision, e.domains.Emptied(), "log")
	case fleetEvent:
		if u, ok := e.action.(flotilla.PeerUpdated); ok {
			d.install(now, u.Peer.Member.DomainsRevision, u.Peer.Member.EmptiedDomains, u.Peer.Member.Name)
		}
	}
}

func (d *domains) install(now time.Time, revision uint64, emptied []string, from string) {
	if revision <= d.revision.Load() {
		return
	}
	d.emptied = emptied
	d.revision.Store(revision)
	d.count.Store(int64(len(emptied)))
	d.h.Log.Write(logbook.DomainsApplied, logbook.F("revision", revision), logbook.F("emptied", strings.Join(emptied, " ")), logbook.F("from", from))
	d.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.DomainsRevision, m.EmptiedDomains = revision, emptied })
	d.h.Publish(now, domainsInForceEvent{emptied: emptied})
}
