package hatchery

import "sync"

// Book counts the starts of every piece of work over all stand-ins that share it.
type Book struct {
	mu     sync.Mutex
	starts map[string]int
	total  uint64
}

// NewBook returns a book without entries.
func NewBook() *Book { return &Book{starts: make(map[string]int)} }

// Start notes that a piece of work started.
func (b *Book) Start(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[id]++
	b.total++
}

// Starts returns how often a piece of work started.
func (b *Book) Starts(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[id]
}

// Total returns the starts of all work.
func (b *Book) Total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
