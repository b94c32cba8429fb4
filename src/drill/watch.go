package drill

import (
	"context"
	"sync"
	"time"
)

// Watch polls every process and counts the times a table revision fell.
type Watch struct {
	client   *Client
	entries  []Entry
	mu       sync.Mutex
	highest  map[string]uint64
	reverted int
}

const watchInterval = 100 * time.Millisecond

// NewWatch returns a watch over the entries.
func NewWatch(client *Client, entries []Entry) *Watch {
	return &Watch{client: client, entries: entries, highest: make(map[string]uint64)}
}

// Run polls until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range w.entries {
		wg.Go(func() { w.poll(ctx, e) })
	}
	wg.Wait()
}

// Reverted returns how often a revision fell.
func (w *Watch) Reverted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reverted
}

// Note takes a revision that a process showed.
func (w *Watch) Note(name string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision < w.highest[name] {
		w.reverted++
	}
	w.highest[name] = max(w.highest[name], revision)
}

func (w *Watch) poll(ctx context.Context, e Entry) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if s, ok := w.client.Status(e.Addr); ok && s.Ready {
			w.Note(e.Name, s.Revision)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
