package deck

import (
	"context"
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
)

// execute runs a submission that may run.
func (s *submit) execute(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	if sub.Job {
		return s.executeJob(ctx, sub, route)
	}
	id := sub.Key
	if id == "" {
		return s.executeOne(ctx, sub, route)
	}
	ctx, release := s.jobs.begin(ctx, id)
	defer release()
	return s.executeOne(ctx, sub, route)
}

func (s *submit) executeOne(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	task, refusal := s.h.Dispatcher.NewTask(route, sub.Team, sub.Deadline)
	if refusal != nil {
		return notRun(refusal.Code, refusal.Reason, refusal.RetryAfter)
	}
	once := sub.Key != "" || sub.NonIdempotent
	if !once {
		task.Attempts = route.Attempts
	}
	a := s.h.Dispatcher.Run(ctx, task, sub.Tasks[0])
	if once && a.Outcome == helm.Failed && a.Code != helm.CodeTargetError {
		a.Outcome = helm.Unknown
	}
	return a
}

type taskResult struct {
	index  int
	answer helm.Answer
}

// executeJob runs all tasks of a job, each at most once; the first that fails marks the job failed and cancels the rest.
func (s *submit) executeJob(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	task, refusal := s.h.Dispatcher.NewTask(route, sub.Team, sub.Deadline)
	if refusal == nil {
		refusal = s.h.Dispatcher.Admit(ctx, task, len(sub.Tasks))
	}
	if refusal != nil {
		return notRun(refusal.Code, refusal.Reason, refusal.RetryAfter)
	}
	task.PreAdmitted = true
	ctx, release := s.jobs.begin(ctx, s.jobs.idOf(sub))
	defer release()
	results := make(chan taskResult, len(sub.Tasks))
	for i := range sub.Tasks {
		run := func() { results <- taskResult{i, s.h.Dispatcher.Run(ctx, task, sub.Tasks[i])} }
		if s.pool.Go(run) != nil {
			results <- taskResult{i, notRun(helm.CodeStopping, "this process stops", time.Second)}
		}
	}
	return s.collect(ctx, sub, results)
}

// collect waits until every task is done or one is not; it never waits for tasks that a failed job has left running.
func (s *submit) collect(ctx context.Context, sub helm.Submission, results <-chan taskResult) helm.Answer {
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

// failJob cancels what has not started, and marks what runs as unknown.
func (s *submit) failJob(ctx context.Context, sub helm.Submission, answers []helm.Answer, results <-chan taskResult) helm.Answer {
	s.jobs.cancel(s.jobs.idOf(sub))
	settle := time.NewTimer(settleTime)
	defer settle.Stop()
	for missing(answers) {
		select {
		case r := <-results:
			answers[r.index] = r.answer
		case <-settle.C:
			return jobFailed(sub, answers)
		}
	}
	return jobFailed(sub, answers)
}

// settleTime is how long a failed job waits to learn which of its tasks never started.
const settleTime = 20 * time.Millisecond

func missing(answers []helm.Answer) bool {
	for _, a := range answers {
		if a.Outcome == "" {
			return true
		}
	}
	return false
}
