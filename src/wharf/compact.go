package wharf

import (
	"time"

	"sesamecleat/src/pilot"
)

// compactIfLarge replaces the log by a snapshot once it holds many entries or, as each may be a large configuration, many bytes.
func (c *consensus) compactIfLarge(now time.Time) {
	if c.node.LogSize() > compactEntries || c.node.LogBytes() > compactBytes(len(c.state.Snapshot())) {
		c.compact(now)
	}
}

// compactBytes returns the size of the log at which it is replaced by a snapshot of n bytes. Each entry is about as large as one.
func compactBytes(n int) int { return max(minCompactBytes, compactSnapshots*n) }

func (c *consensus) compact(now time.Time) {
	index := c.node.Applied()
	if snapshot := c.state.Snapshot(); snapshot != nil && index > 0 {
		for _, a := range c.node.Step(now, pilot.Compact{Index: index, Data: snapshot}) {
			if save, ok := a.(pilot.Save); ok {
				c.write([]pilot.Action{save})
			}
		}
	}
}
