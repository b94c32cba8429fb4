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

// round is what the peers say of claims and domains, gathered once for all parts: the peers that are alive, who of them
// has the highest claim on a part, and the entry hosts of a domain. Assigned counts the parts without a planner that fall to
// other hosts in this round, by host and domain: each of them comes to the same result and claims its own at once, where
// one part after the other would take a beat each.
type round struct {
	alive    []*Peer
	holders  map[string]holder
	hosts    map[string][]Member
	assigned map[assignment]int
}

type assignment struct{ host, domain string }

func (f *Fleet) look() round {
	r := round{
		alive: f.alive(), holders: make(map[string]holder), hosts: make(map[string][]Member),
		assigned: make(map[assignment]int),
	}
	for _, p := range r.alive {
		for _, c := range p.Member.Claims {
			if best, held := r.holders[c.Part]; !held || c.Token > best.token {
				r.holders[c.Part] = holder{member: p.Member, token: c.Token}
			}
		}
	}
	return r
}

// govern decides, for every part, whether this process begins or ends to plan there.
func (f *Fleet) govern(now time.Time) {
	if !f.self.Dispatcher {
		return
	}
	f.seen = f.look()
	for _, part := range f.parts {
		f.finishHandover(now, part)
		f.governPart(now, part)
	}
	f.publish()
}

func (f *Fleet) governPart(now time.Time, part string) {
	other, held := f.seen.holders[part]
	own := f.claims[part]
	if own != nil {
		if held && other.token > own.token {
			delete(f.claims, part)
			f.act(PartYielded{Part: part, Successor: other.member.Name})
		}
		return
	}
	if f.self.Leaving || now.Sub(f.begun) < f.settle() {
		return
	}
	if held && !other.member.Leaving && !f.mayReclaim(now, part, other) && !f.overburdened(now, part, other) {
		delete(f.vacant, part)
		return
	}
	f.noteVacancy(now, part, held)
	if chosen := f.candidate(now, part); chosen != f.self.Name {
		if !held && chosen != "" {
			domain, _ := DomainOf(part)
			f.seen.assigned[assignment{host: chosen, domain: domain}]++
		}
		return
	}
	delete(f.vacant, part)
	c := &claim{token: f.token(now, part)}
	if held {
		c.from, c.life, c.until = other.member.Name, other.member.Incarnation, now.Add(handoverLimit)
	}
	f.claims[part] = c
	f.act(PartClaimed{Part: part, Token: c.token, HandoverInProgress: held, Predecessor: c.from})
}

// noteVacancy notes since when a part has had no planner, as far as can be told: while nothing of its domain is heard it may
// well have one, which need not be the first to be heard when a cut has healed.
func (f *Fleet) noteVacancy(now time.Time, part string, held bool) {
	domain, _ := DomainOf(part)
	if !f.reaches(domain) {
		delete(f.vacant, part)
		return
	}
	if !held && f.vacant[part].IsZero() {
		f.vacant[part] = now
	}
}

// reaches reports whether anything of a domain is heard.
func (f *Fleet) reaches(domain string) bool {
	if domain == f.self.Domain {
		return true
	}
	for _, p := range f.seen.alive {
		if p.Member.Domain == domain {
			return true
		}
	}
	return false
}

// mayReclaim reports whether this process takes a part of its own domain back from a host of another one.
func (f *Fleet) mayReclaim(now time.Time, part string, other holder) bool {
	domain, _ := DomainOf(part)
	return domain == f.self.Domain && other.member.Domain != domain && now.Sub(f.begun) > returnAfter
}

// overburdened reports whether a host of this domain has more parts of it than its share, or is too weak to plan while
// stronger ones are there, and this process has room.
func (f *Fleet) overburdened(now time.Time, part string, other holder) bool {
	domain, _ := DomainOf(part)
	if domain != f.self.Domain || other.member.Domain != domain || now.Sub(f.begun) <= returnAfter {
		return false
	}
	chosen := f.team(domain)
	most := quota(chosen, other.member)
	if power(other.member) < power(chosen[len(chosen)-1]) {
		most = 0
	}
	return claims(other.member, domain) > most && f.burden(f.self, domain) < quota(chosen, f.self)
}

// team returns the entry hosts of a domain that should plan its workers.
func (f *Fleet) team(domain string) []Member { return team(f.hosts(domain), f.workers[domain]) }

// burden returns how many parts of a domain a host plans, or is about to.
func (f *Fleet) burden(m Member, domain string) int {
	if m.Name != f.self.Name {
		return claims(m, domain) + f.seen.assigned[assignment{host: m.Name, domain: domain}]
	}
	n := 0
	for claimed := range f.claims {
		if d, _ := DomainOf(claimed); d == domain {
			n++
		}
	}
	return n
}

// leastBurdened returns the host with the fewest parts for its power.
func (f *Fleet) leastBurdened(hosts []Member, domain string) string {
	return slices.MinFunc(hosts, func(a, b Member) int {
		return f.burden(a, domain)*power(b) - f.burden(b, domain)*power(a)
	}).Name
}

func claims(m Member, domain string) int {
	n := 0
	for _, c := range m.Claims {
		if d, _ := DomainOf(c.Part); d == domain {
			n++
		}
	}
	return n
}

// hosts returns a domain's entry hosts that stay, the strongest first, then by name; of those that know targets if any do.
func (f *Fleet) hosts(domain string) []Member {
	if known, ok := f.seen.hosts[domain]; ok {
		return known
	}
	all := f.findHosts(domain)
	f.seen.hosts[domain] = all
	return all
}

func (f *Fleet) findHosts(domain string) []Member {
	var all, informed []Member
	consider := func(m Member) {
		if !m.Dispatcher || m.Leaving || m.Domain != domain {
			return
		}
		all = append(all, m)
		if m.TargetsRevision > 0 && m.ConfigVersion > 0 {
			informed = append(informed, m)
		}
	}
	consider(f.self)
	for _, p := range f.seen.alive {
		consider(p.Member)
	}
	if len(informed) > 0 {
		all = informed
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(power(b)-power(a), strings.Compare(a.Name, b.Name))
	})
	return all
}

// candidate returns who should plan a part that has no planner, or whose planner leaves or has too many: of as many of the
// domain's entry hosts as its workers need, the strongest first, the one with the fewest parts for its power; one of another domain only if the
// domain is in reach but has no entry host.
func (f *Fleet) candidate(now time.Time, part string) string {
	domain, _ := DomainOf(part)
	if own := f.team(domain); len(own) > 0 {
		return f.leastBurdened(own, domain)
	}
	var foreign []string
	if !f.self.Leaving {
		foreign = append(foreign, f.self.Name)
	}
	for _, p := range f.seen.alive {
		if p.Member.Dispatcher && !p.Member.Leaving {
			foreign = append(foreign, p.Member.Name)
		}
	}
	since, vacant := f.vacant[part]
	if !vacant || now.Sub(since) < foreignAfter || len(foreign) == 0 {
		return ""
	}
	return slices.Min(foreign)
}

// finishHandover takes over whatever a predecessor has not handed over once it is gone or too slow.
func (f *Fleet) finishHandover(now time.Time, part string) {
	c := f.claims[part]
	if c == nil || c.from == "" {
		return
	}
	p, known := f.peers[c.from]
	if known && p.Alive && p.Member.Incarnation == c.life && now.Before(c.until) {
		return
	}
	c.from = ""
	f.act(PartClaimed{Part: part, Token: c.token})
}

// outbid renews a claim under a higher token.
func (f *Fleet) outbid(now time.Time, part string) {
	c := f.claims[part]
	if c == nil {
		return
	}
	c.token = f.token(now.Add(time.Minute), part)
	f.publish()
	f.act(PartClaimed{Part: part, Token: c.token, Predecessor: c.from, HandoverInProgress: c.from != ""})
}

func (f *Fleet) publish() {
	var claims []Claim
	for part, c := range f.claims {
		claims = append(claims, Claim{Part: part, Token: c.token})
	}
	slices.SortFunc(claims, func(a, b Claim) int { return strings.Compare(a.Part, b.Part) })
	f.self.Claims = claims
}

// Planners returns the live processes that plan a part, this one among them if it does, by name.
func (f *Fleet) Planners() []Member {
	var out []Member
	if len(f.self.Claims) > 0 {
		out = append(out, f.self)
	}
	for _, p := range f.order {
		if p.Alive && len(p.Member.Claims) > 0 {
			out = append(out, p.Member)
		}
	}
	return out
}

// settle returns how long this process listens before it claims a domain: less once others are heard, as their answers
// name everyone else.
func (f *Fleet) settle() time.Duration {
	if len(f.seen.alive) > 0 {
		return settleHeard
	}
	return settleAlone
}
