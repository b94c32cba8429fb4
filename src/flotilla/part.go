package flotilla

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// PartsPerDomain is how many parts a domain's workers are divided into. A part belongs to one planner, so that the
	// work of a domain can be spread over 16 hosts.
	PartsPerDomain = 16
	// workersPerCore is how many workers a planner should have for each core, as long as there are enough hosts. 32
	// workers make some 250 starts and as many ends a second and use a third of 0.144 cores; half of that time is
	// reserved for bursts.
	workersPerCore = 160
	// defaultCPUMillis is assumed for processes that do not report their processor time, in thousandths of a core.
	defaultCPUMillis = 200
	partSeparator    = "#"
)

// PartOf returns the part of a domain that a worker belongs to, by its id.
func PartOf(domain, worker string) string {
	return part(domain, int(xxh3.HashString(worker)%PartsPerDomain))
}

func part(domain string, index int) string { return domain + partSeparator + strconv.Itoa(index) }

// DomainOf returns the domain and the index of a part.
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

// cpuMillis returns a process's processor time, in thousandths of a core.
func cpuMillis(m Member) int {
	if m.CPUMillis > 0 {
		return m.CPUMillis
	}
	return defaultCPUMillis
}

// strongestFor returns as many of a domain's hosts, strongest first, as are needed to plan the workers; at least one.
func strongestFor(hosts []Member, workers int) []Member {
	n, capacity := 0, 0
	for n < len(hosts) && n < PartsPerDomain && (n == 0 || capacity < workers) {
		capacity += cpuMillis(hosts[n]) * workersPerCore / 1000
		n++
	}
	return hosts[:n]
}

// maxParts returns the largest number of parts that a host should have beside the planning hosts, which may include it.
func maxParts(planning []Member, m Member) int {
	sum := 0
	for _, t := range planning {
		sum += cpuMillis(t)
	}
	if sum == 0 {
		return PartsPerDomain
	}
	return (PartsPerDomain*cpuMillis(m) + sum - 1) / sum
}
