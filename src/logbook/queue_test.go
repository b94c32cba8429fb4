package logbook

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	mu       sync.Mutex
	released chan struct{}
	got      bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// A reader that stalls must not hold up a writer; what finds no room is counted, and the count is written.
func TestStalledReaderHoldsUpNobody(t *testing.T) {
	r := &stalled{released: make(chan struct{})}
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

func TestSamplerKeepsToItsBudget(t *testing.T) {
	tests := map[string]struct{ perSecond, low, high int }{
		"below the budget all": {perSecond: 50, low: 50, high: 50},
		"above it a share":     {perSecond: 1000, low: 10, high: 100},
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

// What a process with a small share logs, one with a larger share logs too.
func TestSamplersChooseTheSameRequests(t *testing.T) {
	busy, calm := NewSampler(10), NewSampler(1000)
	now := time.Unix(0, 0)
	for i := range 3000 {
		id := fmt.Sprint(i)
		at := now.Add(time.Duration(i) * time.Millisecond)
		inBusy, inCalm := busy.Keep(id, at), calm.Keep(id, at)
		require.False(t, inBusy && !inCalm)
	}
}
