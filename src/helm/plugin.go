package helm

import (
	"slices"
	"sort"
	"time"

	"sesamecleat/src/manifest"
)

// Plugin is one part of a process.
type Plugin interface {
	// Start subscribes to timers and registers handlers; nothing runs on the control goroutine yet.
	Start() error
	// Handle takes an event on the control goroutine.
	Handle(now time.Time, ev Event)
	// Stop releases what Start acquired; the control goroutine has ended by then.
	Stop()
}

// Factory makes a plug-in for a kernel, and hands the kernel what others use of it.
type Factory func(h *Kernel) Plugin

// Drainer is a plug-in that a planned stop waits for.
type Drainer interface {
	// Busy reports whether work is left that a stop must not cut off; it is safe for concurrent use.
	Busy() bool
}

type registration struct {
	name    string
	order   int
	factory Factory
	roles   []manifest.Role
}

// wanted reports whether a process with these settings has the plug-in.
func (r registration) wanted(s manifest.Settings) bool { return slices.ContainsFunc(r.roles, s.Has) }

var registry []registration

// Register adds a plug-in to every kernel made later that has one of the roles, by default Entry or State; lower orders
// start first and stop last.
func Register(name string, order int, factory Factory, roles ...manifest.Role) {
	if len(roles) == 0 {
		roles = []manifest.Role{manifest.Entry, manifest.State}
	}
	registry = append(registry, registration{name: name, order: order, factory: factory, roles: roles})
	sort.SliceStable(registry, func(i, j int) bool { return registry[i].order < registry[j].order })
}
