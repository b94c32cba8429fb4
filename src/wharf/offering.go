package wharf

import (
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
)

// offering chooses the planners for an entry host's jobs, and counts what it has offered them.
type offering struct {
	// pooled says that the settings have planners pool their room.
	pooled bool
	domain string
	// tasks counts, by planner, the tasks offered to it since its last heartbeat.
	tasks map[string]int
	told  toldRooms
	rooms offeredRooms
	// silent is a planner that tells no room, reported the last one that was logged.
	silent, reported string
}

func newOffering(pooled bool, domain string) *offering {
	return &offering{
		pooled: pooled, domain: domain, tasks: make(map[string]int), told: make(toldRooms), rooms: make(offeredRooms),
	}
}

// choose returns the planner to offer a job to, if there is any. As long as one of the planners tells no room, all are compared by
// their free slots.
func (o *offering) choose(now time.Time, f helm.Fleet, p *pendingJob) (flotilla.Member, bool) {
	candidates := candidatePlanners(now, f)
	if o.pooled {
		rooms, silent := o.told.list(now, candidates, f)
		o.silent = silent
		if silent == "" {
			o.rooms.update(rooms)
			return choosePlannerByRoom(now, candidates, o.rooms, p, o.domain)
		}
	}
	return choosePlanner(candidates, o.tasks, p, o.domain)
}

// offered counts a job that was offered to a planner, and returns how long ago that one told of its room, if it did.
func (o *offering) offered(now time.Time, planner string, j convoy.Job) (age time.Duration, known bool) {
	o.tasks[planner] += j.Tasks()
	r := o.rooms[planner]
	if r == nil {
		return 0, false
	}
	r.Take(now, j)
	return now.Sub(r.SentAt), true
}

// heard forgets what the heartbeat of a planner counts.
func (o *offering) heard(planner string) { delete(o.tasks, planner) }

// roomFor returns a planner that has told of room where the whole job could start at once, other than one, if there is any.
func (o *offering) roomFor(now time.Time, f helm.Fleet, j convoy.Job, except string) (string, bool) {
	if !o.pooled {
		return "", false
	}
	for _, m := range candidatePlanners(now, f) {
		r := o.rooms[m.Name]
		if m.Name != except && !m.Leaving && m.Slots > 0 && r != nil && now.Sub(r.SentAt) <= overdueAfter && r.Spare(j) >= 0 {
			return m.Name, true
		}
	}
	return "", false
}

// reportSilent logs once which planner keeps the others from being compared by their room.
func (j *jobs) reportSilent() {
	if o := j.offering; o.silent != o.reported {
		o.reported = o.silent
		if o.silent != "" {
			j.h.Log.Write(logbook.RoomUnknown, logbook.F("peer", o.silent))
		}
	}
}

// observeRefusal counts a refusal of a job that was returned for room elsewhere, and one beside a planner that told of room.
func (j *jobs) observeRefusal(now time.Time, p *pendingJob, a answer) {
	if !j.offering.pooled || a.outcome != convoy.Refused {
		return
	}
	if p.job.Pinned {
		j.h.Metrics.GetOrCreateCounter("sesamecleat_moves_refused_total").Inc()
		j.h.Log.Write(logbook.MoveRefused, logbook.F("id", p.job.ID), logbook.F("planner", p.planner), logbook.F("why", a.reason))
	}
	if name, ok := j.offering.roomFor(now, j.h.Fleet, p.job, p.planner); ok {
		j.h.Metrics.GetOrCreateCounter("sesamecleat_refused_beside_room_total").Inc()
		j.h.Log.Write(logbook.RefusedBesideRoom, logbook.F("id", p.job.ID), logbook.F("planner", p.planner), logbook.F("room", name))
	}
}
