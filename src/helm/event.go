package helm

import (
	"sesamecleat/src/manifest"
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

// StopNoticed tells that a planned stop is coming: work is still taken, and what others can take over is handed to them.
type StopNoticed struct{}

// Reloaded tells that the settings file has changed.
type Reloaded struct{ Settings manifest.Settings }

// HelmEvent marks an event.
func (StopNoticed) HelmEvent() {}

// HelmEvent marks an event.
func (Reloaded) HelmEvent() {}
