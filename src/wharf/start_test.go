package wharf

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/tide"
)

// A process whose address is in use must end with an error, whichever of its parts have started by then.
func TestAddressInUse(t *testing.T) {
	peers := netip.MustParseAddrPort("127.0.72.1:7720")
	tests := map[string]netip.AddrPort{"heartbeat address": heartbeatAddress(peers), "call address": peers}
	for name, taken := range tests {
		t.Run(name, func(t *testing.T) {
			other, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(taken))
			require.NoError(t, err)
			defer other.Close()
			s := manifest.New()
			s.Name, s.Domain, s.Domains, s.Peers, s.Advertise = "a", "d", []string{"d"}, peers, peers
			s.Roles, s.Keys, s.DataDir = []manifest.Role{manifest.Registry}, []string{"a key for these tests"}, t.TempDir()
			s.AnnounceInterval = time.Second
			h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: io.Discard, Listen: radio.ListenUDP})
			require.NoError(t, err)
			ended := make(chan error, 1)
			go func() { ended <- h.Start() }()
			select {
			case err := <-ended:
				require.ErrorContains(t, err, "address already in use")
			case <-time.After(10 * time.Second):
				require.Fail(t, "the start does not return")
			}
		})
	}
}
