package hatchery

import "sync"

// StartCounter counts the starts of every piece of work over all stand-ins that share it.
type StartCounter struct {
	mu     sync.Mutex
	starts map[string]int
	total  uint64
}

// NewStartCounter returns a book without entries.
func NewStartCounter() *StartCounter { return &StartCounter{starts: make(map[string]int)} }

// RecordStart notes that a piece of work started.
func (b *StartCounter) RecordStart(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[id]++
	b.total++
}

// Starts returns how often a piece of work started.
func (b *StartCounter) Starts(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[id]
}

// Total returns the starts of all work.
func (b *StartCounter) Total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
