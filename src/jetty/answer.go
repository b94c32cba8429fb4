package jetty

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sesamecleat/src/helm"
)

// Names of the headers of requests and answers; docs/API.md describes them.
const (
	headerOutcome  = "Outcome"
	headerCode     = "Code"
	headerKey      = "Idempotency-Key"
	headerOnce     = "Non-Idempotent"
	headerDeadline = "Deadline-Ms"
	headerTeam     = "Team"
	headerID       = "Submission-Id"
	headerRetry    = "Retry-After"
	headerRetryMs  = "Retry-After-Ms"
	headerRevision = "Revision"
	headerEdit     = "Edit-Id"
	headerAuthor   = "Author"
	headerETag     = "ETag"
	headerIfMatch  = "If-Match"
	headerIfNone   = "If-None-Match"
	jsonType       = "application/json"
)

type wireError struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// writeAnswer writes the outcome of a submission.
func writeAnswer(ctx *fasthttp.RequestCtx, a helm.Answer) {
	h := &ctx.Response.Header
	h.Set(headerOutcome, string(a.Outcome))
	if a.Code != "" {
		h.Set(headerCode, string(a.Code))
	}
	if a.Outcome == helm.NotRun {
		setRetry(h, a.RetryAfter)
	}
	switch {
	case a.Outcome == helm.Done:
		ctx.SetStatusCode(a.Status)
		h.SetContentType(a.ContentType)
		ctx.SetBody(a.Body)
	case a.Outcome == helm.Failed && a.Code == helm.CodeTaskFailed:
		ctx.SetStatusCode(statusOf(a))
		h.SetContentType(a.ContentType)
		ctx.SetBody(a.Body)
	default:
		writeJSON(ctx, statusOf(a), wireError{Code: string(a.Code), Outcome: string(a.Outcome), Reason: a.Reason})
	}
}

// setRetry sets the headers that say when to retry. Retry-After has a resolution of one second and is rounded up.
func setRetry(h *fasthttp.ResponseHeader, retry time.Duration) {
	if retry <= 0 {
		return
	}
	seconds := int64((retry + time.Second - 1) / time.Second)
	h.Set(headerRetry, strconv.FormatInt(seconds, 10))
	h.Set(headerRetryMs, strconv.FormatInt(retry.Milliseconds(), 10))
}

func statusOf(a helm.Answer) int {
	switch a.Outcome {
	case helm.Failed:
		return fasthttp.StatusBadGateway
	case helm.Unknown:
		return fasthttp.StatusGatewayTimeout
	case helm.Running:
		return fasthttp.StatusAccepted
	case helm.Done:
		return a.Status
	case helm.NotRun:
	}
	switch a.Code {
	case helm.CodeNoRoute, helm.CodeNotFound:
		return fasthttp.StatusNotFound
	case helm.CodeKeyReused, helm.CodeNeverFits:
		return fasthttp.StatusUnprocessableEntity
	case helm.CodeBadRequest:
		return fasthttp.StatusBadRequest
	case helm.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case helm.CodeQuota:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// writeRefusal answers a request that was refused before it ran.
func writeRefusal(ctx *fasthttp.RequestCtx, status int, code helm.Code, reason string) {
	ctx.Response.Header.Set(headerOutcome, string(helm.NotRun))
	ctx.Response.Header.Set(headerCode, string(code))
	writeJSON(ctx, status, wireError{Code: string(code), Outcome: string(helm.NotRun), Reason: reason})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(append(body, '\n'))
}
