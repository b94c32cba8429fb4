package logbook

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a writer whose Write blocks until released is closed, as a pipe does whose reader has blockedWriter.
type blockedWriter struct {
	mu       sync.Mutex
	released chan struct{}
	got      bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// A log reader that stalls must not block writers. Lines beyond the limit are dropped, and their number is logged.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	r := &blockedWriter{released: make(chan struct{})}
	q := NewQueue(r, 8)
	written := make(chan struct{})
	go func() {
		for i := range 100 {
			fmt.Fprintf(q, "line %d\n", i)
		}
		close(written)
	}()
	<-written
	require.GreaterOrEqual(t, q.Dropped(), uint64(90))
	close(r.released)
	q.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Contains(t, r.got.String(), "line 0\n")
	require.Contains(t, r.got.String(), fmt.Sprintf("event=108 dropped=%d", q.Dropped()))
}

func TestSamplerStaysWithinBudget(t *testing.T) {
	tests := map[string]struct{ perSecond, low, high int }{
		"all lines below the budget":    {perSecond: 50, low: 50, high: 50},
		"a share of the lines above it": {perSecond: 1000, low: 10, high: 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSampler(100)
			now := time.Unix(0, 0)
			kept := 0
			for second := range 5 {
				kept = 0
				for i := range tt.perSecond {
					at := now.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(tt.perSecond))
					if s.Keep(fmt.Sprintf("%d-%d", second, i), at) {
						kept++
					}
				}
			}
			require.GreaterOrEqual(t, kept, tt.low)
			require.LessOrEqual(t, kept, tt.high)
		})
	}
}

// A request that a process with a small share logs must also be logged by a process with a larger share, so that the
// trace of a sampled request is complete.
func TestLargerSampleContainsSmallerSample(t *testing.T) {
	small, large := NewSampler(10), NewSampler(1000)
	now := time.Unix(0, 0)
	for i := range 3000 {
		id := fmt.Sprint(i)
		at := now.Add(time.Duration(i) * time.Millisecond)
		inSmall, inLarge := small.Keep(id, at), large.Keep(id, at)
		require.False(t, inSmall && !inLarge)
	}
}
