package ledger

import (
	"sort"
	"time"

	"sesamecleat/src/chart"
)

// Ledger is one entry host's part in the ledger of its failure domain. It is not safe for concurrent use.
type Ledger struct {
	cfg         Config
	hosts       map[string]Host
	shards      []*shard
	lastStream  uint64
	recordCount int
	actions     []Action
}

// NewLedger returns a ledger without records or views.
func NewLedger(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, hosts: make(map[string]Host)}
	for n := range ShardsPerDomain {
		l.shards = append(l.shards, newShard(l, chart.Shard{Domain: cfg.Domain, Number: n}))
	}
	return l
}

// Step processes one event and returns the actions to carry out.
func (l *Ledger) Step(now time.Time, ev Event) []Action {
	l.actions = nil
	switch e := ev.(type) {
	case Submit:
		l.withShard(e.Shard, func(s *shard) { s.submit(now, e) })
	case Abandon:
		l.withShard(e.Shard, func(s *shard) { s.abandon(e) })
	case Finish:
		l.withShard(e.Shard, func(s *shard) { s.finish(now, e) })
	case Lookup:
		l.withShard(e.Shard, func(s *shard) { s.lookup(now, e) })
	case BatchReceived:
		l.withShard(e.Batch.Shard, func(s *shard) { s.receiveBatch(e.Batch) })
	case BatchResult:
		l.withShard(e.Shard, func(s *shard) { s.onBatchResult(now, e) })
	case LateAnswer:
		l.withShard(e.Shard, func(s *shard) { s.acceptLateAnswer(now, e.Record) })
	case ViewChanged:
		l.withShard(e.Shard, func(s *shard) { s.adoptView(now, e.View) })
	case HostsChanged:
		l.setHosts(now, e.Hosts)
	case Tick:
		l.forEachShard(func(s *shard) { s.tick(now) })
	}
	return l.actions
}

// RecordCount returns the number of records held over all shards.
func (l *Ledger) RecordCount() int { return l.recordCount }

// IsPrimary reports whether this host is the primary of a shard.
func (l *Ledger) IsPrimary(id chart.Shard) bool {
	primary := false
	l.withShard(id, func(s *shard) { primary = s.isPrimary() })
	return primary
}

func (l *Ledger) withShard(id chart.Shard, f func(s *shard)) {
	if id.Domain != l.cfg.Domain || id.Number < 0 || id.Number >= len(l.shards) {
		return
	}
	f(l.shards[id.Number])
}

func (l *Ledger) forEachShard(f func(s *shard)) {
	for _, s := range l.shards {
		f(s)
	}
}

func (l *Ledger) setHosts(now time.Time, hosts []Host) {
	l.hosts = make(map[string]Host)
	for _, h := range hosts {
		l.hosts[h.Name] = h
	}
	l.forEachShard(func(s *shard) {
		s.failLostWaiters()
		s.proposeNextView(now)
	})
}

// HandoverPending reports whether this host holds a replica while an available host could take it over.
func (l *Ledger) HandoverPending() bool {
	if len(l.availableHosts(0)) == 0 {
		return false
	}
	for _, s := range l.shards {
		if s.isReplica() {
			return true
		}
	}
	return false
}

// isLeaving reports whether a host is shutting down and has to hand over its shards.
func (l *Ledger) isLeaving(name string) bool { return l.hosts[name].Leaving }

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Ledger) emitDecision(ticket uint64, d Decision) {
	l.emit(SubmissionDecision{Ticket: ticket, Decision: d})
}

// isCurrent reports whether the replica's process is alive in the incarnation that joined the view, so that its memory is intact.
func (l *Ledger) isCurrent(r chart.Replica) bool {
	h, known := l.hosts[r.Name]
	return known && h.Alive && h.Incarnation == r.Incarnation
}

// hasRestarted reports whether the replica's process has a newer incarnation, so that its memory is certainly lost.
func (l *Ledger) hasRestarted(r chart.Replica) bool {
	h, known := l.hosts[r.Name]
	return known && h.Incarnation > r.Incarnation
}

// availableHosts returns the hosts that can hold replicas by name, rotated by offset to spread the primaries of shards.
func (l *Ledger) availableHosts(offset int) []Host {
	var out []Host
	for _, h := range l.hosts {
		if h.Alive && !h.Leaving {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	if len(out) > 1 {
		offset %= len(out)
		out = append(out[offset:], out[:offset]...)
	}
	return out
}
