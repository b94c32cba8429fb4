package wharf

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesamecleat/src/convoy"
)

type wireResources struct {
	_            struct{} `cbor:",toarray"`
	Milli        int64
	Memory       int64
	Accelerators int64
}

type wireTarget struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Pool        string
	Domain      string
	Address     string
	Incarnation int64
	Sequence    int64
	Capacity    wireResources
	Labels      []string
	Leaving     bool
	Expired     bool
	Departed    bool
}

type wireTargets struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Targets  []wireTarget
}

// wireEntries reads a wireTargets whose entries are decoded one by one, so that one that cannot be read hides no other.
type wireEntries struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Targets  []cbor.RawMessage
}

// listMode decodes arrays of any length: the usual limit on their elements also applies inside the raw entries, where
// it would reject the whole list.
var listMode = sync.OnceValues(cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode)

type wireStep struct {
	_         struct{} `cbor:",toarray"`
	Count     int
	Resources wireResources
	Estimate  int64
	After     []int
	Label     string
	Rack      string
	Spread    int
}

// wireJob carries times as durations, because the clocks of two hosts may differ.
type wireJob struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Route         string
	Pool          string
	Host          string
	Spec          string
	Steps         []wireStep
	Priority      int
	Attempts      int
	Stretch       float64
	TargetLatency int64
	Age           int64
	Remaining     int64
	Version       uint64
	Attempt       uint64
	Pinned        bool
	PlannerSentAt int64
}

type wireAnswer struct {
	_          struct{} `cbor:",toarray"`
	Outcome    uint8
	Reason     string
	RetryAfter int64
	Cause      uint8
}

type wireCancellation struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Host   string
	Reason string
	// Attempt is the number of the last offer that is cancelled.
	Attempt uint64
}

// offer is a job on its way to a planner, with the version of the configuration under which it was accepted. Attempt
// numbers rise with every offer of an entry host, so that a planner recognizes an offer that arrives after it was
// cancelled.
type offer struct {
	job     convoy.Job
	version uint64
	attempt uint64
	// plannerSentAt is the send time in the planner's last heartbeat that the entry host had received when it made the
	// offer, in milliseconds since 1970 on the planner's clock.
	plannerSentAt int64
}

// cancellation says that an entry host no longer waits for a job that it offered.
type cancellation struct {
	job     convoy.JobCancelled
	attempt uint64
}

// answer is the outcome of a job as its planner reports it.
type answer struct {
	outcome    convoy.Outcome
	cause      convoy.Cause
	reason     string
	retryAfter time.Duration
}

func toWireResources(n convoy.Resources) wireResources {
	return wireResources{Milli: n.Milli, Memory: n.Memory, Accelerators: n.Accelerators}
}

func fromWireResources(w wireResources) convoy.Resources {
	return convoy.Resources{Milli: w.Milli, Memory: w.Memory, Accelerators: w.Accelerators}
}

func encodeTargets(revision uint64, entries []targetEntry) ([]byte, error) {
	w := wireTargets{Revision: revision}
	for _, e := range entries {
		t := e.target
		w.Targets = append(w.Targets, wireTarget{
			ID: t.ID, Pool: t.Pool, Domain: t.Domain, Address: t.Address.String(), Incarnation: t.Incarnation, Sequence: t.Sequence,
			Capacity: toWireResources(t.Capacity), Labels: t.Labels, Leaving: t.Leaving, Expired: t.Expired, Departed: e.departed,
		})
	}
	b, err := cbor.Marshal(w)
	return b, Error.Wrap(err)
}

// decodeTargets decodes what encodeTargets returned, without the entries that cannot be read or name no worker.
func decodeTargets(now time.Time, b []byte) (uint64, []targetEntry, error) {
	mode, err := listMode()
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	var w wireEntries
	if err := mode.Unmarshal(b, &w); err != nil {
		return 0, nil, Error.Wrap(err)
	}
	var out []targetEntry
	for _, raw := range w.Targets {
		if e, err := decodeTarget(raw); err == nil && e.target.Validate(now) == nil {
			out = append(out, e)
		}
	}
	return w.Revision, out, nil
}

func decodeTarget(raw []byte) (targetEntry, error) {
	var t wireTarget
	if err := cbor.Unmarshal(raw, &t); err != nil {
		return targetEntry{}, Error.Wrap(err)
	}
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		return targetEntry{}, Error.Wrap(err)
	}
	return targetEntry{departed: t.Departed, target: convoy.Target{
		ID: t.ID, Pool: t.Pool, Domain: t.Domain, Address: address, Incarnation: t.Incarnation, Sequence: t.Sequence,
		Capacity: fromWireResources(t.Capacity), Labels: t.Labels, Leaving: t.Leaving, Expired: t.Expired,
	}}, nil
}

func encodeOffer(now time.Time, o offer) ([]byte, error) {
	j := o.job
	w := wireJob{
		ID: j.ID, Route: j.Route, Pool: j.Pool, Host: j.Host, Spec: j.Spec, Priority: j.Priority, Attempts: j.Attempts,
		Stretch: j.Stretch, TargetLatency: int64(j.TargetLatency), Age: int64(now.Sub(j.Arrived)), Remaining: int64(j.Deadline.Sub(now)),
		Version: o.version, Attempt: o.attempt, Pinned: j.Pinned, PlannerSentAt: o.plannerSentAt,
	}
	for _, s := range j.Steps {
		w.Steps = append(w.Steps, wireStep{
			Count: s.Count, Resources: toWireResources(s.Need), Estimate: int64(s.Estimate), After: s.After, Label: s.Label,
			Rack: s.Rack, Spread: s.Spread,
		})
	}
	b, err := cbor.Marshal(w)
	return b, Error.Wrap(err)
}

func decodeOffer(now time.Time, b []byte) (offer, error) {
	var w wireJob
	if err := cbor.Unmarshal(b, &w); err != nil {
		return offer{}, Error.Wrap(err)
	}
	j := convoy.Job{
		ID: w.ID, Route: w.Route, Pool: w.Pool, Host: w.Host, Spec: w.Spec, Priority: w.Priority, Attempts: w.Attempts,
		Stretch: w.Stretch, TargetLatency: time.Duration(w.TargetLatency), Pinned: w.Pinned,
		Arrived: now.Add(-time.Duration(w.Age)), Deadline: now.Add(time.Duration(w.Remaining)),
	}
	for _, s := range w.Steps {
		j.Steps = append(j.Steps, convoy.Step{
			Count: s.Count, Need: fromWireResources(s.Resources), Estimate: time.Duration(s.Estimate), After: s.After,
			Label: s.Label, Rack: s.Rack, Spread: s.Spread,
		})
	}
	return offer{job: j, version: w.Version, attempt: w.Attempt, plannerSentAt: w.PlannerSentAt}, nil
}

func encodeAnswer(a answer) ([]byte, error) {
	b, err := cbor.Marshal(wireAnswer{Outcome: uint8(a.outcome), Reason: a.reason, RetryAfter: int64(a.retryAfter), Cause: uint8(a.cause)})
	return b, Error.Wrap(err)
}

func decodeAnswer(b []byte) (answer, error) {
	var w wireAnswer
	if err := cbor.Unmarshal(b, &w); err != nil {
		return answer{}, Error.Wrap(err)
	}
	if w.Outcome > uint8(convoy.Lost) && w.Outcome != uint8(convoy.Unresolved) {
		return answer{}, Error.New("outcome %d is unknown", w.Outcome)
	}
	cause := convoy.Cause(w.Cause)
	if !cause.Known() {
		return answer{}, Error.New("cause %d is unknown", w.Cause)
	}
	return answer{outcome: convoy.Outcome(w.Outcome), cause: cause, reason: w.Reason, retryAfter: time.Duration(w.RetryAfter)}, nil
}

func encodeCancellation(d cancellation) ([]byte, error) {
	b, err := cbor.Marshal(wireCancellation{
		ID: d.job.ID, Host: d.job.Host, Reason: d.job.Reason, Attempt: d.attempt,
	})
	return b, Error.Wrap(err)
}

func decodeCancellation(b []byte) (cancellation, error) {
	var w wireCancellation
	if err := cbor.Unmarshal(b, &w); err != nil {
		return cancellation{}, Error.Wrap(err)
	}
	return cancellation{job: convoy.JobCancelled{ID: w.ID, Host: w.Host, Reason: w.Reason}, attempt: w.Attempt}, nil
}
