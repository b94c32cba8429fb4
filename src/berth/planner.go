package berth

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"
)

// Constants of queues and retries.
const (
	// retryGain is the share of successes that may be spent on retries.
	retryGain = 0.1
	// retryBurst bounds the retries saved up.
	retryBurst = 20.0
	// refusedTries bounds how often a task that targets refuse is placed again.
	refusedTries = 8
	// handoffReserve is how much room another host must report to be handed a task.
	handoffReserve = 6
	// emptyRetry is when a pool without targets may have one.
	emptyRetry = time.Second
)

type task struct {
	Task
	element  *list.Element
	target   *target
	host     string
	started  int
	refused  int
	excluded map[string]bool
	ideal    time.Duration
	quota    *quota
}

type neighbour struct {
	near   bool
	free   map[string]int
	demand map[string]int
}

// Planner places the tasks of one entry host; it belongs to one goroutine.
type Planner struct {
	cfg     Config
	rng     *rand.Rand
	hosts   []Host
	targets map[string]*target
	pools   map[string]*pool
	tasks   map[uint64]*task
	others  map[string]neighbour
	routes  map[string]float64
	quotas  map[string]*quota
	out     []Action
}

// Config is what a Planner is told once.
type Config struct {
	// Self is the entry host that the planner works for, Domain its failure domain.
	Self   string
	Domain string
	// Expiry is how long a target may be silent before it is forgotten.
	Expiry    time.Duration
	Placement PlacementPolicy
	Seed      uint64
}

// NewPlanner returns a planner that knows no target.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		hosts:   []Host{{Name: cfg.Self, Weight: 1}},
		targets: make(map[string]*target),
		pools:   make(map[string]*pool),
		tasks:   make(map[uint64]*task),
		others:  make(map[string]neighbour),
		routes:  make(map[string]float64),
		quotas:  make(map[string]*quota),
	}
}

// Step takes one event and returns the actions it leads to.
func (p *Planner) Step(now time.Time, ev Event) []Action {
	p.out = nil
	switch e := ev.(type) {
	case Submit:
		p.submit(now, e.Task)
	case Admission:
		p.admit(now, e)
	case AttemptEnded:
		p.ended(now, e)
	case CancelTask:
		p.withdraw(e.ID)
	case Announced:
		p.announced(now, e.Target)
	case HostsChanged:
		p.setHosts(now, e.Hosts)
	case RemoteCapacity:
		p.others[e.Host] = neighbour{near: e.SameDomain, free: e.Free, demand: e.Demand}
		p.heardDemand()
	case HostLost:
		delete(p.others, e.Host)
		p.heardDemand()
	case Tick:
		p.tick(now)
	}
	return p.out
}

// Free returns how many more tasks each pool could start here at once.
func (p *Planner) Free(now time.Time) map[string]int {
	out := make(map[string]int)
	for name, pool := range p.pools {
		out[name] = pool.free(now)
	}
	return out
}

// Targets returns every target known, by name.
func (p *Planner) Targets(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(p.targets))
	for _, t := range p.targets {
		out = append(out, t.state(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target.Name < out[j].Target.Name })
	return out
}

// Waiting returns how many tasks wait for a target.
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
		if retry, ok := p.within(now, q, k); !ok {
			p.finish(k, Refused, OverQuota, retry)
			return
		}
		q.inflight++
		k.quota = q
	}
	p.pool(t.Pool).arrivals++
	p.place(now, k)
}

func (p *Planner) pool(name string) *pool {
	q, ok := p.pools[name]
	if !ok {
		q = newPool(name)
		p.pools[name] = q
	}
	return q
}
