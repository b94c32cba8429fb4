package tide

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// Fake is a clock that only its owner moves; it is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a clock that stands at now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the time the clock stands at.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d and returns the new time.
func (f *Fake) Advance(d time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	return f.now
}
