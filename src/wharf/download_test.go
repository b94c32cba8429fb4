package wharf

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/flotilla"
)

// thinLink answers requests for pieces over a link of a certain rate, in virtual time.
type thinLink struct {
	docs documents
	// rate is in bytes a second.
	rate      float64
	roundTrip time.Duration
	// broken says whether the n-th call gets no answer.
	broken func(n int) bool
	now    time.Time
	calls  int
	sent   int
	// longest is the longest time that the link was busy with one piece.
	longest time.Duration
}

func (l *thinLink) call(ctx context.Context, request []byte) ([]byte, error) {
	l.calls++
	out, err := l.docs.piece(request)
	if err != nil {
		return nil, err
	}
	busy := time.Duration(float64(len(out)) / l.rate * float64(time.Second))
	l.longest = max(l.longest, busy)
	l.sent += len(out)
	if took := busy + l.roundTrip; took <= callTimeout && (l.broken == nil || !l.broken(l.calls)) {
		l.now = l.now.Add(took)
		return out, nil
	}
	l.now = l.now.Add(callTimeout)
	return nil, context.DeadlineExceeded
}

// fetch runs a download until it is complete, beginning anew at the next heartbeat after a failure.
func (l *thinLink) fetch(t *testing.T, d *download) time.Duration {
	l.now = time.Unix(1_700_000_000, 0)
	begin := l.now
	for range 1000 {
		if d.run(func() time.Time { return l.now }, l.call) == nil {
			return l.now.Sub(begin)
		}
		l.now = l.now.Add(flotilla.HeartbeatInterval)
	}
	require.Fail(t, "the download does not end")
	return 0
}

func randomBytes(n int) []byte {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

const megabit = 1e6 / 8

// Guards against a configuration that does not arrive because it is larger than what a link carries within a fixed time.
func TestDownloadTakesWhatSizeAndLinkAsk(t *testing.T) {
	for _, size := range []int{0, 100, 40 << 10, 538_078, 1_344_479, 20 << 20} {
		for _, rate := range []float64{0.3 * megabit, 2 * megabit, 19 * megabit, 1000 * megabit} {
			for _, roundTrip := range []time.Duration{time.Millisecond, 60 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes at %.1f Mbit a second, %s", size, rate/megabit, roundTrip), func(t *testing.T) {
					data := randomBytes(size)
					l := &thinLink{docs: documents{newDocument(7, data)}, rate: rate, roundTrip: roundTrip}
					d := newDownload()
					took := l.fetch(t, d)
					require.True(t, bytes.Equal(data, d.data))
					least := time.Duration(float64(size) / rate * float64(time.Second))
					require.LessOrEqual(t, took, 2*least+8*roundTrip+3*callTimeout)
					if rate >= 2*megabit {
						require.LessOrEqual(t, l.longest, flotilla.HeartbeatInterval, "heartbeats wait behind no more than a piece")
						require.LessOrEqual(t, l.sent, size+l.calls*pieceHeaderSize)
					}
				})
			}
		}
	}
}

// Guards against a transfer that begins anew with each break, so that it never ends on a bad link.
func TestDownloadKeepsWhatHasArrived(t *testing.T) {
	data := randomBytes(1_344_479)
	failed := 0
	l := &thinLink{docs: documents{newDocument(7, data)}, rate: 19 * megabit, roundTrip: time.Millisecond}
	l.broken = func(n int) bool {
		if n%3 == 0 {
			failed++
		}
		return n%3 == 0
	}
	d := newDownload()
	l.fetch(t, d)
	require.True(t, bytes.Equal(data, d.data))
	require.Greater(t, failed, 1)
	require.LessOrEqual(t, l.sent, len(data)+failed*int(l.rate*2*pieceTime.Seconds())+l.calls*pieceHeaderSize)
}

// Guards against a transfer that each newer version begins anew, so that a link that is slower than the changes never gets one.
func TestDownloadOutlivesNewerVersions(t *testing.T) {
	l := &thinLink{docs: documents{newDocument(1, randomBytes(900_000))}, rate: 2 * megabit, roundTrip: time.Millisecond}
	l.broken = func(n int) bool {
		if n%12 == 0 {
			l.docs = l.docs.with(newDocument(uint64(1+n/12), randomBytes(900_000+n)))
		}
		return false
	}
	d := newDownload()
	l.fetch(t, d)
	require.Equal(t, uint64(1), d.version)
	require.Greater(t, len(l.docs), 1)
}

func TestDownloadOfVersionThatIsNotKept(t *testing.T) {
	newest := randomBytes(300_000)
	tests := map[string]struct {
		docs documents
		fail bool
	}{
		"a newer one is":            {docs: documents{newDocument(9, newest)}},
		"the same with other bytes": {docs: documents{newDocument(5, newest)}},
		"only an older one is":      {docs: documents{newDocument(4, newest)}, fail: true},
		"none is":                   {fail: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			former := randomBytes(500_000)
			l := &thinLink{docs: documents{newDocument(5, former)}, rate: 19 * megabit}
			d := newDownload()
			out, err := l.docs.piece(d.request())
			require.NoError(t, err)
			require.NoError(t, d.add(out))
			l.docs = tt.docs
			if tt.fail {
				require.Error(t, d.run(time.Now, l.call))
				require.Equal(t, former[:firstPiece], d.data, "another process may have the rest")
				return
			}
			l.fetch(t, d)
			require.True(t, bytes.Equal(newest, d.data))
		})
	}
}

func TestDownloadRefusesOddPieces(t *testing.T) {
	whole, err := documents{newDocument(5, randomBytes(100_000))}.piece(newDownload().request())
	require.NoError(t, err)
	change := func(at int, v uint32) []byte {
		b := bytes.Clone(whole)
		binary.BigEndian.PutUint32(b[at:], v)
		return b
	}
	tests := map[string][]byte{
		"nothing":                nil,
		"a header that is cut":   whole[:pieceHeaderSize-1],
		"another offset":         change(16, 77),
		"more than there is":     change(20, 1000),
		"more than is ever sent": change(20, 1<<31),
		"no bytes":               whole[:pieceHeaderSize],
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDownload()
			require.Error(t, d.add(b))
			require.Empty(t, d.data)
		})
	}
	_, err = documents{newDocument(5, nil)}.piece([]byte{1, 2})
	require.Error(t, err)
	damaged := newDownload()
	doc := newDocument(5, []byte("configuration"))
	doc.sum++
	l := &thinLink{docs: documents{doc}, rate: megabit}
	require.Error(t, damaged.run(time.Now, l.call))
	require.Empty(t, damaged.data)
}

// Guards against many processes that fetch over the thin link of one entry host while registry hosts are there.
func TestConfigurationIsFetchedFromRegistryHosts(t *testing.T) {
	member := func(name, domain string, registry bool, version uint64) flotilla.Member {
		return flotilla.Member{Name: name, Domain: domain, Registry: registry, ConfigVersion: version}
	}
	heard := member("entry-9", "d", false, 5)
	peers := []flotilla.Peer{
		{Alive: true, Member: heard},
		{Alive: true, Member: member("core-1", "d", true, 5)},
		{Alive: true, Member: member("core-2", "e", true, 5)},
		{Alive: true, Member: member("core-3", "d", true, 4)},
		{Alive: false, Member: member("core-4", "d", true, 5)},
		{Alive: true, NotReceiving: true, Member: member("core-5", "d", true, 5)},
	}
	self := member("entry-1", "d", false, 4)
	require.Equal(t, "core-1", chooseSource(peers, self, heard, 5, 0).Name)
	require.Equal(t, "core-2", chooseSource(peers, self, heard, 5, 1).Name)
	require.Equal(t, "core-2", chooseSource(peers, member("entry-2", "e", false, 4), heard, 5, 0).Name)
	require.Contains(t, []string{"core-1", "core-2"}, chooseSource(peers, member("entry-2", "f", false, 4), heard, 5, 0).Name)
	require.Equal(t, "entry-9", chooseSource(peers[:1], self, heard, 5, 0).Name)
	require.Equal(t, "entry-9", chooseSource(peers, self, heard, 6, 3).Name)
}
