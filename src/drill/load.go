package drill

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"sesamecleat/src/hatchery"
)

// Plan describes a load.
type Plan struct {
	Entries []Entry
	Route   string
	Rate    float64 // tasks a second
	Length  time.Duration
	Seed    uint64
	// MinSize and MaxSize bound the work of a task, as on a target of speed 1.
	MinSize, MaxSize time.Duration
	// Fastest is the speed of the fastest target.
	Fastest  float64
	Deadline time.Duration
	// JobShare, KeyShare and AtMostOnceShare are the shares of submissions that are jobs, bear a key, or run at most once.
	JobShare, KeyShare, AtMostOnceShare float64
	JobTasks                            int
	// DuplicateShare is the share of submissions with a key that are submitted twice at once, through two hosts.
	DuplicateShare float64
	// CancelShare is the share of submissions with a key that are cancelled, at any moment of their run.
	CancelShare float64
	// Burst multiplies the rate between BurstFrom and BurstTo.
	Burst              float64
	BurstFrom, BurstTo time.Duration
}

// submission is one submission with everything that was answered about it.
type submission struct {
	key  string
	job  bool
	once bool
	// again says that the submission is sent twice at once, through two hosts.
	again bool
	// cancel is when the submission is cancelled; zero means never.
	cancel  time.Duration
	domain  string
	tasks   []hatchery.Work
	replies []Reply
}

// Load submits work and remembers what was answered.
type Load struct {
	plan   Plan
	client *Client
	book   *hatchery.StartCounter
	meter  *meter
	// Usable says whether the balancer sends callers to an entry host; nil means always.
	Usable func(e Entry) bool
	// Progress is told once a second how far the load is; nil means nobody.
	Progress func(passed time.Duration, sent int)

	// rng draws the submissions; only Run uses it.
	rng *rand.Rand

	mu   sync.Mutex
	subs []*submission
	// choice draws the hosts.
	choice *rand.Rand
}

// NewLoad returns a load that has not begun.
func NewLoad(p Plan, client *Client, book *hatchery.StartCounter) *Load {
	return &Load{
		plan: p, client: client, book: book, meter: newMeter(),
		rng: rand.New(rand.NewPCG(p.Seed, 1)), choice: rand.New(rand.NewPCG(p.Seed, 2)),
	}
}

const (
	progressInterval = time.Second
	resubmitPause    = 200 * time.Millisecond
	resubmitLimit    = 5
)

// Run submits until the plan's length is over, and returns once everything is answered.
func (l *Load) Run(ctx context.Context) {
	var wg sync.WaitGroup
	began := time.Now()
	next := began
	report := began.Add(progressInterval)
	for n := 0; time.Since(began) < l.plan.Length && ctx.Err() == nil; n++ {
		s := l.compose(n)
		next = next.Add(l.gap(next.Sub(began), len(s.tasks)))
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		}
		l.mu.Lock()
		l.subs = append(l.subs, s)
		l.mu.Unlock()
		wg.Go(func() { l.submit(s) })
		if l.Progress != nil && time.Now().After(report) {
			report = report.Add(progressInterval)
			l.Progress(time.Since(began), n+1)
		}
	}
	wg.Wait()
}

// gap returns the time to the next submission of n tasks: arrivals are independent of each other and of answers.
func (l *Load) gap(passed time.Duration, n int) time.Duration {
	rate := l.plan.Rate
	if l.plan.Burst > 0 && passed >= l.plan.BurstFrom && passed < l.plan.BurstTo {
		rate *= l.plan.Burst
	}
	return time.Duration(l.rng.ExpFloat64() * float64(n) / rate * float64(time.Second))
}

func (l *Load) compose(n int) *submission {
	p := l.plan
	s := &submission{domain: p.Entries[l.rng.IntN(len(p.Entries))].Domain}
	count := 1
	if l.rng.Float64() < p.JobShare {
		s.job = true
		count = 1 + l.rng.IntN(2*p.JobTasks-1)
	}
	if l.rng.Float64() < p.KeyShare {
		s.key = s.domain + "/" + strconv.FormatUint(p.Seed, 36) + "-" + strconv.Itoa(n)
	}
	s.again = s.key != "" && l.rng.Float64() < p.DuplicateShare
	if s.key != "" && l.rng.Float64() < p.CancelShare {
		s.cancel = 1 + time.Duration(l.rng.Float64()*float64(p.MaxSize))
	}
	s.once = !s.job && s.key == "" && l.rng.Float64() < p.AtMostOnceShare
	for i := range count {
		s.tasks = append(s.tasks, hatchery.Work{
			ID:   strconv.FormatUint(p.Seed, 36) + "." + strconv.Itoa(n) + "." + strconv.Itoa(i),
			Size: l.size(),
		})
	}
	return s
}

// size draws the work of a task, so that its logarithm is spread evenly.
func (l *Load) size() time.Duration {
	low, high := math.Log(float64(l.plan.MinSize)), math.Log(float64(l.plan.MaxSize))
	return time.Duration(math.Exp(low + l.rng.Float64()*(high-low)))
}

// submit sends a submission, again where its caller would.
func (l *Load) submit(s *submission) {
	var wg sync.WaitGroup
	if s.again {
		wg.Go(func() { l.sendUntilAnswered(s) })
	}
	if s.cancel > 0 {
		wg.Go(func() { l.cancel(s) })
	}
	l.sendUntilAnswered(s)
	wg.Wait()
}

// cancel asks any host of the domain to cancel a submission.
func (l *Load) cancel(s *submission) {
	time.Sleep(s.cancel)
	if e, ok := l.pick(s.domain); ok {
		l.client.Do(e.Addr, Call{Method: "DELETE", Path: "/v1/submissions/" + url.PathEscape(s.key), Deadline: l.plan.Deadline})
	}
}

// sendUntilAnswered goes to another host when one cannot be reached, and submits a key again when its fate is open.
func (l *Load) sendUntilAnswered(s *submission) {
	began := time.Now()
	for range resubmitLimit {
		e, ok := l.pick(s.domain)
		if !ok {
			l.note(s, Reply{})
			return
		}
		r := l.client.Do(e.Addr, l.call(s))
		r.Entry, r.At = e.Name, time.Now()
		l.record(s, r, time.Since(began))
		if !sendAgain(s.key != "", r) {
			return
		}
		time.Sleep(resubmitPause)
	}
}

// sendAgain says whether a careful caller sends a submission again: if it truly did not run and another host may take
// it, or if its key keeps it from running twice.
func sendAgain(keyed bool, r Reply) bool {
	switch {
	case !r.Reached:
		return true
	case !r.Answered:
		return keyed
	case r.Outcome == "notrun":
		return r.Code == "stopping" || r.Code == "no-tables"
	default:
		return keyed && (r.Code == "running" || r.Code == "stopping")
	}
}

func (l *Load) call(s *submission) Call {
	c := Call{Method: "POST", Key: s.key, AtMostOnce: s.once, Deadline: l.plan.Deadline}
	if s.job {
		c.Path = "/v1/jobs/" + l.plan.Route
		c.Body = encodeJob(s.tasks)
		return c
	}
	c.Path = "/v1/requests/" + l.plan.Route
	c.Body = s.tasks[0].Encode()
	return c
}

// pick chooses an entry host of a failure domain that the balancer holds to be there.
func (l *Load) pick(domain string) (Entry, bool) {
	var near []Entry
	for _, e := range l.plan.Entries {
		if e.Domain == domain && (l.Usable == nil || l.Usable(e)) {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		return Entry{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return near[l.choice.IntN(len(near))], true
}

func (l *Load) note(s *submission, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.replies = append(s.replies, r)
}

func (l *Load) record(s *submission, r Reply, took time.Duration) {
	l.note(s, r)
	switch r.Outcome {
	case "done":
		l.meter.done(took, l.ideal(s), s.key != "")
	case "notrun":
		l.meter.refused(took)
	}
}

// ideal returns what a submission takes alone on the fastest target.
func (l *Load) ideal(s *submission) time.Duration {
	var longest time.Duration
	for _, w := range s.tasks {
		longest = max(longest, w.Size)
	}
	return time.Duration(float64(longest) / l.plan.Fastest)
}

// Addrs returns the addresses of entries.
func Addrs(entries []Entry) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range entries {
		out = append(out, e.Addr)
	}
	return out
}
