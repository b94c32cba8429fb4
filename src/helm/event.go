package helm

import (
	"sesamecleat/src/roster"
)

// Event is an input of a plug-in; each plug-in's own events and the shared ones below implement it.
type Event interface{ HelmEvent() }

// PeerChanged tells that the knowledge of another process changed.
type PeerChanged struct {
	Peer      roster.Peer
	Before    roster.Status
	Restarted bool
}

// TablesChanged tells that this process serves newer tables.
type TablesChanged struct{ Revision uint64 }

// Leaving tells that a planned stop began: no new work is taken.
type Leaving struct{}

// HelmEvent marks an event.
func (PeerChanged) HelmEvent() {}

// HelmEvent marks an event.
func (TablesChanged) HelmEvent() {}

// HelmEvent marks an event.
func (Leaving) HelmEvent() {}
