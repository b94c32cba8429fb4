package deck

import (
	"context"
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
)

// execute runs a submission that was allowed to start.
func (s *submitter) execute(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	if sub.Job {
		return s.executeJob(ctx, sub, route)
	}
	id := sub.Key
	if id == "" {
		return s.executeRequest(ctx, sub, route)
	}
	ctx, release := s.tracker.register(ctx, id)
	defer release()
	return s.executeRequest(ctx, sub, route)
}

func (s *submitter) executeRequest(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	task, refusal := s.h.Dispatcher.NewTask(route, sub.Team, sub.Deadline)
	if refusal != nil {
		return notRun(refusal.Code, refusal.Reason, refusal.RetryAfter)
	}
	atMostOnce := sub.Key != "" || sub.NonIdempotent
	if !atMostOnce {
		task.Attempts = route.Attempts
	}
	a := s.h.Dispatcher.Run(ctx, task, sub.Tasks[0])
	if atMostOnce && a.Outcome == helm.Failed && a.Code != helm.CodeTargetError {
		a.Outcome = helm.Unknown
	}
	return a
}

type taskResult struct {
	index  int
	answer helm.Answer
}

// executeJob runs all tasks of a job, each at most once; the first task that fails makes the job fail and cancels the
// rest.
func (s *submitter) executeJob(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	task, refusal := s.h.Dispatcher.NewTask(route, sub.Team, sub.Deadline)
	if refusal == nil {
		refusal = s.h.Dispatcher.Admit(ctx, task, len(sub.Tasks))
	}
	if refusal != nil {
		return notRun(refusal.Code, refusal.Reason, refusal.RetryAfter)
	}
	task.PreAdmitted = true
	ctx, release := s.tracker.register(ctx, s.tracker.submissionID(sub))
	defer release()
	results := make(chan taskResult, len(sub.Tasks))
	for i := range sub.Tasks {
		run := func() { results <- taskResult{i, s.h.Dispatcher.Run(ctx, task, sub.Tasks[i])} }
		if s.pool.Go(run) != nil {
			results <- taskResult{i, notRun(helm.CodeStopping, "this process stops", time.Second)}
		}
	}
	return s.collectAnswers(ctx, sub, results)
}

// collectAnswers waits until all tasks are done or one has failed; it does not wait for tasks that a failed job leaves
// running.
func (s *submitter) collectAnswers(ctx context.Context, sub helm.Submission, results <-chan taskResult) helm.Answer {
	answers := make([]helm.Answer, len(sub.Tasks))
	for range sub.Tasks {
		select {
		case r := <-results:
			answers[r.index] = r.answer
			if r.answer.Outcome != helm.Done {
				return s.failJob(ctx, sub, answers, results)
			}
		case <-ctx.Done():
			return s.failJob(ctx, sub, answers, results)
		}
	}
	return jobDone(sub, answers)
}

// failJob cancels the tasks that have not started and reports those still running as unknown.
func (s *submitter) failJob(ctx context.Context, sub helm.Submission, answers []helm.Answer, results <-chan taskResult) helm.Answer {
	s.tracker.cancel(s.tracker.submissionID(sub))
	settleTimer := time.NewTimer(settleTimeout)
	defer settleTimer.Stop()
	for anyUnanswered(answers) {
		select {
		case r := <-results:
			answers[r.index] = r.answer
		case <-settleTimer.C:
			return jobFailed(sub, answers)
		}
	}
	return jobFailed(sub, answers)
}

// settleTimeout is how long a failed job waits to learn which of its tasks never started.
const settleTimeout = 20 * time.Millisecond

func anyUnanswered(answers []helm.Answer) bool {
	for _, a := range answers {
		if a.Outcome == "" {
			return true
		}
	}
	return false
}
