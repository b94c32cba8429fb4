package wharf

import (
	"bytes"
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

// toldRooms decodes what planners tell of their room, once for each change.
type toldRooms map[string]toldRoom

type toldRoom struct {
	raw    []byte
	digest convoy.Digest
	err    error
}

// list returns the room of the planners that are not leaving, this process's as of now. If one of them tells none, as its
// settings are different, it returns only that one's name.
func (t toldRooms) list(now time.Time, all []flotilla.Member, f helm.Fleet) (rooms []convoy.PlannerRoom, silent string) {
	rooms = make([]convoy.PlannerRoom, 0, len(all))
	for _, m := range all {
		if m.Leaving {
			continue
		}
		told, known := t[m.Name]
		if !known || !bytes.Equal(told.raw, m.Digest) {
			told = toldRoom{raw: m.Digest}
			told.digest, told.err = convoy.DecodeDigest(m.Digest)
			t[m.Name] = told
		}
		if told.err != nil {
			return nil, m.Name
		}
		in := convoy.PlannerRoom{Name: m.Name, Digest: told.digest, Slots: m.Slots, SentAt: now.Add(-plannerTick)}
		if p, known := f.Peer(m.Name); known {
			in.SentAt = p.LastSent
		}
		rooms = append(rooms, in)
	}
	return rooms, ""
}

// offeredRooms holds the room of all planners, less what this entry host has offered them since they told of it.
type offeredRooms map[string]*convoy.RemoteRoom

func (o offeredRooms) update(rooms []convoy.PlannerRoom) {
	for _, in := range rooms {
		if o[in.Name] == nil {
			o[in.Name] = &convoy.RemoteRoom{}
		}
		o[in.Name].Update(in)
	}
	if len(o) > 2*len(rooms)+maxComparedPlanners {
		o.forgetOthers(rooms)
	}
}

// forgetOthers drops the planners that are gone.
func (o offeredRooms) forgetOthers(rooms []convoy.PlannerRoom) {
	present := make(map[string]bool, len(rooms))
	for _, in := range rooms {
		present[in.Name] = true
	}
	for name := range o {
		if !present[name] {
			delete(o, name)
		}
	}
}

// choosePlannerByRoom returns the planner to offer a job to. It answers for loads that come unevenly, and whose jobs differ in
// size: the whole job has to fit by its sizes. In this order it prefers
//
//  1. a planner of the entry host's domain where the whole job could start at once,
//  2. one of two others, taken by the hash of the job's id, if it could start there,
//  3. a planner of the own domain, then one of the two, where it waits but ends by its objective,
//  4. any planner where it could start at once, then any where it ends by its objective,
//  5. the one where it waits least; while none has told of its workers, any.
//
// Looking at two others first keeps all entry hosts from sending their jobs to the one that idled at its last heartbeat.
func choosePlannerByRoom(now time.Time, all []flotilla.Member, rooms offeredRooms, p *pendingJob, domain string) (flotilla.Member, bool) {
	var local, remote, withoutWorkers []flotilla.Member
	for _, m := range all {
		switch {
		case m.Leaving || p.declined[m.Name]:
		case m.Slots == 0 || rooms[m.Name] == nil:
			withoutWorkers = append(withoutWorkers, m)
		case plansDomain(m, domain):
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	c := roomChoice{now: now, rooms: rooms, job: p.job}
	two := c.pick(remote, 2)
	for _, some := range [][]flotilla.Member{
		c.startable(local), c.startable(two), c.inTime(local), c.inTime(two), c.startable(remote), c.inTime(remote),
	} {
		if len(some) > 0 {
			return c.better(c.pick(some, 2)), true
		}
	}
	if rest := append(local, remote...); len(rest) > 0 {
		return c.leastWait(rest), true
	}
	if len(withoutWorkers) > 0 {
		return pickByHash(withoutWorkers, p.job.ID), true
	}
	return flotilla.Member{}, false
}

// roomChoice compares planners for one job.
type roomChoice struct {
	now   time.Time
	rooms offeredRooms
	job   convoy.Job
}

// pick returns up to n of several planners, by the hash of the job's id.
func (c roomChoice) pick(members []flotilla.Member, n int) []flotilla.Member {
	if len(members) <= n {
		return members
	}
	first := xxh3.HashString(c.job.ID) % uint64(len(members))
	step := 1 + (xxh3.HashString(c.job.ID)>>32)%uint64(len(members)-1)
	return []flotilla.Member{members[first], members[(first+step)%uint64(len(members))]}
}

func (c roomChoice) startable(members []flotilla.Member) []flotilla.Member {
	return c.filter(members, func(r *convoy.RemoteRoom) bool { return r.Spare(c.job) >= 0 })
}

func (c roomChoice) inTime(members []flotilla.Member) []flotilla.Member {
	return c.filter(members, func(r *convoy.RemoteRoom) bool { return c.job.EndsInTime(c.now, r.Wait(c.job)) })
}

// filter returns the planners whose room suits; what a planner told too long ago says nothing of its room now.
func (c roomChoice) filter(members []flotilla.Member, suits func(r *convoy.RemoteRoom) bool) []flotilla.Member {
	var out []flotilla.Member
	for _, m := range members {
		if r := c.rooms[m.Name]; c.now.Sub(r.SentAt) <= overdueAfter && suits(r) {
			out = append(out, m)
		}
	}
	return out
}

// better returns the planner with the most room for the job, then the least wait.
func (c roomChoice) better(members []flotilla.Member) flotilla.Member {
	best := members[0]
	for _, m := range members[1:] {
		if c.rooms[m.Name].Spare(c.job) > c.rooms[best.Name].Spare(c.job) {
			best = m
		}
	}
	return best
}

func (c roomChoice) leastWait(members []flotilla.Member) flotilla.Member {
	best := members[0]
	for _, m := range members[1:] {
		if c.rooms[m.Name].Wait(c.job) < c.rooms[best.Name].Wait(c.job) {
			best = m
		}
	}
	return best
}

// otherPlannerRooms returns what the other planners in reach have told of their room; none while one of them tells none.
func otherPlannerRooms(now time.Time, f helm.Fleet, told toldRooms) []convoy.PlannerRoom {
	var others []flotilla.Member
	self := f.Self().Name
	for _, m := range candidatePlanners(now, f) {
		if m.Name != self {
			others = append(others, m)
		}
	}
	rooms, _ := told.list(now, others, f)
	return rooms
}

// publishDigest tells the others of this planner's room, if that has changed.
func publishDigest(f helm.Fleet, d convoy.Digest) {
	if raw := convoy.EncodeDigest(d); !bytes.Equal(raw, f.Self().Digest) {
		f.UpdateSelf(func(m *flotilla.Member) { m.Digest = raw })
	}
}
