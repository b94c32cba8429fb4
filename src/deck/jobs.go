package deck

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"sesamecleat/src/helm"
)

// submissionTracker tracks the submissions that run here, and keeps the most recent answers of those without a key.
type submissionTracker struct {
	mu      sync.Mutex
	limit   int
	cancels map[string]context.CancelFunc
	answers map[string]helm.Answer
	order   []string
}

func newSubmissionTracker(limit int) *submissionTracker {
	return &submissionTracker{limit: limit, cancels: make(map[string]context.CancelFunc), answers: make(map[string]helm.Answer)}
}

func newUUID() string { return uuid.NewString() }

func (j *submissionTracker) submissionID(sub helm.Submission) string {
	if sub.Key != "" {
		return sub.Key
	}
	return sub.ID
}

// register adds a running submission and returns its context and a function that removes it.
func (j *submissionTracker) register(ctx context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancels[id] = cancel
	return ctx, func() {
		cancel()
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.cancels, id)
	}
}

// cancel cancels the tasks of a submission that have not started, and reports whether it runs here.
func (j *submissionTracker) cancel(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	cancel, ok := j.cancels[id]
	if ok {
		cancel()
	}
	return ok
}

func (j *submissionTracker) isRunning(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, ok := j.cancels[id]
	return ok
}

// storeAnswer keeps the answer of a submission without a key and evicts the oldest answer above the limit.
func (j *submissionTracker) storeAnswer(id string, a helm.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[id] = a
	j.order = append(j.order, id)
	if len(j.order) > j.limit {
		delete(j.answers, j.order[0])
		j.order = j.order[1:]
	}
}

func (j *submissionTracker) answer(id string) (helm.Answer, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a, ok := j.answers[id]
	return a, ok
}

type wireJobTask struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Status  int    `json:"status,omitempty"`
	Type    string `json:"type,omitempty"`
	Body    string `json:"body,omitempty"`
	Data    string `json:"data,omitempty"`
	Code    string `json:"code,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

type wireJob struct {
	Outcome string        `json:"outcome"`
	Tasks   []wireJobTask `json:"tasks"`
}

const jsonType = "application/json"

// jobDone returns the answer of a job whose tasks are all done.
func jobDone(sub helm.Submission, answers []helm.Answer) helm.Answer {
	w := wireJob{Outcome: string(helm.Done)}
	var ideal time.Duration
	for i, a := range answers {
		ideal = max(ideal, a.IdealTime)
		t := wireJobTask{ID: sub.Tasks[i].ID, Outcome: string(a.Outcome), Status: a.Status, Type: a.ContentType}
		if utf8.Valid(a.Body) {
			t.Body = string(a.Body)
		} else {
			t.Data = base64.StdEncoding.EncodeToString(a.Body)
		}
		w.Tasks = append(w.Tasks, t)
	}
	body, _ := json.Marshal(w) // cannot fail: only strings and integers
	return helm.Answer{Outcome: helm.Done, Status: 200, ContentType: jsonType, Body: body, IdealTime: ideal}
}

// jobFailed returns the outcome of each task without its body; a job of which no task started is reported as not run.
func jobFailed(sub helm.Submission, answers []helm.Answer) helm.Answer {
	w := wireJob{Outcome: string(helm.Failed)}
	started := false
	var retry time.Duration
	for i, a := range answers {
		t := wireJobTask{ID: sub.Tasks[i].ID, Outcome: string(a.Outcome), Code: string(a.Code), Reason: a.Reason}
		switch a.Outcome {
		case helm.NotRun:
			retry = max(retry, a.RetryAfter)
		case "":
			t.Outcome, t.Code, t.Reason = string(helm.Unknown), string(helm.CodeRunning), "the task was running when the job failed"
			started = true
		default:
			started = true
		}
		w.Tasks = append(w.Tasks, t)
	}
	if !started {
		return notRun(answers[0].Code, "no task of the job started: "+answers[0].Reason, retry)
	}
	body, _ := json.Marshal(w) // cannot fail: only strings and integers
	return helm.Answer{
		Outcome: helm.Failed, Code: helm.CodeTaskFailed, Reason: "a task of the job was not done", ContentType: jsonType, Body: body,
	}
}
