package flotilla

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// holder is a process that plans a part.
type holder struct {
	member Member
	token  int64
}

// peerView is what the peers report of claims and domains, collected once for all parts: the live peers, the peer with
// the highest claim on each part, and the entry hosts of each domain. Assigned counts the vacant parts that fall to
// other hosts in this round, by host and domain. Every host computes the same assignment and claims its own parts at
// once; assigning one part after the other would take a heartbeat each.
type peerView struct {
	alive    []*Peer
	holders  map[string]holder
	hosts    map[string][]Member
	assigned map[assignment]int
	// witnesses holds, by domain, the near processes that accept no jobs and tell how long its entry hosts have been silent.
	witnesses map[string][]*Peer
	now       time.Time
}

type assignment struct{ host, domain string }

func (f *Fleet) collectView(now time.Time) peerView {
	view := peerView{
		alive: f.alivePeers(), holders: make(map[string]holder), hosts: make(map[string][]Member),
		assigned: make(map[assignment]int), witnesses: make(map[string][]*Peer), now: now,
	}
	for _, p := range view.alive {
		if m := p.Member; p.near && !m.Dispatcher {
			view.witnesses[m.Domain] = append(view.witnesses[m.Domain], p)
		}
		for _, c := range p.Member.Claims {
			if best, held := view.holders[c.Part]; !held || c.Token > best.token {
				view.holders[c.Part] = holder{member: p.Member, token: c.Token}
			}
		}
	}
	return view
}

// updateClaims decides for every part whether this process starts or stops planning it.
func (f *Fleet) updateClaims(now time.Time) {
	if !f.self.Dispatcher {
		return
	}
	f.view = f.collectView(now)
	for _, part := range f.parts {
		f.finishHandover(now, part)
		f.updateClaim(now, part)
	}
	f.publishClaims()
}

func (f *Fleet) updateClaim(now time.Time, part string) {
	current, held := f.view.holders[part]
	own := f.claims[part]
	if own != nil {
		if held && current.token > own.token {
			delete(f.claims, part)
			f.emit(PartYielded{Part: part, Successor: current.member.Name})
		}
		return
	}
	if f.self.Leaving || now.Sub(f.startedAt) < f.settleTime() {
		return
	}
	if held && !current.member.Leaving && !f.mayReclaim(now, part, current) && !f.overloaded(now, part, current) {
		delete(f.vacantSince, part)
		return
	}
	f.trackVacancy(now, part, held)
	if chosen := f.choosePlanner(now, part); chosen != f.self.Name {
		if !held && chosen != "" {
			domain, _ := DomainOf(part)
			f.view.assigned[assignment{host: chosen, domain: domain}]++
		}
		return
	}
	delete(f.vacantSince, part)
	c := &claim{token: f.newToken(now, part)}
	if held {
		c.predecessor, c.incarnation, c.until = current.member.Name, current.member.Incarnation, now.Add(handoverTimeout)
	}
	f.claims[part] = c
	f.emit(PartClaimed{Part: part, Token: c.token, HandoverInProgress: held, Predecessor: c.predecessor})
}

// trackVacancy records since when a part has had no planner. While no process of its domain is reachable the part may
// well have one, and its planner need not be the first process to become reachable when a network partition ends.
func (f *Fleet) trackVacancy(now time.Time, part string, held bool) {
	domain, _ := DomainOf(part)
	if !f.domainReachable(domain) {
		delete(f.vacantSince, part)
		return
	}
	if !held && f.vacantSince[part].IsZero() {
		f.vacantSince[part] = now
	}
}

// domainReachable reports whether any process of a domain is alive.
func (f *Fleet) domainReachable(domain string) bool {
	if domain == f.self.Domain {
		return true
	}
	for _, p := range f.view.alive {
		if p.Member.Domain == domain {
			return true
		}
	}
	return false
}

// mayReclaim reports whether this process takes a part of its own domain back from a host of another domain.
func (f *Fleet) mayReclaim(now time.Time, part string, current holder) bool {
	domain, _ := DomainOf(part)
	return domain == f.self.Domain && current.member.Domain != domain && now.Sub(f.startedAt) > reclaimDelay
}

// overloaded reports whether a host of this domain has more than its share of parts, or is too weak to plan while
// stronger hosts are alive, and this process has capacity for the part.
func (f *Fleet) overloaded(now time.Time, part string, current holder) bool {
	domain, _ := DomainOf(part)
	if domain != f.self.Domain || current.member.Domain != domain || now.Sub(f.startedAt) <= reclaimDelay {
		return false
	}
	planning := f.planningHosts(domain)
	limit := maxParts(planning, current.member)
	if cpuMillis(current.member) < cpuMillis(planning[len(planning)-1]) {
		limit = 0
	}
	return claimCount(current.member, domain) > limit && f.partCount(f.self, domain) < maxParts(planning, f.self)
}

// planningHosts returns the entry hosts of a domain that should plan its workers.
func (f *Fleet) planningHosts(domain string) []Member {
	return strongestFor(f.eligibleHosts(domain), f.workers[domain])
}

// partCount returns how many parts of a domain a host plans, or is about to claim.
func (f *Fleet) partCount(m Member, domain string) int {
	if m.Name != f.self.Name {
		return claimCount(m, domain) + f.view.assigned[assignment{host: m.Name, domain: domain}]
	}
	n := 0
	for claimed := range f.claims {
		if d, _ := DomainOf(claimed); d == domain {
			n++
		}
	}
	return n
}

// leastLoaded returns the host with the fewest parts for its processor time.
func (f *Fleet) leastLoaded(hosts []Member, domain string) string {
	return slices.MinFunc(hosts, func(a, b Member) int {
		return f.partCount(a, domain)*cpuMillis(b) - f.partCount(b, domain)*cpuMillis(a)
	}).Name
}

func claimCount(m Member, domain string) int {
	n := 0
	for _, c := range m.Claims {
		if d, _ := DomainOf(c.Part); d == domain {
			n++
		}
	}
	return n
}

// eligibleHosts returns a domain's entry hosts that are not leaving, the strongest first, then by name; if any of them
// know the targets and the configuration, only those.
func (f *Fleet) eligibleHosts(domain string) []Member {
	if known, ok := f.view.hosts[domain]; ok {
		return known
	}
	all := f.findEligibleHosts(domain)
	f.view.hosts[domain] = all
	return all
}

func (f *Fleet) findEligibleHosts(domain string) []Member {
	var all, informed []Member
	add := func(m Member) {
		if !m.Dispatcher || m.Leaving || m.Domain != domain {
			return
		}
		all = append(all, m)
		if m.TargetsRevision > 0 && m.ConfigVersion > 0 {
			informed = append(informed, m)
		}
	}
	add(f.self)
	for _, p := range f.view.alive {
		if p.Member.Domain == domain && !f.toldLost(p) {
			add(p.Member)
		}
	}
	if len(informed) > 0 {
		all = informed
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cpuMillis(b)-cpuMillis(a), strings.Compare(a.Name, b.Name))
	})
	return all
}

// choosePlanner returns the host that should plan a part which has no planner, or whose planner is leaving or
// overloaded: among as many of the domain's entry hosts as its workers need, strongest first, the one with the fewest
// parts for its processor time. A host of another domain is chosen only if the domain is reachable but has no entry
// host, and the part has been vacant for vacancyDelay; then it is one that plans already, as far as there are any, because
// everybody knows whether these are alive, and they know who else is.
func (f *Fleet) choosePlanner(now time.Time, part string) string {
	domain, _ := DomainOf(part)
	if hosts := f.planningHosts(domain); len(hosts) > 0 {
		return f.leastLoaded(hosts, domain)
	}
	foreign := f.foreignHosts(func(m Member) bool { return len(m.Claims) > 0 })
	if len(foreign) == 0 {
		foreign = f.foreignHosts(func(Member) bool { return true })
	}
	since, vacant := f.vacantSince[part]
	if !vacant || now.Sub(since) < f.vacancyDelay(domain) || len(foreign) == 0 {
		return ""
	}
	return slices.Min(foreign)
}

// vacancyDelay returns how long a part of a domain without an entry host must be vacant before a host of another domain plans it.
// A start that a lost planner had ordered without an answer may be carried out from two seconds on, and only the next planner's
// token prevents that. So there is no delay once the domain's entry hosts are known to be lost: another process of the domain has
// been heard all the time since, which tells their loss from that of the way there and from a standstill of this process.
func (f *Fleet) vacancyDelay(domain string) time.Duration {
	var entry time.Time
	for _, p := range f.sorted {
		if p.Member.Domain == domain && p.Member.Dispatcher {
			entry = later(entry, p.LastHeartbeat)
		}
	}
	for _, w := range f.view.witnesses[domain] {
		entry = later(entry, w.LastHeartbeat.Add(-w.Member.EntrySilence))
	}
	for _, p := range f.view.alive {
		heardOn := p.LastHeartbeat.Sub(entry) >= entryLossEvidence && !p.steadySince.After(entry)
		if heardOn && p.Member.Domain == domain && !entry.IsZero() {
			return 0
		}
	}
	return foreignClaimDelay
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// foreignHosts returns the names of the entry hosts of any domain that are not leaving and fulfil a condition.
func (f *Fleet) foreignHosts(suits func(m Member) bool) []string {
	var out []string
	if !f.self.Leaving && suits(f.self) {
		out = append(out, f.self.Name)
	}
	for _, p := range f.view.alive {
		if p.Member.Dispatcher && !p.Member.Leaving && suits(p.Member) {
			out = append(out, p.Member.Name)
		}
	}
	return out
}

// finishHandover takes over all workers not yet handed over once the predecessor has ended or handoverTimeout has
// passed.
func (f *Fleet) finishHandover(now time.Time, part string) {
	c := f.claims[part]
	if c == nil || c.predecessor == "" {
		return
	}
	p, known := f.peers[c.predecessor]
	if known && p.Alive && p.Member.Incarnation == c.incarnation && now.Before(c.until) {
		return
	}
	c.predecessor = ""
	f.emit(PartClaimed{Part: part, Token: c.token})
}

// raiseToken renews a claim under a higher token.
func (f *Fleet) raiseToken(now time.Time, part string) {
	c := f.claims[part]
	if c == nil {
		return
	}
	c.token = f.newToken(now.Add(time.Minute), part)
	f.publishClaims()
	f.emit(PartClaimed{Part: part, Token: c.token, Predecessor: c.predecessor, HandoverInProgress: c.predecessor != ""})
}

func (f *Fleet) publishClaims() {
	var claims []Claim
	for part, c := range f.claims {
		claims = append(claims, Claim{Part: part, Token: c.token})
	}
	slices.SortFunc(claims, func(a, b Claim) int { return strings.Compare(a.Part, b.Part) })
	f.self.Claims = claims
}

// Planners returns the live processes that plan a part, this process first if it does, then the others by name.
func (f *Fleet) Planners() []Member {
	var out []Member
	if len(f.self.Claims) > 0 {
		out = append(out, f.self)
	}
	for _, p := range f.sorted {
		if p.Alive && len(p.Member.Claims) > 0 {
			out = append(out, p.Member)
		}
	}
	return out
}

// settleTime returns how long this process listens before it claims a part: less once peers are alive, as their
// heartbeats name all others.
func (f *Fleet) settleTime() time.Duration {
	if len(f.view.alive) > 0 {
		return settleWithPeers
	}
	return settleAlone
}
