package berth

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"
)

// Parameters of queues and retries.
const (
	// retryRatio is the retry budget: retries per success.
	retryRatio = 0.1
	// retryBurst is the most retries that the budget accumulates.
	retryBurst = 20.0
	// maxRefusals is how often a task that targets refuse is placed again.
	maxRefusals = 8
	// handoffReserve is how many free slots must remain on another host that is handed a task which could also wait here.
	handoffReserve = 6
	// noTargetRetry is the retry delay of a task whose pool has no targets.
	noTargetRetry = time.Second
)

type task struct {
	Task
	queueElement *list.Element
	target       *target
	handedTo     string
	starts       int
	refusals     int
	excluded     map[string]bool
	idealTime    time.Duration
	quota        *quota
}

type remoteHost struct {
	sameDomain bool
	free       map[string]int
	demand     map[string]int
}

// Planner places the tasks of one entry host. It is not safe for concurrent use.
type Planner struct {
	cfg           Config
	rng           *rand.Rand
	hosts         []Host
	targets       map[string]*target
	pools         map[string]*pool
	tasks         map[uint64]*task
	remoteHosts   map[string]remoteHost
	routeLogTimes map[string]float64
	quotas        map[string]*quota
	actions       []Action
}

// Config is the fixed configuration of a Planner.
type Config struct {
	// Self is the name of the planner's entry host, Domain its failure domain.
	Self   string
	Domain string
	// Expiry is how long a target stays without a new announcement.
	Expiry    time.Duration
	Placement PlacementPolicy
	Seed      uint64
}

// NewPlanner returns a planner without targets.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 0)),
		hosts:         []Host{{Name: cfg.Self, Weight: 1}},
		targets:       make(map[string]*target),
		pools:         make(map[string]*pool),
		tasks:         make(map[uint64]*task),
		remoteHosts:   make(map[string]remoteHost),
		routeLogTimes: make(map[string]float64),
		quotas:        make(map[string]*quota),
	}
}

// Step processes one event and returns the resulting actions.
func (p *Planner) Step(now time.Time, ev Event) []Action {
	p.actions = nil
	switch e := ev.(type) {
	case Submit:
		p.submit(now, e.Task)
	case Admission:
		p.handleAdmission(now, e)
	case AttemptEnded:
		p.handleAttemptEnd(now, e)
	case CancelTask:
		p.cancelTask(e.ID)
	case Announced:
		p.handleAnnouncement(now, e)
	case HostsChanged:
		p.setHosts(now, e.Hosts)
	case RemoteCapacity:
		p.remoteHosts[e.Host] = remoteHost{sameDomain: e.SameDomain, free: e.Free, demand: e.Demand}
		p.updateRemoteDemand()
	case HostLost:
		delete(p.remoteHosts, e.Host)
		p.updateRemoteDemand()
	case Tick:
		p.tick(now)
	}
	return p.actions
}

// Free returns, by pool, how many more tasks could start here at once.
func (p *Planner) Free(now time.Time) map[string]int {
	out := make(map[string]int)
	for name, pool := range p.pools {
		out[name] = pool.freeSlots(now)
	}
	return out
}

// Targets returns the state of all known targets, ordered by name.
func (p *Planner) Targets(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(p.targets))
	for _, t := range p.targets {
		out = append(out, t.state(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target.Name < out[j].Target.Name })
	return out
}

// Waiting returns how many tasks are queued.
func (p *Planner) Waiting() int {
	n := 0
	for _, pool := range p.pools {
		n += pool.queue.len()
	}
	return n
}

func (p *Planner) submit(now time.Time, t Task) {
	k := &task{Task: t}
	p.tasks[t.ID] = k
	if q := p.quota(now, k); q != nil {
		if retry, ok := p.chargeQuota(now, q, k); !ok {
			p.finishTask(k, Refused, OverQuota, retry)
			return
		}
		q.inflight++
		k.quota = q
	}
	p.pool(t.Pool).arrivals++
	p.placeTask(now, k)
}

func (p *Planner) pool(name string) *pool {
	q, ok := p.pools[name]
	if !ok {
		q = newPool(name)
		p.pools[name] = q
	}
	return q
}
