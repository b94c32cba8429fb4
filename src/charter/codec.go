package charter

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("charter")

type wireRoute struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Host     string
	Prefix   string
	Pool     string
	Timeout  int64
	Target   int64
	Stretch  float64
	Priority int
	Attempts int
	Advised  bool
}

type wirePool struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Guarded     bool
	Connections int
}

type wireConfig struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Routes  []wireRoute
	Pools   []wirePool
	Header  int
	Body    int
	Idle    int64
	Source  []byte
}

// Encode encodes a configuration as CBOR.
func Encode(c *Config) ([]byte, error) {
	w := wireConfig{
		Version: c.Version, Source: c.Source,
		Header: c.Limits.HeaderBytes, Body: c.Limits.BodyBytes, Idle: int64(c.Limits.IdleTimeout),
	}
	for _, r := range c.Routes {
		w.Routes = append(w.Routes, wireRoute{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Pool: r.Pool, Timeout: int64(r.Timeout),
			Target: int64(r.TargetLatency), Stretch: r.Stretch, Priority: r.Priority, Attempts: r.MaxAttempts, Advised: r.ExternalPlacement,
		})
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, wirePool{Name: p.Name, Guarded: p.AdmissionControl, Connections: p.MaxConnections})
	}
	b, err := cbor.Marshal(w)
	return b, Error.Wrap(err)
}

// Decode decodes what Encode returned and builds the index for Match.
func Decode(b []byte) (*Config, error) {
	var w wireConfig
	if err := cbor.Unmarshal(b, &w); err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Config{
		Version: w.Version, Source: w.Source,
		Limits: Limits{HeaderBytes: w.Header, BodyBytes: w.Body, IdleTimeout: time.Duration(w.Idle)},
	}
	for _, r := range w.Routes {
		c.Routes = append(c.Routes, Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Pool: r.Pool, Timeout: time.Duration(r.Timeout),
			TargetLatency: time.Duration(r.Target), Stretch: r.Stretch, Priority: r.Priority, MaxAttempts: r.Attempts,
			ExternalPlacement: r.Advised,
		})
	}
	for _, p := range w.Pools {
		c.Pools = append(c.Pools, Pool{Name: p.Name, AdmissionControl: p.Guarded, MaxConnections: p.Connections})
	}
	c.BuildIndex()
	return c, nil
}
