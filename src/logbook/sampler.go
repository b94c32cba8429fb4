package logbook

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// SampleBudget is how many lines a second a process writes about requests that go well; some 20 kB.
	SampleBudget = 100
	// samplerScale is the share of requests, in parts, that a sampler can tell apart.
	samplerScale = 1 << 10
	// samplerWindow is how often the share is set anew.
	samplerWindow = time.Second
)

// Sampler decides which requests are logged step by step. A request is chosen by its id, so that one that is chosen in a
// process with a small share is chosen in every process with a larger one. It is safe for concurrent use.
type Sampler struct {
	mu     sync.Mutex
	budget int
	share  uint64
	asked  int
	kept   int
	until  time.Time
}

// NewSampler returns a sampler that keeps about budget lines a second.
func NewSampler(budget int) *Sampler { return &Sampler{budget: budget, share: samplerScale} }

// Keep reports whether a line about the request is written.
func (s *Sampler) Keep(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.until) {
		s.adjust(now)
	}
	s.asked++
	if xxh3.HashString(id)%samplerScale >= s.share {
		return false
	}
	s.kept++
	return true
}

// adjust sets the share so that the last window's lines would have fitted; shares are powers of two, so that processes
// with like loads choose the same requests.
func (s *Sampler) adjust(now time.Time) {
	share := uint64(samplerScale)
	for share > 1 && float64(s.asked)*float64(share)/samplerScale > float64(s.budget) {
		share /= 2
	}
	s.share, s.asked, s.kept = share, 0, 0
	s.until = now.Add(samplerWindow)
}
