package wharf

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/manifest"
	"sesamecleat/src/tide"
)

// followedLists are the lists of two registry hosts, and that of a process that follows both.
type followedLists struct {
	clock     *tide.FakeClock
	hosts     [2]*targetList
	follower  *targetList
	revisions [2]uint64
	sequence  int64
	// fetched counts the entries that the follower has fetched.
	fetched int
}

func newFollowedLists(t *testing.T) *followedLists {
	l := &followedLists{clock: tide.NewFakeClock(time.Unix(1000, 0))}
	list := func() *targetList {
		h := newTestKernel(l.clock.Now())
		h.Clock, h.Settings.AnnounceInterval = l.clock, manifest.DefaultAnnounceInterval
		return newTargetList(h)
	}
	l.hosts, l.follower = [2]*targetList{list(), list()}, list()
	return l
}

// announce lets n targets announce themselves to a registry host, one announcement interval after the last one.
func (l *followedLists) announce(host, n int) {
	l.pass(manifest.DefaultAnnounceInterval)
	l.sequence++
	for i := range n {
		l.hosts[host].announce(newTarget(fmt.Sprint("w", i), l.sequence))
	}
}

func (l *followedLists) pass(d time.Duration) {
	l.clock.Advance(d)
	for i, h := range l.hosts {
		h.expire(l.clock.Now())
		revision, entries := h.page(l.revisions[i], maxPiece)
		l.revisions[i] = revision
		for _, e := range entries {
			l.fetched++
			l.follower.merge(l.clock.Now(), e)
		}
	}
}

// Guards against lists of targets that are sent again and again to every process although nothing in them changes.
func TestUnchangedTargetsAreNotFetchedAgain(t *testing.T) {
	const targets = 100
	l := newFollowedLists(t)
	for range 1 + settlingAnnouncements {
		l.announce(0, targets)
	}
	l.pass(time.Millisecond)
	l.fetched = 0
	for range 20 {
		l.announce(0, targets)
	}
	l.pass(time.Millisecond)
	require.Zero(t, l.fetched)
	for range refreshInterval / manifest.DefaultAnnounceInterval {
		l.announce(0, targets)
	}
	l.pass(time.Millisecond)
	require.Equal(t, targets, l.fetched)
}

// A target that announces itself must not count as silent because a registry host that it has left no longer hears it.
func TestTargetThatChangesRegistryHostStaysListed(t *testing.T) {
	tests := map[string][]int{
		"moves":                   {0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1},
		"moves there and back":    {0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0},
		"back after a while":      {0, 0, 0, 0, 1, 1, 1, 0, 0, 0, 0, 0, 0},
		"one announcement astray": {1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0},
		"by turns":                {0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1},
	}
	for name, hosts := range tests {
		t.Run(name, func(t *testing.T) {
			l := newFollowedLists(t)
			for _, host := range hosts {
				l.announce(host, 1)
			}
			l.pass(time.Millisecond)
			require.Equal(t, map[string]int{"d": 1}, l.follower.countPerDomain())
		})
	}
}

// A target that changes its labels alone must be known by them at once.
func TestChangedLabelsArePublished(t *testing.T) {
	l := newFollowedLists(t)
	for range 5 {
		l.announce(0, 1)
	}
	changed := newTarget("w0", l.sequence+1)
	changed.Labels = []string{"b"}
	l.hosts[0].announce(changed)
	l.pass(time.Millisecond)
	require.Equal(t, changed.Labels, l.follower.entries["w0"].target.Labels)
}
