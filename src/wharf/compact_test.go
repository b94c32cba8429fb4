package wharf

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log that holds many whole configurations until it has as many entries as one of small ones.
func TestLogIsCompactedBySize(t *testing.T) {
	tests := map[string]struct{ snapshot, want int }{
		"nothing yet":           {want: minCompactBytes},
		"a small configuration": {snapshot: 2000, want: minCompactBytes},
		"a large configuration": {snapshot: 3 << 20, want: 12 << 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, compactBytes(tt.snapshot)) })
	}
}
