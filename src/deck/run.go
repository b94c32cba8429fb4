package deck

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"time"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/radio"
)

// Run carries out one task, in the attempts that the planner orders, and returns its answer.
func (d *dispatcher) Run(ctx context.Context, t berth.Task, work helm.Task) helm.Answer {
	t.ID = d.lastID.Add(1)
	p := &placement{actions: make(chan berth.Action, 2)}
	d.h.Post(d, submitEvent{task: t, placement: p})
	id := d.h.Settings.Name + "." + strconv.FormatUint(d.h.Incarnation, 36) + "." + strconv.FormatUint(t.ID, 36)
	var last helm.Answer
	var lastExecuted *helm.Answer
	done := ctx.Done()
	for {
		select {
		case a := <-p.actions:
			if f, ok := a.(berth.Finish); ok {
				return finalAnswer(ctx, t, f, last, lastExecuted)
			}
			last = d.runAttempt(ctx, t, id, work, a)
			if attempt := last; attempt.Outcome != "" && attempt.Outcome != helm.NotRun {
				lastExecuted = &attempt
			}
		case <-done:
			done = nil
			d.h.Post(d, cancelTaskEvent{id: t.ID})
		case <-d.h.Done():
			return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeStopping, Reason: "this process stopped"}
		}
	}
}

// runAttempt carries out one attempt and reports its end to the planner.
func (d *dispatcher) runAttempt(ctx context.Context, t berth.Task, id string, work helm.Task, a berth.Action) helm.Answer {
	began := d.h.Clock.Now()
	var answer helm.Answer
	result := berth.Cancelled
	left := t.Deadline.Sub(began)
	switch a := a.(type) {
	case berth.Start:
		if ctx.Err() == nil && left > 0 {
			d.targetMessages.Add(2)
			cancelStop := context.AfterFunc(ctx, func() {
				d.targetMessages.Add(2)
				d.clients.stopTask(a.Addr, id)
			})
			answer, result = d.clients.sendTask(a, id, t.Route, work, left)
			cancelStop()
		}
	case berth.Handoff:
		if ctx.Err() == nil && left > 0 {
			answer, result = d.forwardTask(ctx, a.Host, t, work)
		}
	}
	if answer.Code == helm.CodeWrongTask {
		d.h.Log.Write(logbook.AnswerMismatched, logbook.F("target", answer.Target))
	}
	d.h.Post(d, attemptEndedEvent{berth.AttemptEnded{ID: t.ID, Result: result, Took: d.h.Clock.Now().Sub(began)}})
	return answer
}

func (d *dispatcher) forwardTask(ctx context.Context, host string, t berth.Task, work helm.Task) (helm.Answer, berth.AttemptResult) {
	addr := d.hostAddress(host)
	body, err := encodeRun(t, work.ContentType, work.Body, d.h.Clock.Now())
	if err != nil || !addr.IsValid() {
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeNoTarget, Reason: "the host is not known"}, berth.Unsent
	}
	ctx, cancel := context.WithTimeout(ctx, t.Deadline.Sub(d.h.Clock.Now()))
	defer cancel()
	out, err := d.h.RPC.Call(ctx, addr, kindRunTask, body)
	if radio.NotSent.Has(err) {
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeNoTarget, Reason: err.Error()}, berth.Unsent
	}
	var a helm.Answer
	if err == nil {
		a, err = decodeAnswer(out)
	}
	if err != nil {
		return helm.Answer{
			Outcome: helm.Failed, Code: helm.CodeTargetLost, Reason: "the host that took the task did not answer: " + err.Error(),
		}, berth.Lost
	}
	return a, attemptResultOf(a)
}

func attemptResultOf(a helm.Answer) berth.AttemptResult {
	switch {
	case a.Outcome == helm.Done:
		return berth.Succeeded
	case a.Outcome == helm.NotRun:
		return berth.Busy
	case a.Code == helm.CodeTargetError:
		return berth.Failed
	default:
		return berth.Lost
	}
}

func (d *dispatcher) onRun(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	t, work, err := decodeRun(body, d.h.Clock.Now())
	if err != nil {
		return nil, err
	}
	d.forwardedTasks.Add(1)
	defer d.forwardedTasks.Add(-1)
	if d.h.Leaving() {
		return encodeAnswer(notRun(helm.CodeStopping, "this host is being stopped", time.Second))
	}
	ctx, cancel := context.WithTimeout(ctx, t.Deadline.Sub(d.h.Clock.Now()))
	defer cancel()
	return encodeAnswer(d.Run(ctx, t, work))
}

func (d *dispatcher) hostAddress(host string) netip.AddrPort {
	reply := make(chan netip.AddrPort, 1)
	d.h.Post(d, addressEvent{host: host, reply: reply})
	select {
	case a := <-reply:
		return a
	case <-d.h.Done():
		return netip.AddrPort{}
	}
}

// finalAnswer turns the end of a task into the answer for its caller. lastExecuted is the last attempt that may have run, or
// nil; it takes precedence over a refusal of a later attempt, so that a task that may have run is never reported as not run.
func finalAnswer(ctx context.Context, t berth.Task, f berth.Finish, last helm.Answer, lastExecuted *helm.Answer) helm.Answer {
	last.IdealTime = max(last.IdealTime, f.IdealTime)
	executed := f.Result == berth.Succeeded || f.Result == berth.Failed || f.Result == berth.Lost
	switch {
	case executed:
		return last
	case lastExecuted != nil:
		return *lastExecuted
	case f.Result == berth.Cancelled && errors.Is(ctx.Err(), context.Canceled):
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeCancelled, Reason: "it was cancelled before it started"}
	case f.Result == berth.Cancelled:
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeDeadline, Reason: "the time was over before the task could start"}
	default:
		r := refusalFor(f.Reason, f.RetryAfter, t.Pool)
		return helm.Answer{Outcome: helm.NotRun, Code: r.Code, Reason: r.Reason, RetryAfter: r.RetryAfter}
	}
}

func refusalFor(reason berth.Reason, retry time.Duration, pool string) *helm.Refusal {
	switch reason {
	case berth.NoTarget:
		return &helm.Refusal{Code: helm.CodeNoTarget, Reason: "pool " + pool + " has no target that takes work now", RetryAfter: retry}
	case berth.NeverFits:
		return &helm.Refusal{Code: helm.CodeNeverFits, Reason: "no target of pool " + pool + " is large enough for the task", RetryAfter: retry}
	case berth.OverQuota:
		return &helm.Refusal{Code: helm.CodeQuota, Reason: "the team used up its limit of pool " + pool, RetryAfter: retry}
	case berth.TooLate:
		return &helm.Refusal{Code: helm.CodeDeadline, Reason: "the task would miss its deadline", RetryAfter: retry}
	default:
		return &helm.Refusal{Code: helm.CodeOverload, Reason: "too much work waits for pool " + pool, RetryAfter: retry}
	}
}
