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

// handleRequest submits a single request to a route.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, route string) {
	sub, ok := s.parseSubmission(ctx, route)
	if !ok {
		return
	}
	sub.Tasks = []helm.Task{{ContentType: string(ctx.Request.Header.ContentType()), Body: ctx.PostBody()}}
	s.submitAndAnswer(ctx, sub)
}

// parseSubmission parses the headers that requests and jobs have in common. If they are invalid, it answers the request
// and returns false.
func (s *Server) parseSubmission(ctx *fasthttp.RequestCtx, route string) (helm.Submission, bool) {
	sub := helm.Submission{Route: route}
	h := &ctx.Request.Header
	sub.Key = string(h.Peek(headerKey))
	if reason := checkKey(sub.Key); reason != "" {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, reason)
		return sub, false
	}
	once := string(h.Peek(headerOnce))
	if once != "" && once != "true" && once != "false" {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, headerOnce+" is "+once+"; true or false is expected")
		return sub, false
	}
	sub.NonIdempotent = once == "true"
	sub.Team = string(h.Peek(headerTeam))
	if sub.Team != "" && !chart.ValidName(sub.Team) {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, headerTeam+" is not a name")
		return sub, false
	}
	timeout, ok := s.parseTimeout(ctx, route)
	sub.Deadline = s.h.Clock.Now().Add(timeout)
	return sub, ok
}

func checkKey(key string) string {
	if len(key) > maxKeyLen {
		return headerKey + " is longer than " + strconv.Itoa(maxKeyLen) + " bytes"
	}
	if strings.HasPrefix(key, "~") {
		return headerKey + " begins with ~, which marks ids that the system gives"
	}
	return ""
}

func (s *Server) parseTimeout(ctx *fasthttp.RequestCtx, route string) (time.Duration, bool) {
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
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest,
			headerDeadline+" is "+text+"; 1 to "+strconv.FormatInt(chart.MaxTimeout.Milliseconds(), 10)+" milliseconds are expected")
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func (s *Server) submitAndAnswer(ctx *fasthttp.RequestCtx, sub helm.Submission) {
	if refusal, ok := s.admissionRefusal(); ok {
		writeAnswer(ctx, refusal)
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
	writeAnswer(ctx, a)
}

// admissionRefusal returns the answer to submissions while this process cannot accept any, and whether that is so.
func (s *Server) admissionRefusal() (helm.Answer, bool) {
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

// handleJobs submits a job, or shows or cancels a submitted one.
func (s *Server) handleJobs(ctx *fasthttp.RequestCtx, rest string) {
	if string(ctx.Method()) != fasthttp.MethodPost {
		s.handleSubmission(ctx, rest)
		return
	}
	sub, ok := s.parseSubmission(ctx, rest)
	if !ok {
		return
	}
	sub.Job = true
	var reason string
	sub.Tasks, reason = parseJob(ctx.PostBody())
	if reason != "" {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, reason)
		return
	}
	s.submitAndAnswer(ctx, sub)
}

// parseJob returns the tasks of a job, or a reason if the body is invalid.
func parseJob(body []byte) ([]helm.Task, string) {
	var job wireJob
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&job); err != nil {
		return nil, "the job cannot be read: " + err.Error()
	}
	if len(job.Tasks) == 0 || len(job.Tasks) > maxJobTasks {
		return nil, "the job has " + strconv.Itoa(len(job.Tasks)) + " tasks; 1 to " + strconv.Itoa(maxJobTasks) + " are expected"
	}
	seen := make(map[string]bool)
	tasks := make([]helm.Task, 0, len(job.Tasks))
	for i, t := range job.Tasks {
		if t.ID == "" || len(t.ID) > maxKeyLen {
			return nil, "task " + strconv.Itoa(i) + " has an id of " + strconv.Itoa(len(t.ID)) + " bytes; 1 to " + strconv.Itoa(maxKeyLen) + " are expected"
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

// handleSubmission shows the status of a submission, or cancels it.
func (s *Server) handleSubmission(ctx *fasthttp.RequestCtx, rest string) {
	id, err := url.PathUnescape(rest)
	if err != nil || id == "" {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, "the id of a submission is expected behind the path")
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		writeAnswer(ctx, s.h.Submitter.Status(wait, id))
	case fasthttp.MethodDelete:
		writeAnswer(ctx, s.h.Submitter.Cancel(wait, id))
	default:
		methodNotAllowed(ctx, "GET, DELETE")
	}
}

const statusTimeout = 2 * time.Second
