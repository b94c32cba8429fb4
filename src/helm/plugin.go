package helm

import (
	"slices"
	"sort"
	"time"

	"sesamecleat/src/manifest"
)

// Plugin is one component of a process.
type Plugin interface {
	// Start subscribes to timers and registers handlers; the control goroutine is not running yet.
	Start() error
	// Handle processes an event on the control goroutine.
	Handle(now time.Time, ev Event)
	// Stop releases what Start acquired; the control goroutine has ended by then.
	Stop()
}

// Factory creates a plug-in for a kernel, and sets the kernel's field through which other plug-ins use it.
type Factory func(h *Kernel) Plugin

// Drainer is a plug-in that can delay a planned stop.
type Drainer interface {
	// Busy reports whether work is left that a planned stop must not interrupt; it is safe for concurrent use.
	Busy() bool
}

type registration struct {
	name    string
	order   int
	factory Factory
	roles   []manifest.Role
}

// enabledFor reports whether a process with these settings runs the plug-in.
func (r registration) enabledFor(s manifest.Settings) bool {
	return slices.ContainsFunc(r.roles, s.Has)
}

var registry []registration

// Register adds a plug-in to every kernel created later that has one of the roles, by default Entry or State. Plug-ins
// with lower orders start first and stop last.
func Register(name string, order int, factory Factory, roles ...manifest.Role) {
	if len(roles) == 0 {
		roles = []manifest.Role{manifest.Entry, manifest.State}
	}
	registry = append(registry, registration{name: name, order: order, factory: factory, roles: roles})
	sort.SliceStable(registry, func(i, j int) bool { return registry[i].order < registry[j].order })
}
