package chart

import (
	"fmt"
	"regexp"
	"time"
)

// Route says which pool serves a kind of request, and how.
type Route struct {
	Name string
	Pool string
	// Timeout bounds a request that brings no deadline of its own.
	Timeout time.Duration
	// NonIdempotent marks every request of the route as one that runs at most once.
	NonIdempotent bool
	// Spill lets requests go to other failure domains.
	Spill bool
	// Attempts bounds how often an idempotent request is tried.
	Attempts int
	// Cores, Memory (bytes) and Accelerators are what one task takes of a worker.
	Cores        int
	Memory       int64
	Accelerators int
	// Objective is the service level that the route promises.
	Objective Objective
}

// Objective is a service level: LatencyShare of the whole answers come within LatencyRatio times the ideal, and
// SuccessShare of all requests get a whole answer or a true refusal; the shares lie below 1, and 0 promises nothing.
type Objective struct {
	LatencyRatio float64
	LatencyShare float64
	SuccessShare float64
}

// Pool groups targets that announce its name.
type Pool struct {
	Name string
	// Slots bounds the slots used of each of its minions; 0 leaves it to the target.
	Slots int
	// Queue bounds the requests that wait for a target at one entry host.
	Queue int
	// Teams limits teams and weighs them, by name; a team that is not named has weight 1 and no limit.
	Teams []Team
}

// Team is what a team may use of a pool, over all entry hosts.
type Team struct {
	Name string
	// Weight is its share against other teams when targets are short.
	Weight int
	// Rate bounds its tasks a second, Inflight its tasks in flight; 0 means no limit.
	Rate     float64
	Inflight int
}

// Team returns what a team may use; one that is not named has weight 1 and no limit.
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

// Bounds of the rows.
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

// ValidName reports whether name can name a route, a pool, a host or a failure domain.
func ValidName(name string) bool {
	return len(name) <= NameLimit && namePattern.MatchString(name)
}

// NewRoute returns a route with the default bounds.
func NewRoute(name, pool string) Route {
	return Route{Name: name, Pool: pool, Timeout: DefaultTimeout, Attempts: DefaultAttempts}
}

// NewPool returns a pool with the default bounds.
func NewPool(name string) Pool {
	return Pool{Name: name, Queue: DefaultQueue}
}

// Validate returns every fault of the route.
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

// Validate returns every fault of the pool.
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

func check(out []string, ok bool, format string, args ...any) []string {
	if ok {
		return out
	}
	return append(out, fmt.Sprintf(format, args...))
}
