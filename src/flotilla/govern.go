package flotilla

import (
	"slices"
	"strings"
	"time"
)

// holder is a process that plans a domain.
type holder struct {
	member Member
	token  int64
}

// govern decides, for every domain, whether this process begins or ends to plan there.
func (f *Fleet) govern(now time.Time) {
	if !f.self.Dispatcher {
		return
	}
	for _, domain := range f.domains {
		f.finishHandover(now, domain)
		f.governDomain(now, domain)
	}
	f.publish()
}

func (f *Fleet) governDomain(now time.Time, domain string) {
	other, held := f.strongest(domain)
	own := f.claims[domain]
	if own != nil {
		if held && other.token > own.token {
			delete(f.claims, domain)
			f.act(Yielded{Domain: domain, To: other.member.Name})
		}
		return
	}
	if f.self.Leaving || now.Sub(f.begun) < f.settle() {
		return
	}
	if held && !other.member.Leaving && !f.mayReclaim(now, domain, other) {
		delete(f.vacant, domain)
		return
	}
	if !held && f.vacant[domain].IsZero() {
		f.vacant[domain] = now
	}
	if f.candidate(now, domain) != f.self.Name {
		return
	}
	delete(f.vacant, domain)
	c := &claim{token: f.token(now, domain)}
	if held {
		c.from, c.life, c.until = other.member.Name, other.member.Incarnation, now.Add(handoverLimit)
	}
	f.claims[domain] = c
	f.act(Claimed{Domain: domain, Token: c.token, Gentle: held, From: c.from})
}

// mayReclaim reports whether this process takes its own domain back from one of another domain.
func (f *Fleet) mayReclaim(now time.Time, domain string, other holder) bool {
	return domain == f.self.Domain && other.member.Domain != domain && now.Sub(f.begun) > returnAfter
}

// candidate returns who should plan a domain that has no planner, or whose planner leaves: the first of the domain's
// entry hosts by name, of those that know targets if any do; one of another domain only if the domain is in reach but has
// no entry host.
func (f *Fleet) candidate(now time.Time, domain string) string {
	var own, informed, foreign []string
	reached := domain == f.self.Domain
	consider := func(m Member) {
		reached = reached || m.Domain == domain
		switch {
		case !m.Dispatcher || m.Leaving:
		case m.Domain == domain:
			own = append(own, m.Name)
			if m.Targets > 0 && m.Config > 0 {
				informed = append(informed, m.Name)
			}
		default:
			foreign = append(foreign, m.Name)
		}
	}
	consider(f.self)
	for _, p := range f.alive() {
		consider(p.Member)
	}
	if len(informed) > 0 {
		return slices.Min(informed)
	}
	if len(own) > 0 {
		return slices.Min(own)
	}
	since, vacant := f.vacant[domain]
	if !reached || !vacant || now.Sub(since) < foreignAfter || len(foreign) == 0 {
		return ""
	}
	return slices.Min(foreign)
}

// strongest returns the other live process with the highest claim on a domain.
func (f *Fleet) strongest(domain string) (holder, bool) {
	var best holder
	found := false
	for _, p := range f.alive() {
		for _, c := range p.Member.Claims {
			if c.Domain == domain && c.Token > best.token {
				best, found = holder{member: p.Member, token: c.Token}, true
			}
		}
	}
	return best, found
}

// finishHandover takes over whatever a predecessor has not handed over once it is gone or too slow.
func (f *Fleet) finishHandover(now time.Time, domain string) {
	c := f.claims[domain]
	if c == nil || c.from == "" {
		return
	}
	p, known := f.peers[c.from]
	if known && p.Alive && p.Member.Incarnation == c.life && now.Before(c.until) {
		return
	}
	c.from = ""
	f.act(Claimed{Domain: domain, Token: c.token})
}

// outbid renews a claim under a higher token.
func (f *Fleet) outbid(now time.Time, domain string) {
	c := f.claims[domain]
	if c == nil {
		return
	}
	c.token = f.token(now.Add(time.Minute), domain)
	f.publish()
	f.act(Claimed{Domain: domain, Token: c.token, From: c.from, Gentle: c.from != ""})
}

func (f *Fleet) publish() {
	var claims []Claim
	for domain, c := range f.claims {
		claims = append(claims, Claim{Domain: domain, Token: c.token})
	}
	slices.SortFunc(claims, func(a, b Claim) int { return strings.Compare(a.Domain, b.Domain) })
	f.self.Claims = claims
}

// Planners returns the live processes that plan a domain, this one among them if it does, by name.
func (f *Fleet) Planners() []Member {
	var out []Member
	if len(f.self.Claims) > 0 {
		out = append(out, f.self)
	}
	for _, p := range f.alive() {
		if len(p.Member.Claims) > 0 {
			out = append(out, p.Member)
		}
	}
	return out
}

// settle returns how long this process listens before it claims a domain: less once others are heard, as their answers
// name everyone else.
func (f *Fleet) settle() time.Duration {
	if len(f.alive()) > 0 {
		return settleHeard
	}
	return settleAlone
}
