package drill

import (
	"encoding/json"
	"fmt"
	"time"

	"sesamecleat/src/hatchery"
)

type wireTask struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Body    string `json:"body"`
}

type wireJob struct {
	Outcome string     `json:"outcome,omitempty"`
	Tasks   []wireTask `json:"tasks"`
}

type wireReason struct {
	Reason string `json:"reason"`
}

type wireJobRequest struct {
	Tasks []wireTask `json:"tasks"`
}

func encodeJob(tasks []hatchery.Work) []byte {
	var j wireJobRequest
	for _, w := range tasks {
		j.Tasks = append(j.Tasks, wireTask{ID: w.ID, Body: string(w.Encode())})
	}
	b, _ := json.Marshal(j) // cannot fail for plain values
	return b
}

// Verify compares every answer with what really started.
func (l *Load) Verify() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Codes: make(map[string]int), Reasons: make(map[string]int), NotDone: make(map[string][]string)}
	l.meter.fill(&s)
	for _, sub := range l.subs {
		l.verifyOne(sub, &s)
	}
	return s
}

func (l *Load) verifyOne(sub *submission, s *Summary) {
	s.Sent++
	final := finalReply(sub.replies)
	switch final.Outcome {
	case "done":
		s.Done++
	case "failed":
		s.Failed++
	case "notrun":
		s.NotRun++
	default:
		s.Unknown++
	}
	if final.Outcome != "done" {
		code := final.Outcome + "/" + final.Code
		s.Codes[code]++
		s.NotDone[code] = append(s.NotDone[code], l.describe(sub))
	}
	l.verifyStarts(sub, s)
	for _, r := range sub.replies {
		switch {
		case r.Outcome == "done":
			verifyBody(sub, r, s)
		case r.Outcome == "failed" && sub.job:
			l.verifyFailed(sub, r, s)
		}
	}
}

// finalReply returns the answer that its caller goes by: the best one it got.
func finalReply(replies []Reply) Reply {
	rank := map[string]int{"done": 4, "failed": 3, "unknown": 2, "notrun": 1}
	var best Reply
	for i, r := range replies {
		if !r.Reached {
			r.Outcome, r.Code = "notrun", "unreached"
		} else if !r.Answered {
			r.Outcome, r.Code = "unknown", "unanswered"
		}
		if i == 0 || rank[r.Outcome] > rank[best.Outcome] {
			best = r
		}
	}
	return best
}

func (l *Load) verifyStarts(sub *submission, s *Summary) {
	before := s.Twice + s.Untrue
	defer func() {
		if s.Twice+s.Untrue > before {
			s.Broken = append(s.Broken, l.describe(sub))
		}
	}()
	single := sub.key != "" || sub.job || sub.once
	started := 0
	for _, w := range sub.tasks {
		n := l.book.Starts(w.ID)
		started += n
		if single && n > 1 {
			s.Twice++
		}
	}
	for _, r := range sub.replies {
		if r.Reached && r.Outcome != "notrun" {
			return
		}
	}
	if started > 0 {
		s.Untrue++
	}
}

// describe tells everything that is known of a submission.
func (l *Load) describe(sub *submission) string {
	text := fmt.Sprintf("key=%q job=%t once=%t domain=%s", sub.key, sub.job, sub.once, sub.domain)
	for _, w := range sub.tasks {
		text += fmt.Sprintf(" %s:%d", w.ID, l.book.Starts(w.ID))
	}
	for _, r := range sub.replies {
		var body wireReason
		_ = json.Unmarshal(r.Body, &body) // an answer without a reason is described without one
		text += fmt.Sprintf(" [%s %s %s %s answered=%t %s]",
			r.At.UTC().Format(time.RFC3339Nano), r.Entry, r.Outcome, r.Code, r.Answered, body.Reason)
	}
	return text
}

// verifyFailed checks a failed job: every task has an outcome, and those said not to have run did not.
func (l *Load) verifyFailed(sub *submission, r Reply, s *Summary) {
	var j wireJob
	if err := json.Unmarshal(r.Body, &j); err != nil || len(j.Tasks) != len(sub.tasks) {
		s.Partial++
		return
	}
	for i, t := range j.Tasks {
		if t.Outcome != "done" {
			s.Reasons[t.Outcome+": "+t.Reason]++
		}
		if t.Body != "" {
			s.Partial++
		}
		if t.Outcome == "notrun" && l.book.Starts(sub.tasks[i].ID) > 0 {
			s.Untrue++
			s.Broken = append(s.Broken, l.describe(sub))
			return
		}
	}
}

func verifyBody(sub *submission, r Reply, s *Summary) {
	if !sub.job {
		if string(r.Body) != sub.tasks[0].Answer() {
			s.Crossed++
		}
		return
	}
	var j wireJob
	if err := json.Unmarshal(r.Body, &j); err != nil || len(j.Tasks) != len(sub.tasks) {
		s.Partial++
		return
	}
	for i, t := range j.Tasks {
		if t.Outcome != "done" {
			s.Partial++
			return
		}
		if t.Body != sub.tasks[i].Answer() {
			s.Crossed++
			return
		}
	}
}
