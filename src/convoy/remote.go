package convoy

import (
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// PlannerRoom is what a planner has told of its room.
type PlannerRoom struct {
	Name   string
	Digest Digest
	// Slots is how many tasks of typical size its workers run at once.
	Slots int
	// SentAt is when it was told, by the local clock.
	SentAt time.Time
}

// RemoteRoom is the room of a planner, less what was sent there since it was told. Without that, all jobs between two of a
// planner's heartbeats would go to the one that idled at the first.
type RemoteRoom struct {
	PlannerRoom
	taken []takenRoom
}

// takenRoom is what a job takes up that was sent to a planner.
type takenRoom struct {
	at    time.Time
	milli int64
	tasks int
	work  time.Duration
}

// offerFlight is how long an offer takes until the planner counts it: a round trip between domains at a host with little
// processor time.
const offerFlight = 10 * time.Millisecond

// Update replaces what the planner told, and forgets the jobs that it counts itself by now.
func (r *RemoteRoom) Update(in PlannerRoom) {
	r.PlannerRoom = in
	kept := r.taken[:0]
	for _, t := range r.taken {
		if t.at.Add(offerFlight).After(in.SentAt) {
			kept = append(kept, t)
		}
	}
	r.taken = kept
}

// Take records that a job was sent to the planner.
func (r *RemoteRoom) Take(now time.Time, j Job) {
	milli, tasks := j.firstTasks()
	r.taken = append(r.taken, takenRoom{at: now, milli: milli, tasks: tasks, work: j.measure().taskTime})
}

// Spare returns how many tasks as large as the job's largest could start at once beyond those of the job; it may be negative.
func (r *RemoteRoom) Spare(j Job) int {
	milli, tasks := j.firstTasks()
	spare := r.Digest.Startable(milli) - tasks
	for _, t := range r.taken {
		spare -= t.tasks * int(max(1, t.milli/max(1, milli)))
	}
	return spare
}

// Wait returns when the job would get the room that it needs. A planner that tells no wait serves nothing else, and has run a part
// of the job by the time that the rest starts.
func (r *RemoteRoom) Wait(j Job) time.Duration {
	if r.Spare(j) >= 0 {
		return 0
	}
	work := time.Duration(0)
	for _, t := range r.taken {
		work += t.work
	}
	wait, known := r.Digest.Wait(j.Route)
	if !known {
		wait = j.Chain()
	}
	return wait + work/time.Duration(max(1, r.Slots))
}

// EndsInTime reports whether a job that gets its room after a wait ends by its objective, going by the caller's estimate.
func (j Job) EndsInTime(now time.Time, wait time.Duration) bool {
	return !now.Add(wait + j.Chain()).After(j.Arrived.Add(j.aim()))
}

// EndsUseful reports the same for the time after which the answer is worthless.
func (j Job) EndsUseful(now time.Time, wait time.Duration) bool {
	end := now.Add(wait + j.Chain())
	return !end.After(j.Arrived.Add(lateFactor*j.aim())) && !end.After(j.Deadline)
}

// aim returns the time that the caller's objective allows.
func (j Job) aim() time.Duration {
	return time.Duration(max(1, j.Stretch)*float64(j.Chain())) + j.TargetLatency
}

// moveTarget is an idle planner as one that waits sees it. All planners that wait hear of the idle one at the same time: each sends
// its part of the room, and where that is less than a job, only the one whose turn it is does.
type moveTarget struct {
	*RemoteRoom
	parts int
	turn  bool
}

// turnLength is how long a planner that waits has its turn; the usual time between two heartbeats of a busy planner.
const turnLength = 100 * time.Millisecond

// newMoveTarget returns an idle planner as self sees it, which waits beside its rivals; their names draw whose turn it is.
func newMoveTarget(r *RemoteRoom, self string, rivals []string) moveTarget {
	turn := strconv.FormatInt(r.SentAt.UnixMilli()/int64(turnLength/time.Millisecond), 36)
	draw := func(name string) uint64 { return xxh3.HashString(name + "|" + r.Name + "|" + turn) }
	own := draw(self)
	return moveTarget{
		RemoteRoom: r, parts: len(rivals) + 1,
		turn: !slices.ContainsFunc(rivals, func(name string) bool { return draw(name) > own }),
	}
}

// takes reports whether a job may be sent to the idle planner.
func (m moveTarget) takes(j Job) bool {
	spare := m.Spare(j)
	if spare < 0 || m.turn {
		return spare >= 0
	}
	_, tasks := j.firstTasks()
	sent := 0
	for _, t := range m.taken {
		sent += t.tasks
	}
	return (spare+tasks+sent)/m.parts >= sent+tasks
}
