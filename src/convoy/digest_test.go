package convoy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fullDigest() Digest {
	var d Digest
	for i := range maxDigestSizes {
		d.Sizes = append(d.Sizes, SizeRoom{Class: 130 + i, Tasks: maxDigestTasks - i})
	}
	for i := range maxDigestWaits {
		d.Waits = append(d.Waits, RouteWait{Route: uint16(60_000 + i), Wait: time.Duration(i) * waitUnit})
	}
	return d
}

func TestDigestCodec(t *testing.T) {
	tests := map[string]Digest{
		"empty": {},
		"sizes": {Sizes: []SizeRoom{{Class: 0, Tasks: 3}, {Class: 112}, {Class: 1000, Tasks: 127}}},
		"waits": {Waits: []RouteWait{{Route: 1, Wait: 2550 * time.Millisecond}}},
		"full":  fullDigest(),
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			raw := EncodeDigest(want)
			require.NotEmpty(t, raw)
			require.LessOrEqual(t, len(raw), 64)
			got, err := DecodeDigest(raw)
			require.NoError(t, err)
			require.Equal(t, want, got)
			for n := range raw {
				_, err := DecodeDigest(raw[:n])
				require.Error(t, err, "%d bytes", n)
			}
			_, err = DecodeDigest(append(raw, 0))
			require.Error(t, err)
		})
	}
}

func FuzzDecodeDigest(f *testing.F) {
	f.Add(EncodeDigest(fullDigest()))
	f.Add([]byte{1, 0, 0x80})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if d, err := DecodeDigest(raw); err == nil {
			wait, _ := d.Wait("r")
			require.GreaterOrEqual(t, wait, time.Duration(0))
			require.GreaterOrEqual(t, d.Startable(1000), 0)
		}
	})
}

// Requests are rounded up to a class, so that no room is told that a task would not fit into.
func TestStartableBySize(t *testing.T) {
	d := Digest{Sizes: []SizeRoom{{Class: sizeClass(8000), Tasks: 12}, {Class: sizeClass(16_000), Tasks: 5}}}
	tests := map[int64]int{100: 12, 8000: 12, 8300: 5, 16_000: 5, 20_000: 4, 80_000: 1, 90_000: 0}
	for milli, want := range tests {
		t.Run(fmt.Sprint(milli), func(t *testing.T) { require.Equal(t, want, d.Startable(milli)) })
	}
	for milli := int64(1); milli < 100_000; milli += 37 {
		class := sizeClass(milli)
		require.GreaterOrEqual(t, classMilli(class), milli)
		require.Less(t, classMilli(class-1), milli)
	}
}
