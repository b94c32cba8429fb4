package deck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against tables and log messages that never arrive because they are larger than what a link carries within a fixed time.
func TestLimitsFollowSizeAndLink(t *testing.T) {
	require.Equal(t, raftTimeout, raftLimit(0))
	require.Greater(t, raftLimit(2<<20), 20*time.Second)
	require.Equal(t, followTimeout, followLimit(0))
	for failures := range 10 {
		require.GreaterOrEqual(t, followLimit(failures+1), followLimit(failures))
	}
	require.Equal(t, followTimeout<<maxFollowDoublings, followLimit(1000))
}
