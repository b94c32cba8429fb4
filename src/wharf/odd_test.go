package wharf

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/archive"
	"sesamecleat/src/convoy"
	"sesamecleat/src/tide"
)

// unreadableTargets are entries that another writer may have left in a list: they cannot be read back.
func unreadableTargets() map[string]convoy.Target {
	change := func(f func(t *convoy.Target)) convoy.Target {
		t := newTarget("odd", 1)
		f(&t)
		return t
	}
	return map[string]convoy.Target{
		"id is not UTF-8":       change(func(t *convoy.Target) { t.ID = "odd\xff" }),
		"pool is not UTF-8":     change(func(t *convoy.Target) { t.Pool = "\xff" }),
		"domain is not UTF-8":   change(func(t *convoy.Target) { t.Domain = "\xff" }),
		"a label is not UTF-8":  change(func(t *convoy.Target) { t.Labels = []string{"a", "\xff"} }),
		"too many labels":       change(func(t *convoy.Target) { t.Labels = make([]string, 140_000) }),
		"no address":            change(func(t *convoy.Target) { t.Address = netip.AddrPort{} }),
		"address has odd bytes": change(func(t *convoy.Target) { t.Address = netip.MustParseAddrPort("[fe80::1%\xff]:80") }),
	}
}

// An entry that cannot be read must not hide the others from the processes that follow the list.
func TestUnreadableEntryHidesNoOther(t *testing.T) {
	for name, odd := range unreadableTargets() {
		t.Run(name, func(t *testing.T) {
			entries := []targetEntry{{target: newTarget("w1", 1)}, {target: odd}, {target: newTarget("w2", 1)}}
			b, err := encodeTargets(7, entries)
			require.NoError(t, err)
			revision, got, err := decodeTargets(time.Unix(1000, 0), b)
			require.NoError(t, err)
			require.Equal(t, uint64(7), revision)
			ids := make(map[string]bool)
			for _, e := range got {
				ids[e.target.ID] = true
			}
			require.True(t, ids["w1"] && ids["w2"], ids)
		})
	}
}

// An entry on disk that cannot be read must not keep a registry host from restoring the others.
func TestUnreadableEntryOnDiskHidesNoOther(t *testing.T) {
	for name, odd := range unreadableTargets() {
		t.Run(name, func(t *testing.T) {
			now, folder := time.Unix(1000, 0), t.TempDir()
			b, err := encodeTargets(1, []targetEntry{{target: odd}, {target: newTarget("w1", 1)}})
			require.NoError(t, err)
			require.NoError(t, archive.WriteChecksummed(folder, targetsFile, b))
			r, log := newTestTargets(t, folder, now)
			r.restore(now)
			require.Contains(t, r.entries, "w1", strings.TrimSpace(log.String()))
		})
	}
}

// invalidTargets are entries of the right types that cannot be workers; lists of older processes may hold them.
func invalidTargets() map[string]convoy.Target {
	out := make(map[string]convoy.Target)
	for name, change := range map[string]func(t *convoy.Target){
		"starts at the end of time": func(t *convoy.Target) { t.Incarnation = math.MaxInt64 },
		"port 0":                    func(t *convoy.Target) { t.Address = netip.MustParseAddrPort("127.0.0.1:0") },
		"endless capacity":          func(t *convoy.Target) { t.Capacity.Milli = math.MaxInt64 },
	} {
		t := newTarget("w1", 1)
		change(&t)
		out[name] = t
	}
	return out
}

// An invalid entry in another process's list, or on disk, must not displace the worker that has its id.
func TestInvalidEntryDisplacesNoWorker(t *testing.T) {
	for name, odd := range invalidTargets() {
		t.Run(name, func(t *testing.T) {
			now, folder := time.Unix(1000, 0), t.TempDir()
			list, err := encodeTargets(1, []targetEntry{{target: odd}})
			require.NoError(t, err)
			require.NoError(t, archive.WriteChecksummed(folder, targetsFile, list))
			r, _ := newTestTargets(t, folder, now)
			r.restore(now)
			r.announce(newTarget("w1", 1))
			require.Equal(t, newTarget("w1", 1), r.entries["w1"].target)
		})
	}
}

// An entry with a wrong start time or sequence under the id of a worker must not displace that worker for longer than until
// the entry expires.
func TestEntryUnderIDInUseDisplacesWorkerOnlyUntilItExpires(t *testing.T) {
	tests := map[string]struct {
		odd  func(t *convoy.Target)
		want bool
	}{
		"a start time ahead":     {odd: func(t *convoy.Target) { t.Incarnation += 3_600_000 }, want: true},
		"a sequence far ahead":   {odd: func(t *convoy.Target) { t.Sequence = math.MaxInt64 }, want: true},
		"it leaves in this life": {odd: func(t *convoy.Target) { t.Sequence, t.Leaving = 100, true }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := tide.NewFakeClock(time.Unix(1000, 0))
			registry, _ := newTestTargets(t, t.TempDir(), clock.Now())
			registry.h.Clock, registry.h.Settings.AnnounceInterval = clock, time.Second
			follower, _ := newTestTargets(t, t.TempDir(), clock.Now())
			merge := func() {
				for _, e := range registry.entries {
					follower.merge(clock.Now(), *e)
				}
			}
			registry.announce(newTarget("w1", 1))
			merge()
			odd := newTarget("w1", 2)
			tt.odd(&odd)
			registry.announce(odd)
			merge()
			for sequence := int64(3); sequence < 10; sequence++ {
				now := clock.Advance(time.Second)
				registry.announce(newTarget("w1", sequence))
				registry.expire(now)
				merge()
			}
			require.Equal(t, tt.want, registry.entries["w1"].target.Sequence == 9)
			require.Equal(t, tt.want, follower.entries["w1"].target.Sequence == 9)
		})
	}
}

// An expired entry of another process's list must not displace a worker that announces itself.
func TestExpiredEntryOfAnotherLifeDisplacesNoWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	r, _ := newTestTargets(t, t.TempDir(), now)
	r.announce(newTarget("w1", 1))
	odd := newTarget("w1", 2)
	odd.Incarnation, odd.Expired = 500_000, true
	r.merge(now, targetEntry{target: odd})
	require.Equal(t, newTarget("w1", 1), r.entries["w1"].target)
}
