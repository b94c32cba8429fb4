package wharf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/charter"
)

// Guards against reads of the configuration that grow with it although the caller holds the same version.
func TestReadSendsNoConfigurationThatTheCallerHolds(t *testing.T) {
	stored := &charter.Config{Version: 7, Source: []byte("as sent")}
	data, err := charter.Encode(stored)
	require.NoError(t, err)
	tests := map[string]struct {
		known *charter.Config
		whole bool
	}{
		"the same":     {known: &charter.Config{Version: 7}},
		"an older one": {known: &charter.Config{Version: 6}, whole: true},
		"a newer one":  {known: &charter.Config{Version: 8}, whole: true},
		"none":         {whole: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c consensus
			require.Empty(t, c.answerRead(encodeReadRequest(tt.known)))
			_, err := c.state.Apply(data)
			require.NoError(t, err)
			out := c.answerRead(encodeReadRequest(tt.known))
			if tt.whole {
				require.Equal(t, data, out)
				return
			}
			require.Len(t, out, versionSize)
		})
	}
}
