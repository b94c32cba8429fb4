package wharf

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/tide"
)

// A process that stood still must find it out whether or not its steady clock went on meanwhile.
func TestFreezeIsNoticed(t *testing.T) {
	tests := map[string]struct {
		steady, day time.Duration
		want        bool
	}{
		"in time":                      {steady: 200 * time.Millisecond, day: 200 * time.Millisecond},
		"a little late":                {steady: 500 * time.Millisecond, day: 500 * time.Millisecond},
		"the steady clock went on":     {steady: 4 * time.Second, day: 4 * time.Second, want: true},
		"the steady clock stood still": {steady: 200 * time.Millisecond, day: 4 * time.Second, want: true},
		"the time of day was set back": {steady: 200 * time.Millisecond, day: -2 * time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			s := manifest.New()
			s.Name, s.Domain, s.Keys = "a", "d", []string{"a key for these tests"}
			s.Roles, s.Peers = []manifest.Role{manifest.Dispatch}, netip.MustParseAddrPort("127.0.0.1:1")
			h, err := helm.New(s, helm.Options{Clock: tide.System{}, Log: &log, Listen: radio.ListenUDP})
			require.NoError(t, err)
			f := newFleet(h).(*fleet)
			f.observe(tt.steady, tt.day)
			require.Equal(t, tt.want, bytes.Contains(log.Bytes(), []byte("event=607")))
		})
	}
}
