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
	// WorkersPerPlanner is how many workers one planner should have, as long as there are hosts enough: some 250 starts
	// and as many ends a second, a third of the smallest entry hosts' processor time.
	WorkersPerPlanner = 32
	partSeparator     = "#"
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

// planners returns how many hosts should share a domain's workers.
func planners(workers, hosts int) int {
	return max(1, min(hosts, (workers+WorkersPerPlanner-1)/WorkersPerPlanner))
}

// share returns how many parts of a domain one of so many planners has at the most.
func share(planners int) int { return (PartsPerDomain + planners - 1) / planners }
