package jetty

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
)

// request runs one request of a route.
func (s *Server) request(ctx *fasthttp.RequestCtx, route string) {
	sub, ok := s.submission(ctx, route)
	if !ok {
		return
	}
	sub.Tasks = []helm.Task{{ContentType: string(ctx.Request.Header.ContentType()), Body: ctx.PostBody()}}
	s.submit(ctx, sub)
}

// submission reads what requests and jobs have in common.
func (s *Server) submission(ctx *fasthttp.RequestCtx, route string) (helm.Submission, bool) {
	sub := helm.Submission{Route: route}
	h := &ctx.Request.Header
	sub.Key = string(h.Peek(headerKey))
	if reason := badKey(sub.Key); reason != "" {
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, reason)
		return sub, false
	}
	once := string(h.Peek(headerOnce))
	if once != "" && once != "true" && once != "false" {
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, headerOnce+" is "+once+"; true or false is expected")
		return sub, false
	}
	sub.NonIdempotent = once == "true"
	sub.Team = string(h.Peek(headerTeam))
	if sub.Team != "" && !chart.ValidName(sub.Team) {
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, headerTeam+" is not a name")
		return sub, false
	}
	timeout, ok := s.timeout(ctx, route)
	sub.Deadline = s.h.Clock.Now().Add(timeout)
	return sub, ok
}

func badKey(key string) string {
	if len(key) > keyLimit {
		return headerKey + " is longer than " + strconv.Itoa(keyLimit) + " bytes"
	}
	if strings.HasPrefix(key, "~") {
		return headerKey + " begins with ~, which marks ids that the system gives"
	}
	return ""
}

func (s *Server) timeout(ctx *fasthttp.RequestCtx, route string) (time.Duration, bool) {
	text := string(ctx.Request.Header.Peek(headerDeadline))
	if text == "" {
		row, known := s.h.Tables.Route(route)
		if !known {
			return chart.DefaultTimeout, true
		}
		return row.Route.Timeout, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > chart.MaxTimeout.Milliseconds() {
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest,
			headerDeadline+" is "+text+"; 1 to "+strconv.FormatInt(chart.MaxTimeout.Milliseconds(), 10)+" milliseconds are expected")
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, sub helm.Submission) {
	if refusal, ok := s.refusal(); ok {
		answer(ctx, refusal)
		return
	}
	if sub.Key != "" {
		ctx.Response.Header.Set(headerID, url.PathEscape(sub.Key))
	} else if sub.Job {
		sub.ID = s.h.Submitter.NewID()
		ctx.Response.Header.Set(headerID, sub.ID)
	}
	began := s.h.Clock.Now()
	a := s.h.Submitter.Submit(context.Background(), sub)
	s.h.Recorder.Record(sub, a, s.h.Clock.Now().Sub(began))
	answer(ctx, a)
}

// refusal says why this process takes no submission now.
func (s *Server) refusal() (helm.Answer, bool) {
	switch {
	case !s.h.Tables.Ready():
		return helm.Answer{
			Outcome: helm.NotRun, Code: helm.CodeNoTables, RetryAfter: time.Second,
			Reason: "this host has not learned the tables yet",
		}, true
	case s.h.Submitter.Inflight() >= s.h.Settings.Limits.Inflight:
		return helm.Answer{
			Outcome: helm.NotRun, Code: helm.CodeOverload, RetryAfter: time.Second,
			Reason: "this host has as many requests in flight as it may",
		}, true
	}
	return helm.Answer{}, false
}

type wireTask struct {
	ID   string `json:"id"`
	Type string `json:"type"`
	Body string `json:"body"`
	Data []byte `json:"data"`
}

type wireJob struct {
	Tasks []wireTask `json:"tasks"`
}

// jobs takes a job, or tells of one.
func (s *Server) jobs(ctx *fasthttp.RequestCtx, rest string) {
	if string(ctx.Method()) != fasthttp.MethodPost {
		s.submissions(ctx, rest)
		return
	}
	sub, ok := s.submission(ctx, rest)
	if !ok {
		return
	}
	sub.Job = true
	var reason string
	sub.Tasks, reason = parseJob(ctx.PostBody())
	if reason != "" {
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, reason)
		return
	}
	s.submit(ctx, sub)
}

// parseJob reads a job's tasks, or returns why it cannot.
func parseJob(body []byte) ([]helm.Task, string) {
	var job wireJob
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&job); err != nil {
		return nil, "the job cannot be read: " + err.Error()
	}
	if len(job.Tasks) == 0 || len(job.Tasks) > jobLimit {
		return nil, "the job has " + strconv.Itoa(len(job.Tasks)) + " tasks; 1 to " + strconv.Itoa(jobLimit) + " are expected"
	}
	seen := make(map[string]bool)
	tasks := make([]helm.Task, 0, len(job.Tasks))
	for i, t := range job.Tasks {
		if t.ID == "" || len(t.ID) > keyLimit {
			return nil, "task " + strconv.Itoa(i) + " has an id of " + strconv.Itoa(len(t.ID)) + " bytes; 1 to " + strconv.Itoa(keyLimit) + " are expected"
		}
		if seen[t.ID] {
			return nil, "two tasks have the id " + t.ID
		}
		if t.Body != "" && t.Data != nil {
			return nil, "task " + t.ID + " has both body and data"
		}
		seen[t.ID] = true
		tasks = append(tasks, helm.Task{ID: t.ID, ContentType: t.Type, Body: append([]byte(t.Body), t.Data...)})
	}
	return tasks, ""
}

// submissions tells of a submission, or cancels it.
func (s *Server) submissions(ctx *fasthttp.RequestCtx, rest string) {
	id, err := url.PathUnescape(rest)
	if err != nil || id == "" {
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, "the id of a submission is expected behind the path")
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		answer(ctx, s.h.Submitter.Status(wait, id))
	case fasthttp.MethodDelete:
		answer(ctx, s.h.Submitter.Cancel(wait, id))
	default:
		badMethod(ctx, "GET, DELETE")
	}
}

const askTimeout = 2 * time.Second
