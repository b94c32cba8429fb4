package berth

import (
	"container/list"
	"math"
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
	Expiry  time.Duration
	Placing Placing
	Seed    uint64
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
	case Ended:
		p.ended(now, e)
	case Withdraw:
		p.withdraw(e.ID)
	case Announced:
		p.announced(now, e.Target)
	case Hosts:
		p.setHosts(now, e.Hosts)
	case Headroom:
		p.others[e.Host] = neighbour{near: e.Near, free: e.Free, demand: e.Demand}
		p.heardDemand()
	case Gone:
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

// place starts, hands on, queues or refuses a task.
func (p *Planner) place(now time.Time, k *task) {
	pool := p.pool(k.Pool)
	if reason, retry := p.refusal(now, pool, k, 1); reason != NoReason {
		if reason != NeverFits && (p.handOn(k, 0) || p.handToOwner(pool, k)) {
			return
		}
		p.finish(k, Refused, reason, retry)
		return
	}
	if pool.queue.len() == 0 {
		if t := pool.pickBy(now, p.cfg.Placing, p.rng, k); t != nil {
			p.start(now, k, t)
			return
		}
	}
	if p.handOn(k, handoffReserve) {
		return
	}
	pool.queue.push(k)
}

// refusal says why count tasks like k cannot be taken on here.
func (p *Planner) refusal(now time.Time, pool *pool, k *task, count int) (Reason, time.Duration) {
	slots, fits, known := p.slots(now, pool, k)
	switch {
	case !known:
		return NoTarget, emptyRetry
	case !fits:
		return NeverFits, emptyRetry
	case slots == 0:
		return NoTarget, emptyRetry
	}
	waiting := pool.queue.len()
	wait := pool.wait(pool.queue.ahead(k.Team, k.Weight)+count-slots, slots)
	if !k.Admitted && waiting+count > max(k.Queue, slots) && !p.makeRoom(now, pool, k) {
		return Overload, wait
	}
	if now.Add(wait).After(k.Deadline) {
		return TooLate, wait
	}
	return NoReason, 0
}

// makeRoom refuses the newest waiting task of a team that waits with more than its share, in favour of k's team.
func (p *Planner) makeRoom(now time.Time, pool *pool, k *task) bool {
	other := pool.queue.over(k.Team, k.Weight)
	if other == nil {
		return false
	}
	pool.queue.remove(other)
	p.finish(other, Refused, Overload, pool.wait(pool.queue.len(), max(1, len(pool.seats))))
	return true
}

// slots returns how many tasks like k the pool's owned targets run at once, whether any target of the pool
// could ever run one, and whether any is known.
func (p *Planner) slots(now time.Time, pool *pool, k *task) (n int, fits, known bool) {
	if pool.workers == 0 && k.Need.Accelerators == 0 {
		return pool.slots, len(pool.seats) > 0, len(pool.seats) > 0
	}
	for _, s := range pool.seats {
		t := s.target
		known = true
		if !t.everFits(k.Need) {
			continue
		}
		fits = true
		if t.serving(now) {
			n += max(1, t.capacity(k.Need))
		}
	}
	return n, fits, known
}

func (p *Planner) start(now time.Time, k *task, t *target) {
	t.take(now, k.Need)
	k.target = t
	k.started++
	p.out = append(p.out, Start{ID: k.ID, Target: t.Name, Addr: t.Addr})
}

// handOn gives a task to the host with the most room above the reserve.
func (p *Planner) handOn(k *task, reserve int) bool {
	if k.Local {
		return false
	}
	best := ""
	most := reserve
	near := false
	for name, o := range p.others {
		if !o.near && !k.Spill {
			continue
		}
		free := o.free[k.Pool]
		better := free > most || (free == most && name < best)
		if (o.near && !near && free > reserve) || (o.near == near && better) {
			best, most, near = name, free, o.near
		}
	}
	if best == "" {
		return false
	}
	p.others[best].free[k.Pool]--
	p.handTo(k, best)
	return true
}

// handToOwner gives a task to a host that owns a target of the pool when this one owns none.
func (p *Planner) handToOwner(pool *pool, k *task) bool {
	if k.Local {
		return false
	}
	owner := p.ownerElsewhere(pool, k)
	if owner == "" {
		return false
	}
	p.handTo(k, owner)
	return true
}

// ownerElsewhere returns another host that owns a target fit for k, if this host owns none.
func (p *Planner) ownerElsewhere(pool *pool, k *task) string {
	owner := ""
	for _, s := range pool.seats {
		t := s.target
		if t.Leaving || !t.everFits(k.Need) {
			continue
		}
		if t.owned {
			return ""
		}
		owner = Owner(p.hosts, t.Name)
	}
	return owner
}

func (p *Planner) handTo(k *task, host string) {
	k.host = host
	k.started++
	p.out = append(p.out, Handoff{ID: k.ID, Host: host})
}

func (p *Planner) admit(now time.Time, a Admission) {
	k := &task{Task: a.Task}
	pool := p.pool(a.Task.Pool)
	if q := p.quota(now, k); q != nil {
		if retry, ok := q.admit(now, k.Limit, a.Count); !ok {
			p.out = append(p.out, Admitted{Reason: OverQuota, Retry: retry})
			return
		}
	}
	reason, retry := p.refusal(now, pool, k, a.Count)
	if reason == NoTarget || reason == Overload {
		if p.elsewhere(pool, k) {
			reason, retry = NoReason, 0
		}
	}
	p.out = append(p.out, Admitted{OK: reason == NoReason, Reason: reason, Retry: retry})
}

// elsewhere reports whether another host has room for tasks like k.
func (p *Planner) elsewhere(pool *pool, k *task) bool {
	if p.ownerElsewhere(pool, k) != "" {
		return true
	}
	for _, o := range p.others {
		if (o.near || k.Spill) && o.free[k.Pool] > 0 {
			return true
		}
	}
	return false
}

func (p *Planner) ended(now time.Time, e Ended) {
	k, ok := p.tasks[e.ID]
	if !ok {
		return
	}
	pool := p.pool(k.Pool)
	if k.target != nil {
		k.target.release(k.Need)
		k.target.freed()
		p.judge(now, pool, k, e)
	}
	if e.Verdict == Succeeded && k.target != nil {
		k.ideal = pool.ideal(k.target, e.Took)
	}
	p.settle(now, pool, k, e.Verdict)
	p.pump(now, pool)
}

// settle finishes a task or places it again.
func (p *Planner) settle(now time.Time, pool *pool, k *task, v Verdict) {
	switch v {
	case Succeeded:
		pool.tokens = math.Min(retryBurst, pool.tokens+retryGain)
		p.finish(k, v, NoReason, 0)
	case Failed, Lost:
		if k.started >= k.Attempts || pool.tokens < 1 || !now.Before(k.Deadline) {
			p.finish(k, v, NoReason, 0)
			return
		}
		pool.tokens--
		p.again(now, pool, k)
	case Busy, Unsent:
		k.refused++
		k.started = max(0, k.started-1)
		if k.host != "" {
			k.Local = true
		}
		if k.refused > refusedTries {
			p.finish(k, Refused, Overload, pool.wait(1, 1))
			return
		}
		if !now.Before(k.Deadline) {
			p.finish(k, Refused, TooLate, pool.wait(1, 1))
			return
		}
		p.again(now, pool, k)
	default:
		p.finish(k, v, NoReason, 0)
	}
}

// again places a task once more, on another target if there is one.
func (p *Planner) again(now time.Time, pool *pool, k *task) {
	if k.target != nil && len(pool.seats) > len(k.excluded)+1 {
		if k.excluded == nil {
			k.excluded = make(map[string]bool)
		}
		k.excluded[k.target.Name] = true
	}
	k.target = nil
	k.host = ""
	p.place(now, k)
}

func (p *Planner) withdraw(id uint64) {
	k, ok := p.tasks[id]
	if !ok || k.element == nil {
		return
	}
	p.pool(k.Pool).queue.remove(k)
	p.finish(k, Withdrawn, NoReason, 0)
}

func (p *Planner) finish(k *task, v Verdict, r Reason, retry time.Duration) {
	delete(p.tasks, k.ID)
	if k.quota != nil {
		k.quota.inflight--
	}
	p.out = append(p.out, Finish{ID: k.ID, Verdict: v, Reason: r, Retry: retry, Ideal: k.ideal})
}

// pump starts waiting tasks while targets have room.
func (p *Planner) pump(now time.Time, pool *pool) {
	for pool.queue.len() > 0 && p.pumpOne(now, pool) {
	}
}

func (p *Planner) pumpOne(now time.Time, pool *pool) bool {
	for _, k := range pool.queue.candidates(lookAhead) {
		t := pool.pickBy(now, p.cfg.Placing, p.rng, k)
		if t == nil {
			continue
		}
		pool.queue.serve(k)
		p.start(now, k, t)
		return true
	}
	return false
}

func (p *Planner) tick(now time.Time) {
	for _, t := range p.targets {
		if now.Sub(t.heard) > p.cfg.Expiry {
			p.forget(now, t)
		}
	}
	p.tickQuotas(now)
	for _, pool := range p.pools {
		pool.observe(now)
		pool.arrange(now)
		p.dropLate(now, pool)
		p.pump(now, pool)
	}
}

// dropLate refuses waiting tasks whose deadline passed.
func (p *Planner) dropLate(now time.Time, pool *pool) {
	for _, k := range pool.queue.late(now) {
		pool.queue.remove(k)
		p.finish(k, Refused, TooLate, pool.wait(pool.queue.len(), max(1, len(pool.seats))))
	}
}

func (p *Planner) pool(name string) *pool {
	q, ok := p.pools[name]
	if !ok {
		q = newPool(name)
		p.pools[name] = q
	}
	return q
}
