package charter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// largeConfig returns a configuration of n routes with random names, as large as an operator's JSON makes it.
func largeConfig(t testing.TB, n int) *Config {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	var routes []Route
	var rows []map[string]any
	for i := range n {
		r := route(fmt.Sprintf("r-%07x", rng.Uint32()>>4), fmt.Sprintf("h%04x.example", rng.Uint32()>>16), fmt.Sprintf("/p%06x%d/", rng.Uint32()>>8, i))
		r.MaxAttempts, r.Stretch = 4, 1.6
		routes = append(routes, r)
		rows = append(rows, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": "unsafe", "timeout": 1500, "target": 60, "priority": 0,
			"pool": r.Pool, "attempts": 4, "stretch": 1.6,
		})
	}
	c := config(7, routes...)
	var err error
	c.Source, err = json.Marshal(rows)
	require.NoError(t, err)
	return c
}

// Guards against configurations that are kept and sent at twice the size of what the operator sent.
func TestEncodedConfigurationIsSmall(t *testing.T) {
	c := largeConfig(t, 5000)
	b, err := Encode(c)
	require.NoError(t, err)
	require.Less(t, len(b), len(c.Source)/3)
	decoded, err := Decode(b)
	require.NoError(t, err)
	require.Equal(t, c.Source, decoded.Source)
	require.Equal(t, c.Routes, decoded.Routes)
	again, err := decoded.Encoded()
	require.NoError(t, err)
	require.Equal(t, b, again)
}

// Guards against a journal of an earlier version that cannot be read.
func TestDecodeReadsUncompressedConfigurations(t *testing.T) {
	b, err := cbor.Marshal(wireConfig{Version: 3, Source: []byte("as sent"), Routes: []wireRoute{{Name: "a", Host: "h", Prefix: "/x/"}}})
	require.NoError(t, err)
	c, err := Decode(b)
	require.NoError(t, err)
	require.Equal(t, "a", c.Routes[0].Name)
	require.Equal(t, []byte("as sent"), c.Source)
}

func TestDecodeRefusesDamagedConfigurations(t *testing.T) {
	b, err := Encode(largeConfig(t, 50))
	require.NoError(t, err)
	tests := map[string][]byte{"nothing": {}, "cut": b[:len(b)/2], "magic only": b[:4], "no configuration": []byte("broken")}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(b)
			require.Error(t, err)
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	c := largeConfig(b, 5600)
	var data []byte
	for b.Loop() {
		var err error
		data, err = Encode(c)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportMetric(float64(len(c.Source)), "source-bytes")
}

func BenchmarkDecode(b *testing.B) {
	data, err := Encode(largeConfig(b, 5600))
	require.NoError(b, err)
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
