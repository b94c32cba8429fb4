package chart

import (
	"fmt"
	"regexp"
	"time"
)

// Route assigns requests of one kind to a pool and sets how they are served.
type Route struct {
	Name string
	Pool string
	// Timeout applies to requests without a deadline of their own.
	Timeout time.Duration
	// NonIdempotent means that every request of the route runs at most once.
	NonIdempotent bool
	// Spill allows requests to be sent to other failure domains.
	Spill bool
	// Attempts is the maximum number of attempts for an idempotent request.
	Attempts int
	// Cores, Memory (bytes) and Accelerators are the resources that one task uses on a worker.
	Cores        int
	Memory       int64
	Accelerators int
	// Objective is the service level objective of the route.
	Objective Objective
}

// Objective is a service level objective: LatencyShare of the complete answers arrive within LatencyRatio times the ideal
// latency, and SuccessShare of all requests get a complete answer or a truthful refusal. The shares are below 1; 0 sets no
// objective.
type Objective struct {
	LatencyRatio float64
	LatencyShare float64
	SuccessShare float64
}

// Pool is the group of targets that announce its name.
type Pool struct {
	Name string
	// Slots limits the slots used on each of its targets; 0 leaves the limit to the target.
	Slots int
	// Queue is the maximum number of requests that wait for a target on one entry host.
	Queue int
	// Teams sets the weights and limits of teams; a team that is not listed has weight 1 and no limit.
	Teams []Team
}

// Team is the weight and limits of a team in a pool, over all entry hosts.
type Team struct {
	Name string
	// Weight is the team's share relative to other teams when targets are scarce.
	Weight int
	// Rate limits its tasks per second, Inflight its concurrent tasks; 0 means no limit.
	Rate     float64
	Inflight int
}

// Team returns the settings of a team; a team that is not listed has weight 1 and no limit.
func (p Pool) Team(name string) Team {
	for _, t := range p.Teams {
		if t.Name == name {
			return t
		}
	}
	return Team{Name: name, Weight: 1}
}

// RouteRow is a route with the revision of its last change.
type RouteRow struct {
	Route    Route
	Revision uint64
	Author   string
	At       time.Time
}

// PoolRow is a pool with the revision of its last change.
type PoolRow struct {
	Pool     Pool
	Revision uint64
	Author   string
	At       time.Time
}

// Limits and defaults of route and pool rows.
const (
	NameLimit       = 64 // bytes
	MinTimeout      = time.Millisecond
	MaxTimeout      = 10 * time.Minute
	DefaultTimeout  = 10 * time.Second
	MaxAttempts     = 10
	DefaultAttempts = 3
	MaxQueue        = 1_000_000
	DefaultQueue    = 4096
	MaxSlots        = 1024
	MaxCores        = 4096
	MaxMemory       = int64(1) << 50 // bytes
	MaxAccelerators = 64
	MaxTeams        = 1024
	MaxRate         = 1e9
	MaxInflight     = 1_000_000_000
	MaxWeight       = 1000
	MaxRatio        = 1000.0
	MaxShare        = 0.999999
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// ValidName reports whether name is valid for a route, a pool, a host or a failure domain.
func ValidName(name string) bool {
	return len(name) <= NameLimit && namePattern.MatchString(name)
}

// NewRoute returns a route with default settings.
func NewRoute(name, pool string) Route {
	return Route{Name: name, Pool: pool, Timeout: DefaultTimeout, Attempts: DefaultAttempts}
}

// NewPool returns a pool with default settings.
func NewPool(name string) Pool {
	return Pool{Name: name, Queue: DefaultQueue}
}

// Validate returns all validation errors of the route.
func (r Route) Validate() []string {
	var out []string
	out = check(out, ValidName(r.Name), "route name %q: lower-case letters, digits, dot, dash and underscore are expected", r.Name)
	out = check(out, ValidName(r.Pool), "pool name %q: lower-case letters, digits, dot, dash and underscore are expected", r.Pool)
	out = check(out, r.Timeout >= MinTimeout && r.Timeout <= MaxTimeout, "timeout %s is out of range: %s to %s", r.Timeout, MinTimeout, MaxTimeout)
	out = check(out, r.Attempts >= 1 && r.Attempts <= MaxAttempts, "attempts %d is out of range: 1 to %d", r.Attempts, MaxAttempts)
	out = check(out, r.Cores >= 0 && r.Cores <= MaxCores, "cores %d is out of range: 0 to %d", r.Cores, MaxCores)
	out = check(out, r.Memory >= 0 && r.Memory <= MaxMemory, "memory %d is out of range: 0 to %d", r.Memory, MaxMemory)
	o := r.Objective
	out = check(out, (o.LatencyShare == 0) == (o.LatencyRatio == 0), "ratio and within go together")
	out = check(out, o.LatencyRatio >= 0 && o.LatencyRatio <= MaxRatio, "ratio %g is out of range: 0 to %g", o.LatencyRatio, MaxRatio)
	out = check(out, o.LatencyShare >= 0 && o.LatencyShare <= MaxShare, "within %g is out of range: 0 to %g", o.LatencyShare, MaxShare)
	out = check(out, o.SuccessShare >= 0 && o.SuccessShare <= MaxShare, "whole %g is out of range: 0 to %g", o.SuccessShare, MaxShare)
	return check(out, r.Accelerators >= 0 && r.Accelerators <= MaxAccelerators, "accelerators %d is out of range: 0 to %d", r.Accelerators, MaxAccelerators)
}

// Validate returns all validation errors of the pool.
func (p Pool) Validate() []string {
	var out []string
	out = check(out, ValidName(p.Name), "pool name %q: lower-case letters, digits, dot, dash and underscore are expected", p.Name)
	out = check(out, p.Slots >= 0 && p.Slots <= MaxSlots, "slots %d is out of range: 0 to %d", p.Slots, MaxSlots)
	out = check(out, len(p.Teams) <= MaxTeams, "%d teams are named; at most %d are expected", len(p.Teams), MaxTeams)
	seen := make(map[string]bool)
	for _, t := range p.Teams {
		out = check(out, ValidName(t.Name), "team name %q: lower-case letters, digits, dot, dash and underscore are expected", t.Name)
		out = check(out, !seen[t.Name], "team %q stands twice", t.Name)
		out = check(out, t.Weight >= 1 && t.Weight <= MaxWeight, "weight %d of team %q is out of range: 1 to %d", t.Weight, t.Name, MaxWeight)
		seen[t.Name] = true
	}
	return check(out, p.Queue >= 1 && p.Queue <= MaxQueue, "queue %d is out of range: 1 to %d", p.Queue, MaxQueue)
}

// check appends a formatted message to out unless ok.
func check(out []string, ok bool, format string, args ...any) []string {
	if ok {
		return out
	}
	return append(out, fmt.Sprintf(format, args...))
}
