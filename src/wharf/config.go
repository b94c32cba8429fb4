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
	helm.Register("config", startOrderConfig, newConfig, manifest.Dispatch, manifest.Registry)
}

// config is this process's copy of the configuration. Its version never decreases; newer versions are fetched from any
// peer that has one.
type config struct {
	h        *helm.Kernel
	current  atomic.Pointer[charter.Config]
	encoded  atomic.Pointer[[]byte]
	fetching bool
	// inForceSince is the time at which the current configuration was installed here, in milliseconds since 1970; 0
	// before the first.
	inForceSince atomic.Int64
}

// configCommittedEvent carries a configuration committed to the replicated log.
type configCommittedEvent struct{ config *charter.Config }

type configFetchedEvent struct {
	config *charter.Config
	from   string
	err    error
}

// configInForceEvent tells the other plug-ins that this process now serves a newer configuration.
type configInForceEvent struct{ config *charter.Config }

func (configCommittedEvent) KernelEvent() {}
func (configFetchedEvent) KernelEvent()   {}
func (configInForceEvent) KernelEvent()   {}

func newConfig(h *helm.Kernel) helm.Plugin { return &config{h: h} }

// Start registers the handler that serves the configuration to peers, and the metrics.
func (c *config) Start() error {
	c.h.RPC.Handle(kindFetchConfig, c.onFetchConfig)
	c.h.Metrics.GetOrCreateGauge("sesamecleat_config_version", func() float64 { return float64(c.version()) })
	c.h.Metrics.GetOrCreateGauge("sesamecleat_config_age_seconds", func() float64 { return c.age().Seconds() })
	return nil
}

// Stop has nothing to release.
func (c *config) Stop() {}

// Handle installs newer configurations and fetches them from peers.
func (c *config) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case configCommittedEvent:
		c.install(now, e.config, "log")
	case configFetchedEvent:
		c.fetching = false
		if e.err != nil {
			reportUpdateFailure(c.h, "config", e.from, e.err)
			return
		}
		c.install(now, e.config, e.from)
	case fleetEvent:
		if u, ok := e.action.(flotilla.PeerUpdated); ok {
			c.fetchIfNewer(u.Peer)
		}
	}
}

func (c *config) version() uint64 {
	if cfg := c.current.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// age returns how long the current configuration has been in force here, 0 before the first.
func (c *config) age() time.Duration {
	if since := c.inForceSince.Load(); since > 0 {
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
	c.inForceSince.Store(now.UnixMilli())
	c.h.Log.Write(logbook.ConfigApplied, logbook.F("version", cfg.Version), logbook.F("routes", len(cfg.Routes)),
		logbook.F("from", from))
	c.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.ConfigVersion = cfg.Version })
	c.h.Publish(now, configInForceEvent{config: cfg})
}

// fetchIfNewer fetches a peer's configuration if it is newer; after a failure the peer's next heartbeat triggers a
// retry.
func (c *config) fetchIfNewer(p flotilla.Peer) {
	if c.fetching || p.Member.ConfigVersion <= c.version() {
		return
	}
	c.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		ev := configFetchedEvent{from: p.Member.Name}
		out, err := c.h.RPC.Probe(ctx, p.Member.Address, kindFetchConfig, nil)
		if err == nil {
			ev.config, err = charter.Decode(out)
		}
		ev.err = err
		c.h.Post(c, ev)
	}()
}

func (c *config) onFetchConfig(context.Context, netip.AddrPort, []byte) ([]byte, error) {
	data := c.encoded.Load()
	if data == nil {
		return nil, Error.New("no configuration is known here")
	}
	return *data, nil
}
