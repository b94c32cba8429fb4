package wharf

import (
	"context"
	"net/netip"
	"slices"
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
	h       *helm.Kernel
	current atomic.Pointer[charter.Config]
	// encoded holds the latest versions for the peers that fetch them.
	encoded  atomic.Pointer[documents]
	fetching bool
	// partial is what has arrived of a newer version, and attempts how often a fetch of it has failed. While fetching is set, the
	// goroutine that fetches has them.
	partial  *download
	attempts int
	// inForceSince is the time at which the current configuration was installed here, in milliseconds since 1970; 0
	// before the first.
	inForceSince atomic.Int64
}

// configCommittedEvent carries a configuration committed to the replicated log.
type configCommittedEvent struct{ config *charter.Config }

type configFetchedEvent struct {
	config *charter.Config
	// partial is what has arrived if the fetch failed.
	partial *download
	from    string
	err     error
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
		c.fetching, c.partial = false, e.partial
		if e.err != nil {
			c.attempts++
			reportUpdateFailure(c.h, "config", e.from, e.err)
			return
		}
		c.attempts = 0
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
	data, err := cfg.Encoded()
	if err != nil {
		c.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	var docs documents
	if former := c.encoded.Load(); former != nil {
		docs = *former
	}
	docs = docs.with(newDocument(cfg.Version, data))
	c.encoded.Store(&docs)
	c.current.Store(cfg)
	c.inForceSince.Store(now.UnixMilli())
	c.h.Log.Write(logbook.ConfigApplied, logbook.F("version", cfg.Version), logbook.F("routes", len(cfg.Routes)),
		logbook.F("from", from))
	c.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.ConfigVersion = cfg.Version })
	c.h.Publish(now, configInForceEvent{config: cfg})
}

// fetchIfNewer fetches the configuration if a peer's is newer; after a failure the next heartbeat triggers a retry, which goes on
// where that one ended.
func (c *config) fetchIfNewer(p flotilla.Peer) {
	if c.fetching || p.Member.ConfigVersion <= c.version() {
		return
	}
	partial := c.partial
	if partial == nil || partial.version <= c.version() {
		partial = newDownload()
	}
	source := chooseSource(c.h.Fleet.Peers(), c.h.Fleet.Self(), p.Member, max(partial.version, c.version()+1), c.attempts)
	c.fetching, c.partial = true, nil
	go func() {
		ev := configFetchedEvent{from: source.Name}
		ev.err = partial.run(c.h.Clock.Now, func(ctx context.Context, request []byte) ([]byte, error) {
			return c.h.RPC.Probe(ctx, source.Address, kindFetchConfig, request)
		})
		if ev.err == nil {
			ev.config, ev.err = charter.Decode(partial.data)
		} else {
			ev.partial = partial
		}
		c.h.Post(c, ev)
	}()
}

// chooseSource returns the process to fetch a version from: a registry host that has it, as its link carries more, of this process's
// domain if possible, or else the one whose heartbeat names it. After failed attempts another one is chosen.
func chooseSource(peers []flotilla.Peer, self, heard flotilla.Member, version uint64, attempts int) flotilla.Member {
	var near, far []flotilla.Member
	for _, p := range peers {
		switch {
		case !p.Alive || p.NotReceiving || !p.Member.Registry || p.Member.ConfigVersion < version:
		case p.Member.Domain == self.Domain:
			near = append(near, p.Member)
		default:
			far = append(far, p.Member)
		}
	}
	sources := slices.Concat(near, far)
	if len(sources) == 0 {
		return heard
	}
	group := len(near)
	if group == 0 {
		group = len(far)
	}
	first := int(flotilla.NameHash(self.Name) % uint32(group))
	return sources[(first+attempts)%len(sources)]
}

func (c *config) onFetchConfig(_ context.Context, _ netip.AddrPort, request []byte) ([]byte, error) {
	docs := c.encoded.Load()
	if docs == nil {
		return nil, Error.New("no configuration is known here")
	}
	return docs.piece(request)
}
