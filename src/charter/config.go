package charter

import (
	"sort"
	"strings"
	"time"
)

// Route says which pool serves the jobs that callers submit below a host name and a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Timeout bounds how long a job of this route may take.
	Timeout time.Duration
	// TargetLatency and Stretch make the latency objective: Stretch times the longest chain of work, and TargetLatency more.
	TargetLatency time.Duration
	Stretch       float64
	// Priority orders routes; 0 comes first.
	Priority int
	// MaxAttempts is how many runs of one task may fail before its job has failed.
	MaxAttempts int
	// ExternalPlacement says that a service outside decides which targets may run a step.
	ExternalPlacement bool
}

// Pool is a group of targets that serve the same routes.
type Pool struct {
	Name string
	// AdmissionControl says that its targets refuse what does not fit.
	AdmissionControl bool
	// MaxConnections bounds the connections to one target.
	MaxConnections int
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Limits  Limits
	// Source is the configuration as the operator sent it, which is what it reads back.
	Source []byte

	byHost map[string][]Route
}

// BuildIndex prepares the configuration for Match.
func (c *Config) BuildIndex() {
	c.byHost = make(map[string][]Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Match returns the route with the longest prefix of path under a host, and what follows the prefix.
func (c *Config) Match(host, path string) (Route, string, bool) {
	for _, r := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}

// Validate returns what makes the configuration invalid, one finding each.
func (c *Config) Validate() []string {
	var findings []string
	pools := make(map[string]bool)
	for _, p := range c.Pools {
		if p.Name == "" {
			findings = append(findings, "a pool has no name")
		}
		if pools[p.Name] {
			findings = append(findings, "pool "+p.Name+" stands twice")
		}
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string)
	for _, r := range c.Routes {
		at := place{r.Host, r.Prefix}
		if other, taken := places[at]; taken {
			findings = append(findings, "routes "+other+" and "+r.Name+" share one host and prefix")
		}
		places[at] = r.Name
		if !pools[r.Pool] {
			findings = append(findings, "route "+r.Name+" names the unknown pool "+r.Pool)
		}
		if r.Timeout <= 0 {
			findings = append(findings, "route "+r.Name+" has no timeout")
		}
		if r.Host == "" || r.Prefix == "" {
			findings = append(findings, "route "+r.Name+" has no host or no prefix")
		}
	}
	return findings
}
