package wharf

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/archive"
	"sesamecleat/src/convoy"
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
			revision, got, err := decodeTargets(b)
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
