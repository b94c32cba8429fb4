package ledger

import (
	"sort"
	"time"

	"sesamecleat/src/chart"
)

// Ledger decides for one entry host about the submissions of its failure domain; it belongs to one goroutine.
type Ledger struct {
	cfg    Config
	hosts  map[string]Host
	shards []*shard
	stream uint64
	held   int
	out    []Action
}

// NewLedger returns a ledger that holds nothing and knows no view.
func NewLedger(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, hosts: make(map[string]Host)}
	for n := range ShardsPerDomain {
		l.shards = append(l.shards, newShard(l, chart.Shard{Domain: cfg.Domain, Number: n}))
	}
	return l
}

// Step takes one event and returns the actions it leads to.
func (l *Ledger) Step(now time.Time, ev Event) []Action {
	l.out = nil
	switch e := ev.(type) {
	case Submit:
		l.with(e.Shard, func(s *shard) { s.submit(now, e) })
	case Abandon:
		l.with(e.Shard, func(s *shard) { s.abandon(e) })
	case Finish:
		l.with(e.Shard, func(s *shard) { s.finish(now, e) })
	case Lookup:
		l.with(e.Shard, func(s *shard) { s.lookup(now, e) })
	case BatchReceived:
		l.with(e.Batch.Shard, func(s *shard) { s.receive(e.Batch) })
	case BatchResult:
		l.with(e.Shard, func(s *shard) { s.answered(now, e) })
	case LateAnswer:
		l.with(e.Shard, func(s *shard) { s.late(now, e.Record) })
	case ViewChanged:
		l.with(e.Shard, func(s *shard) { s.adopt(now, e.View) })
	case HostsChanged:
		l.setHosts(now, e.Hosts)
	case Tick:
		l.each(func(s *shard) { s.tick(now) })
	}
	return l.out
}

// RecordCount returns how many records are held.
func (l *Ledger) RecordCount() int { return l.held }

func (l *Ledger) with(id chart.Shard, f func(s *shard)) {
	if id.Domain != l.cfg.Domain || id.Number < 0 || id.Number >= len(l.shards) {
		return
	}
	f(l.shards[id.Number])
}

func (l *Ledger) each(f func(s *shard)) {
	for _, s := range l.shards {
		f(s)
	}
}

func (l *Ledger) setHosts(now time.Time, hosts []Host) {
	l.hosts = make(map[string]Host)
	for _, h := range hosts {
		l.hosts[h.Name] = h
	}
	l.each(func(s *shard) {
		s.giveUpLost()
		s.govern(now)
	})
}

// HandoverPending reports whether this host is still needed by a shard that another host could serve.
func (l *Ledger) HandoverPending() bool {
	if len(l.present(0)) == 0 {
		return false
	}
	for _, s := range l.shards {
		if s.isCopy() {
			return true
		}
	}
	return false
}

// leaving reports whether a host takes part no longer than it must.
func (l *Ledger) leaving(name string) bool { return l.hosts[name].Leaving }

func (l *Ledger) emit(a Action) { l.out = append(l.out, a) }

func (l *Ledger) decide(ticket uint64, d Decision) {
	l.emit(SubmissionDecision{Ticket: ticket, Decision: d})
}

// valid reports whether the copy's process still has the memory it had when it joined the view.
func (l *Ledger) valid(c chart.Replica) bool {
	h, known := l.hosts[c.Name]
	return known && h.Alive && h.Incarnation == c.Incarnation
}

// restarted reports whether the copy's process certainly lost its memory.
func (l *Ledger) restarted(c chart.Replica) bool {
	h, known := l.hosts[c.Name]
	return known && h.Incarnation > c.Incarnation
}

// present returns the hosts that can hold copies, the order turned by the shard's number.
func (l *Ledger) present(turn int) []Host {
	var out []Host
	for _, h := range l.hosts {
		if h.Alive && !h.Leaving {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	if len(out) > 1 {
		turn %= len(out)
		out = append(out[turn:], out[:turn]...)
	}
	return out
}
