package logbook

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// SampleBudget is the number of lines per second that a process may write about successful requests, about 20 kB.
	SampleBudget = 100
	// samplerScale is the denominator of a sampler's share.
	samplerScale = 1 << 10
	// samplerWindow is how often the share is recomputed.
	samplerWindow = time.Second
)

// Sampler selects the requests whose steps are logged. It selects them by a hash of their ids, so that a request that is
// selected in a process with a small share is also selected in every process with a larger share. It is safe for
// concurrent use.
type Sampler struct {
	mu        sync.Mutex
	budget    int
	share     uint64
	seen      int
	kept      int
	windowEnd time.Time
}

// NewSampler returns a sampler that admits about budget lines per second.
func NewSampler(budget int) *Sampler { return &Sampler{budget: budget, share: samplerScale} }

// Keep reports whether a line about the request with this id should be written.
func (s *Sampler) Keep(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.windowEnd) {
		s.adjust(now)
	}
	s.seen++
	if xxh3.HashString(id)%samplerScale >= s.share {
		return false
	}
	s.kept++
	return true
}

// adjust sets the share so that the lines of the last window would have fit the budget. Shares are powers of two, so that
// processes with similar load select the same requests.
func (s *Sampler) adjust(now time.Time) {
	share := uint64(samplerScale)
	for share > 1 && float64(s.seen)*float64(share)/samplerScale > float64(s.budget) {
		share /= 2
	}
	s.share, s.seen, s.kept = share, 0, 0
	s.windowEnd = now.Add(samplerWindow)
}
