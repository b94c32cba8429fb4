package wharf

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

// A caller that comes back to the same entry host must not get the late answer to the offer made for its first attempt.
func TestAnswerToEarlierAttemptIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newTestKernel(now)
	h.Settings.Name = "entry"
	h.Fleet = &singleFleet{self: flotilla.Member{Name: "entry", Slots: 4, FreeSlots: 4}}
	j := newJobs(h).(*jobs)
	job := convoy.Job{ID: "a", Host: "entry", Arrived: now, Deadline: now.Add(time.Second), Steps: []convoy.Step{{Count: 1}}}
	first, second := make(chan helm.JobResult, 1), make(chan helm.JobResult, 1)
	j.Handle(now, submitEvent{job: job, done: first})
	early := answeredEvent{id: "a", attempt: j.pending["a"].attempt, answer: answer{outcome: convoy.Lost}}
	j.Handle(now, callerGoneEvent{id: "a", done: first, cause: convoy.CauseCallerGone, reason: "gone"})
	require.Equal(t, convoy.Lost, (<-first).Outcome)
	j.Handle(now, submitEvent{job: job, done: second})
	j.Handle(now, early)
	require.Empty(t, second)
	require.Contains(t, j.pending, "a")
}

func TestOfferNumbersRiseOverRestarts(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newTestKernel(now)
	h.Incarnation = uint64(now.UnixMilli())
	h.Fleet = &singleFleet{self: flotilla.Member{Slots: 4, FreeSlots: 4}}
	j := newJobs(h).(*jobs)
	j.Handle(now, submitEvent{job: convoy.Job{ID: "a", Deadline: now.Add(time.Second)}, done: make(chan helm.JobResult, 1)})
	require.Greater(t, j.pending["a"].attempt, h.Incarnation)
}
