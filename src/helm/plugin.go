package helm

import (
	"sort"
	"time"
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
type Factory func(h *Helm) Plugin

type registration struct {
	name    string
	order   int
	factory Factory
}

var registry []registration

// Register adds a plug-in to every kernel made later; lower orders start first and stop last.
func Register(name string, order int, factory Factory) {
	registry = append(registry, registration{name: name, order: order, factory: factory})
	sort.SliceStable(registry, func(i, j int) bool { return registry[i].order < registry[j].order })
}
