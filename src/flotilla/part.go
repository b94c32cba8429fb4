package flotilla

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// PartsPerDomain is how many parts a domain's workers are divided into; a part belongs to one planner. With 16 parts a
	// domain's work can be spread over as many hosts.
	PartsPerDomain = 16
	// workersPerCore is how many workers a planner should have for each core of its processor, as long as there are hosts
	// enough: 32 workers are some 250 starts and as many ends a second, and take a third of 0.144 cores; half of that is
	// left for bursts.
	workersPerCore = 160
	// usualPower is reckoned with for processes that do not say how much processor time they have, in thousandths of a core.
	usualPower    = 200
	partSeparator = "#"
)

// PartOf returns the part of a domain that a worker belongs to, by its id.
func PartOf(domain, worker string) string {
	return part(domain, int(xxh3.HashString(worker)%PartsPerDomain))
}

func part(domain string, index int) string { return domain + partSeparator + strconv.Itoa(index) }

// DomainOf returns the domain of a part, and the part's index.
func DomainOf(name string) (string, int) {
	domain, index, _ := strings.Cut(name, partSeparator)
	n, err := strconv.Atoi(index)
	if err != nil {
		return domain, 0
	}
	return domain, n
}

// parts returns the parts of all domains.
func parts(domains []string) []string {
	var out []string
	for _, d := range domains {
		for i := range PartsPerDomain {
			out = append(out, part(d, i))
		}
	}
	return out
}

// power returns a process's processor time, in thousandths of a core.
func power(m Member) int {
	if m.CPUMillis > 0 {
		return m.CPUMillis
	}
	return usualPower
}

// team returns the first of a domain's hosts, strongest first, that together can plan so many workers; at least one.
func team(hosts []Member, workers int) []Member {
	n, reach := 0, 0
	for n < len(hosts) && n < PartsPerDomain && (n == 0 || reach < workers) {
		reach += power(hosts[n]) * workersPerCore / 1000
		n++
	}
	return hosts[:n]
}

// quota returns how many parts a host of some power should have at the most beside a team, which it may belong to.
func quota(team []Member, m Member) int {
	sum := 0
	for _, t := range team {
		sum += power(t)
	}
	if sum == 0 {
		return PartsPerDomain
	}
	return (PartsPerDomain*power(m) + sum - 1) / sum
}
