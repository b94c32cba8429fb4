package wharf

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"sesamecleat/src/charter"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("config", orderConfig, newConfig, manifest.Dispatch, manifest.Registry)
}

// config is this process's copy of the configuration; it only goes forward, and is learned from whoever has a newer one.
type config struct {
	h        *helm.Kernel
	current  atomic.Pointer[charter.Config]
	encoded  atomic.Pointer[[]byte]
	fetching bool
	// since is when the configuration in force here was learned, in milliseconds since 1970, 0 before the first.
	since atomic.Int64
}

// configEvent tells of a configuration that has been agreed on.
type configEvent struct{ config *charter.Config }

type fetchedEvent struct {
	config *charter.Config
	from   string
	err    error
}

// configInForceEvent tells the other plug-ins that this process serves a newer configuration.
type configInForceEvent struct{ config *charter.Config }

func (configEvent) KernelEvent()        {}
func (fetchedEvent) KernelEvent()       {}
func (configInForceEvent) KernelEvent() {}

func newConfig(h *helm.Kernel) helm.Plugin { return &config{h: h} }

// Start serves the configuration to processes that follow.
func (c *config) Start() error {
	c.h.RPC.Handle(kindConfig, c.onConfig)
	c.h.Metrics.GetOrCreateGauge("sesamecleat_config_version", func() float64 { return float64(c.version()) })
	c.h.Metrics.GetOrCreateGauge("sesamecleat_config_age_seconds", func() float64 { return c.age().Seconds() })
	return nil
}

// Stop has nothing to release.
func (c *config) Stop() {}

// Handle takes newer configurations.
func (c *config) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case configEvent:
		c.install(now, e.config, "log")
	case fetchedEvent:
		c.fetching = false
		if e.err != nil {
			newsLost(c.h, "config", e.from, e.err)
			return
		}
		c.install(now, e.config, e.from)
	case fleetEvent:
		if u, ok := e.action.(flotilla.PeerUpdated); ok {
			c.follow(u.Peer)
		}
	}
}

func (c *config) version() uint64 {
	if cfg := c.current.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// age returns for how long the configuration in force here has been, 0 before the first.
func (c *config) age() time.Duration {
	if since := c.since.Load(); since > 0 {
		return c.h.Clock.Now().Sub(time.UnixMilli(since))
	}
	return 0
}

func (c *config) install(now time.Time, cfg *charter.Config, from string) {
	if cfg == nil || cfg.Version <= c.version() {
		return
	}
	data, err := charter.Encode(cfg)
	if err != nil {
		c.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	c.encoded.Store(&data)
	c.current.Store(cfg)
	c.since.Store(now.UnixMilli())
	c.h.Log.Write(logbook.ConfigApplied, logbook.F("version", cfg.Version), logbook.F("routes", len(cfg.Routes)),
		logbook.F("from", from))
	c.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.ConfigVersion = cfg.Version })
	c.h.Publish(now, configInForceEvent{config: cfg})
}

// follow asks a peer for its configuration if that is newer; failures are mended by the peer's next beat.
func (c *config) follow(p flotilla.Peer) {
	if c.fetching || p.Member.ConfigVersion <= c.version() {
		return
	}
	c.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		ev := fetchedEvent{from: p.Member.Name}
		out, err := c.h.RPC.Probe(ctx, p.Member.Address, kindConfig, nil)
		if err == nil {
			ev.config, err = charter.Decode(out)
		}
		ev.err = err
		c.h.Post(c, ev)
	}()
}

func (c *config) onConfig(context.Context, netip.AddrPort, []byte) ([]byte, error) {
	data := c.encoded.Load()
	if data == nil {
		return nil, Error.New("no configuration is known here")
	}
	return *data, nil
}
