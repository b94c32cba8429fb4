package deck

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
)

// raftEnvelope carries a Raft message, and the id of the receiver's empty disk if that disk is invited to join the log.
type raftEnvelope struct {
	invitedDisk string
	message     []byte
}

type wireRaftEnvelope struct {
	_           struct{} `cbor:",toarray"`
	InvitedDisk string
	Message     []byte
}

func encodeRaftEnvelope(e raftEnvelope) ([]byte, error) {
	return cbor.Marshal(wireRaftEnvelope{InvitedDisk: e.invitedDisk, Message: e.message})
}

func decodeRaftEnvelope(b []byte) (raftEnvelope, error) {
	var w wireRaftEnvelope
	if err := cbor.Unmarshal(b, &w); err != nil {
		return raftEnvelope{}, Error.Wrap(err)
	}
	return raftEnvelope{invitedDisk: w.InvitedDisk, message: w.Message}, nil
}

// followReply carries entries or a snapshot; age is how long ago the sender's tables were last known to be current.
type followReply struct {
	entries  []byte
	snapshot []byte
	age      time.Duration
}

type wireFollow struct {
	_        struct{} `cbor:",toarray"`
	Entries  []byte
	Snapshot []byte
	Age      int64 // nanoseconds
}

func encodeFollowReply(r followReply) ([]byte, error) {
	return cbor.Marshal(wireFollow{Entries: r.entries, Snapshot: r.snapshot, Age: int64(r.age)})
}

func decodeFollowReply(b []byte) (followReply, error) {
	var w wireFollow
	if err := cbor.Unmarshal(b, &w); err != nil {
		return followReply{}, Error.Wrap(err)
	}
	return followReply{entries: w.Entries, snapshot: w.Snapshot, age: time.Duration(w.Age)}, nil
}

type wireAnswer struct {
	_       struct{} `cbor:",toarray"`
	Outcome string
	Code    string
	Reason  string
	Retry   int64 // nanoseconds
	Status  int
	Type    string
	Body    []byte
	Target  string
	Ideal   int64 // nanoseconds
}

func encodeAnswer(a helm.Answer) ([]byte, error) {
	return cbor.Marshal(wireAnswer{
		Outcome: string(a.Outcome), Code: string(a.Code), Reason: a.Reason, Retry: int64(a.RetryAfter),
		Status: a.Status, Type: a.ContentType, Body: a.Body, Target: a.Target, Ideal: int64(a.IdealTime),
	})
}

func decodeAnswer(b []byte) (helm.Answer, error) {
	var w wireAnswer
	if err := cbor.Unmarshal(b, &w); err != nil {
		return helm.Answer{}, Error.Wrap(err)
	}
	return helm.Answer{
		Outcome: helm.Outcome(w.Outcome), Code: helm.Code(w.Code), Reason: w.Reason, RetryAfter: time.Duration(w.Retry),
		Status: w.Status, ContentType: w.Type, Body: w.Body, Target: w.Target, IdealTime: time.Duration(w.Ideal),
	}, nil
}

type wireTask struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Type string
	Body []byte
}

type wireSubmission struct {
	_             struct{} `cbor:",toarray"`
	Key           string
	Route         string
	Job           bool
	NonIdempotent bool
	Team          string
	Left          int64 // nanoseconds until the deadline
	Tasks         []wireTask
}

// encodeSubmission sends the deadline as the time left, because the clocks of hosts differ.
func encodeSubmission(s helm.Submission, now time.Time) ([]byte, error) {
	w := wireSubmission{
		Key: s.Key, Route: s.Route, Job: s.Job, NonIdempotent: s.NonIdempotent, Team: s.Team, Left: int64(s.Deadline.Sub(now)),
	}
	for _, t := range s.Tasks {
		w.Tasks = append(w.Tasks, wireTask{ID: t.ID, Type: t.ContentType, Body: t.Body})
	}
	return cbor.Marshal(w)
}

func decodeSubmission(b []byte, now time.Time) (helm.Submission, error) {
	var w wireSubmission
	if err := cbor.Unmarshal(b, &w); err != nil {
		return helm.Submission{}, Error.Wrap(err)
	}
	s := helm.Submission{
		Key: w.Key, Route: w.Route, Job: w.Job, NonIdempotent: w.NonIdempotent, Team: w.Team,
		Deadline: now.Add(time.Duration(w.Left)), Forwarded: true,
	}
	for _, t := range w.Tasks {
		s.Tasks = append(s.Tasks, helm.Task{ID: t.ID, ContentType: t.Type, Body: t.Body})
	}
	return s, nil
}

type wireRun struct {
	_            struct{} `cbor:",toarray"`
	Route        string
	Pool         string
	Cores        int
	Memory       int64
	Accelerators int
	Left         int64 // nanoseconds until the deadline
	Queue        int
	Type         string
	Body         []byte
}

func encodeRun(t berth.Task, contentType string, body []byte, now time.Time) ([]byte, error) {
	return cbor.Marshal(wireRun{
		Route: t.Route, Pool: t.Pool, Cores: t.Need.Cores, Memory: t.Need.Memory, Accelerators: t.Need.Accelerators,
		Left: int64(t.Deadline.Sub(now)), Queue: t.QueueLimit, Type: contentType, Body: body,
	})
}

func decodeRun(b []byte, now time.Time) (berth.Task, helm.Task, error) {
	var w wireRun
	if err := cbor.Unmarshal(b, &w); err != nil {
		return berth.Task{}, helm.Task{}, Error.Wrap(err)
	}
	t := berth.Task{
		Route: w.Route, Pool: w.Pool, Need: berth.Resources{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators},
		Deadline: now.Add(time.Duration(w.Left)), Attempts: 1, QueueLimit: w.Queue, NoHandoff: true,
	}
	return t, helm.Task{ContentType: w.Type, Body: w.Body}, nil
}

type wireTarget struct {
	_            struct{} `cbor:",toarray"`
	Name         string
	Addr         []byte
	Domain       string
	Pools        []string
	Slots        int
	Cores        int
	Memory       int64
	Accelerators int
	Busy         int
	Reports      bool
	Leaving      bool
}

func encodeTargets(targets []berth.Target) ([]byte, error) {
	out := make([]wireTarget, 0, len(targets))
	for _, t := range targets {
		addr, err := t.Addr.MarshalBinary()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		out = append(out, wireTarget{
			Name: t.Name, Addr: addr, Domain: t.Domain, Pools: t.Pools, Slots: t.Slots, Cores: t.Cores,
			Memory: t.Memory, Accelerators: t.Accelerators, Busy: t.Busy, Reports: t.ReportsBusy, Leaving: t.Leaving,
		})
	}
	return cbor.Marshal(out)
}

func decodeTargets(b []byte) ([]berth.Target, error) {
	var in []wireTarget
	if err := cbor.Unmarshal(b, &in); err != nil {
		return nil, Error.Wrap(err)
	}
	out := make([]berth.Target, 0, len(in))
	for _, w := range in {
		t := berth.Target{
			Name: w.Name, Domain: w.Domain, Pools: w.Pools, Slots: w.Slots, Cores: w.Cores, Memory: w.Memory,
			Accelerators: w.Accelerators, Busy: w.Busy, ReportsBusy: w.Reports, Leaving: w.Leaving,
		}
		if err := t.Addr.UnmarshalBinary(w.Addr); err != nil {
			return nil, Error.Wrap(err)
		}
		out = append(out, t)
	}
	return out, nil
}
