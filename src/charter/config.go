package charter

import "time"

// Route maps the jobs that callers submit under a host name and a path prefix to the pool that serves them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Timeout bounds the duration of a job of this route.
	Timeout time.Duration
	// TargetLatency and Stretch define the latency objective: Stretch times the longest chain of dependent work, plus
	// TargetLatency.
	TargetLatency time.Duration
	Stretch       float64
	// Priority orders routes; 0 is the highest.
	Priority int
	// MaxAttempts is how many runs of one task may fail before its job fails.
	MaxAttempts int
	// ExternalPlacement says that an external service decides which targets may run a step.
	ExternalPlacement bool
}

// Pool is a group of targets that serve the same routes.
type Pool struct {
	Name string
	// AdmissionControl says that the pool's targets refuse tasks that do not fit.
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
	// Source is the configuration as the operator sent it; it is what operators read back.
	Source []byte

	byHost map[string][]indexedRoute
	served map[servedRoute]bool
	// encoded is what Decode read the configuration from.
	encoded []byte
}

// Validate returns what makes the configuration invalid, one message for each problem.
func (c *Config) Validate() []string {
	var problems []string
	pools := make(map[string]bool)
	for _, p := range c.Pools {
		if p.Name == "" {
			problems = append(problems, "a pool has no name")
		}
		if pools[p.Name] {
			problems = append(problems, "pool "+p.Name+" stands twice")
		}
		pools[p.Name] = true
	}
	routeByKey := make(map[routeKey]string)
	for _, r := range c.Routes {
		key := keyOf(r)
		if other, exists := routeByKey[key]; exists {
			problems = append(problems, "routes "+other+" and "+r.Name+" share one host and prefix")
		}
		routeByKey[key] = r.Name
		if !pools[r.Pool] {
			problems = append(problems, "route "+r.Name+" names the unknown pool "+r.Pool)
		}
		if r.Timeout <= 0 {
			problems = append(problems, "route "+r.Name+" has no timeout")
		}
		if r.Host == "" || r.Prefix == "" {
			problems = append(problems, "route "+r.Name+" has no host or no prefix")
		}
	}
	return problems
}
