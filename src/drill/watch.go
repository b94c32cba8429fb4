package drill

import (
	"context"
	"sync"
	"time"
)

// RevisionMonitor polls every process and counts the times a table revision fell.
type RevisionMonitor struct {
	client   *Client
	entries  []Entry
	mu       sync.Mutex
	highest  map[string]uint64
	reverted int
}

const watchInterval = 100 * time.Millisecond

// NewRevisionMonitor returns a watch over the entries.
func NewRevisionMonitor(client *Client, entries []Entry) *RevisionMonitor {
	return &RevisionMonitor{client: client, entries: entries, highest: make(map[string]uint64)}
}

// Run polls until ctx ends.
func (w *RevisionMonitor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range w.entries {
		wg.Go(func() { w.poll(ctx, e) })
	}
	wg.Wait()
}

// Regressions returns how often a revision fell.
func (w *RevisionMonitor) Regressions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reverted
}

// Observe takes a revision that a process showed.
func (w *RevisionMonitor) Observe(name string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision < w.highest[name] {
		w.reverted++
	}
	w.highest[name] = max(w.highest[name], revision)
}

func (w *RevisionMonitor) poll(ctx context.Context, e Entry) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if s, ok := w.client.Status(e.Addr); ok && s.Ready {
			w.Observe(e.Name, s.Revision)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
