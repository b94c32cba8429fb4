package charter

import (
	"bytes"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("charter")

type wireRoute struct {
	_                 struct{} `cbor:",toarray"`
	Name              string
	Host              string
	Prefix            string
	Pool              string
	Timeout           int64
	TargetLatency     int64
	Stretch           float64
	Priority          int
	MaxAttempts       int
	ExternalPlacement bool
}

type wirePool struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	AdmissionControl bool
	MaxConnections   int
}

type wireConfig struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Routes      []wireRoute
	Pools       []wirePool
	HeaderBytes int
	BodyBytes   int
	IdleTimeout int64
	Source      []byte
}

// decodedLimit bounds a configuration that is decompressed, in bytes.
const decodedLimit = 256 << 20

// Configurations are compressed, because a large one consists of routes that differ by little, and holds each twice: as sent by the
// operator, and as decoded.
var (
	compressor = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	decompressor = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(decodedLimit))
	})
	// compressedMagic are the first bytes of what is compressed; earlier versions wrote plain CBOR.
	compressedMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}
)

// Encode encodes a configuration as compressed CBOR.
func Encode(c *Config) ([]byte, error) {
	w := wireConfig{
		Version: c.Version, Source: c.Source,
		HeaderBytes: c.Limits.HeaderBytes, BodyBytes: c.Limits.BodyBytes, IdleTimeout: int64(c.Limits.IdleTimeout),
	}
	for _, r := range c.Routes {
		w.Routes = append(w.Routes, wireRoute{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Pool: r.Pool, Timeout: int64(r.Timeout),
			TargetLatency: int64(r.TargetLatency), Stretch: r.Stretch, Priority: r.Priority, MaxAttempts: r.MaxAttempts, ExternalPlacement: r.ExternalPlacement,
		})
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, wirePool{Name: p.Name, AdmissionControl: p.AdmissionControl, MaxConnections: p.MaxConnections})
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	enc, err := compressor()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return enc.EncodeAll(b, nil), nil
}

func decompress(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, compressedMagic) {
		return b, nil
	}
	dec, err := decompressor()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	out, err := dec.DecodeAll(b, nil)
	return out, Error.Wrap(err)
}

// Decode decodes what Encode returned and builds the index for Match.
func Decode(b []byte) (*Config, error) {
	plain, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var w wireConfig
	if err := cbor.Unmarshal(plain, &w); err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Config{
		Version: w.Version, Source: w.Source,
		Limits: Limits{HeaderBytes: w.HeaderBytes, BodyBytes: w.BodyBytes, IdleTimeout: time.Duration(w.IdleTimeout)},
	}
	for _, r := range w.Routes {
		c.Routes = append(c.Routes, Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Pool: r.Pool, Timeout: time.Duration(r.Timeout),
			TargetLatency: time.Duration(r.TargetLatency), Stretch: r.Stretch, Priority: r.Priority, MaxAttempts: r.MaxAttempts,
			ExternalPlacement: r.ExternalPlacement,
		})
	}
	for _, p := range w.Pools {
		c.Pools = append(c.Pools, Pool{Name: p.Name, AdmissionControl: p.AdmissionControl, MaxConnections: p.MaxConnections})
	}
	c.BuildIndex()
	c.encoded = b
	return c, nil
}

// Encoded returns the configuration as Decode read it, or else as Encode encodes it, so that all processes hold the same bytes.
func (c *Config) Encoded() ([]byte, error) {
	if c.encoded != nil {
		return c.encoded, nil
	}
	return Encode(c)
}
