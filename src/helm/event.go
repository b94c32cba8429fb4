package helm

import (
	"sesamecleat/src/manifest"
	"sesamecleat/src/roster"
)

// Event is an input to a plug-in: one of the shared events below, or an event of the plug-in's own.
type Event interface{ KernelEvent() }

// PeerChanged reports that the status or the data of another process changed.
type PeerChanged struct {
	Peer      roster.Peer
	OldStatus roster.Status
	Restarted bool
}

// TablesChanged reports that this process serves newer tables.
type TablesChanged struct{ Revision uint64 }

// DrainStarted reports that a planned stop began: no new work is accepted.
type DrainStarted struct{}

// KernelEvent marks an event.
func (PeerChanged) KernelEvent() {}

// KernelEvent marks an event.
func (TablesChanged) KernelEvent() {}

// KernelEvent marks an event.
func (DrainStarted) KernelEvent() {}

// StopAnnounced reports that a planned stop is coming: work is still accepted, and what other processes can take over is
// handed to them.
type StopAnnounced struct{}

// SettingsReloaded reports that the settings file has changed.
type SettingsReloaded struct{ Settings manifest.Settings }

// KernelEvent marks an event.
func (StopAnnounced) KernelEvent() {}

// KernelEvent marks an event.
func (SettingsReloaded) KernelEvent() {}
