package helm

import (
	"sesamecleat/src/manifest"
	"sesamecleat/src/roster"
)

// Event is an input of a plug-in; each plug-in's own events and the shared ones below implement it.
type Event interface{ KernelEvent() }

// PeerChanged tells that the knowledge of another process changed.
type PeerChanged struct {
	Peer      roster.Peer
	OldStatus roster.Status
	Restarted bool
}

// TablesChanged tells that this process serves newer tables.
type TablesChanged struct{ Revision uint64 }

// DrainStarted tells that a planned stop began: no new work is taken.
type DrainStarted struct{}

// KernelEvent marks an event.
func (PeerChanged) KernelEvent() {}

// KernelEvent marks an event.
func (TablesChanged) KernelEvent() {}

// KernelEvent marks an event.
func (DrainStarted) KernelEvent() {}

// StopAnnounced tells that a planned stop is coming: work is still taken, and what others can take over is handed to
// them.
type StopAnnounced struct{}

// SettingsReloaded tells that the settings file has changed.
type SettingsReloaded struct{ Settings manifest.Settings }

// KernelEvent marks an event.
func (StopAnnounced) KernelEvent() {}

// KernelEvent marks an event.
func (SettingsReloaded) KernelEvent() {}
