package wharf

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a list of targets that does not arrive because it has to come by one call.
func TestTargetsAreListedInPages(t *testing.T) {
	const targets = 3000
	list := newTargetList(nil)
	for i := range targets {
		target := newTarget(fmt.Sprintf("w%05d", i), 1)
		target.Labels = []string{"kind", fmt.Sprintf("rack-%d", i/12)}
		list.entries[target.ID] = &targetEntry{target: target, revision: uint64(i + 1)}
	}
	list.revision = targets
	for _, size := range []int{1, minPiece, 64 << 10, maxPiece} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			seen := make(map[string]bool)
			since := uint64(0)
			for since < list.revision {
				revision, entries := list.page(since, size)
				require.Greater(t, revision, since)
				require.NotEmpty(t, entries)
				for _, e := range entries {
					require.Greater(t, e.revision, since)
					require.LessOrEqual(t, e.revision, revision)
					seen[e.target.ID] = true
				}
				b, err := encodeTargets(revision, entries)
				require.NoError(t, err)
				require.LessOrEqual(t, len(b), max(size, 200)+50)
				since = revision
			}
			require.Len(t, seen, targets)
		})
	}
	revision, entries := list.page(targets, minPiece)
	require.Equal(t, uint64(targets), revision)
	require.Empty(t, entries)
}
