package jetty

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
)

const (
	editTimeout = 10 * time.Second
	maxWait     = time.Minute
	waitPoll    = 20 * time.Millisecond
)

// tableKind selects one of the two tables: routeTable or poolTable.
type tableKind interface{ table() }

type routeTable struct{}

type poolTable struct{}

func (routeTable) table() {}
func (poolTable) table()  {}

func (s *Server) handleTable(ctx *fasthttp.RequestCtx, t tableKind, name string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		if s.awaitConsistent(ctx) {
			s.getTable(ctx, t, name)
		}
	case fasthttp.MethodPut:
		s.putRow(ctx, t, name)
	case fasthttp.MethodDelete:
		s.removeRow(ctx, t, name)
	default:
		methodNotAllowed(ctx, "GET, PUT, DELETE")
	}
}

// awaitConsistent waits, if the query asks for it, until this process serves all edits accepted before the request. If
// that fails, it answers the request and returns false.
func (s *Server) awaitConsistent(ctx *fasthttp.RequestCtx) bool {
	if !ctx.QueryArgs().GetBool("consistent") {
		return true
	}
	wait, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	if err := s.h.Editor.ReadBarrier(wait); err != nil {
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, helm.CodeNoLeader, "the state hosts did not confirm the tables: "+err.Error())
		return false
	}
	return true
}

type wireRows struct {
	Revision uint64    `json:"revision"`
	Rows     []wireRow `json:"rows"`
	Warnings []string  `json:"warnings,omitempty"`
}

func (s *Server) getTable(ctx *fasthttp.RequestCtx, t tableKind, name string) {
	ctx.Response.Header.Set(headerRevision, strconv.FormatUint(s.h.Tables.Revision(), 10))
	if name != "" {
		row, ok := s.tableRow(t, name)
		if !ok {
			writeRefusal(ctx, fasthttp.StatusNotFound, helm.CodeNotFound, "row "+name+" is not there")
			return
		}
		ctx.Response.Header.Set(headerETag, etagOf(row.Revision))
		writeJSON(ctx, fasthttp.StatusOK, row)
		return
	}
	out := wireRows{Revision: s.h.Tables.Revision(), Rows: []wireRow{}, Warnings: s.h.Tables.Warnings()}
	switch t.(type) {
	case routeTable:
		for _, r := range s.h.Tables.Routes() {
			out.Rows = append(out.Rows, routeRow(r))
		}
	case poolTable:
		for _, p := range s.h.Tables.Pools() {
			out.Rows = append(out.Rows, poolRow(p))
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) tableRow(t tableKind, name string) (wireRow, bool) {
	switch t.(type) {
	case routeTable:
		r, ok := s.h.Tables.Route(name)
		return routeRow(r), ok
	default:
		p, ok := s.h.Tables.Pool(name)
		return poolRow(p), ok
	}
}

func etagOf(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

func (s *Server) putRow(ctx *fasthttp.RequestCtx, t tableKind, name string) {
	var change chart.Change
	var err error
	switch t.(type) {
	case routeTable:
		var r chart.Route
		r, err = ParseRoute("body", name, ctx.PostBody())
		change = chart.PutRoute{Route: r}
		if err == nil && r.Name != name {
			err = Error.New("the body names route %s, the path %s", r.Name, name)
		}
	case poolTable:
		var p chart.Pool
		p, err = ParsePool("body", name, ctx.PostBody())
		change = chart.PutPool{Pool: p}
		if err == nil && p.Name != name {
			err = Error.New("the body names pool %s, the path %s", p.Name, name)
		}
	}
	if err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, err.Error())
		return
	}
	s.submitEdit(ctx, t, name, change)
}

func (s *Server) removeRow(ctx *fasthttp.RequestCtx, t tableKind, name string) {
	switch t.(type) {
	case routeTable:
		s.submitEdit(ctx, t, name, chart.RemoveRoute{Name: name})
	case poolTable:
		s.submitEdit(ctx, t, name, chart.RemovePool{Name: name})
	}
}

type wireEdit struct {
	Edit     string   `json:"edit"`
	Revision uint64   `json:"revision,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
	// InForce lists the processes that serve the revision, Missing those that do not serve it yet, and Away those that are
	// marked failed.
	InForce []string `json:"inforce,omitempty"`
	Missing []string `json:"missing,omitempty"`
	Away    []string `json:"away,omitempty"`
}

type wireConflict struct {
	Code    string   `json:"code"`
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason"`
	Row     *wireRow `json:"row,omitempty"`
}

func (s *Server) submitEdit(ctx *fasthttp.RequestCtx, t tableKind, name string, change chart.Change) {
	h := &ctx.Request.Header
	match, err := parseMatch(string(h.Peek(headerIfMatch)), string(h.Peek(headerIfNone)))
	if err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, err.Error())
		return
	}
	e := chart.Edit{
		ID: string(h.Peek(headerEdit)), Author: string(h.Peek(headerAuthor)), At: s.h.Clock.Now().UTC(),
		Match: match, Change: change,
	}
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	ctx.Response.Header.Set(headerEdit, e.ID)
	wait, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	result, err := s.h.Editor.Edit(wait, e)
	if err != nil {
		writeEditError(ctx, e.ID, err)
		return
	}
	s.writeEditResult(ctx, t, name, result)
}

// writeEditError answers an edit that was not confirmed, and says whether it may have been accepted.
func writeEditError(ctx *fasthttp.RequestCtx, id string, err error) {
	if !radio.Unanswered.Has(err) {
		setRetry(&ctx.Response.Header, time.Second)
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, helm.CodeNoLeader, "the edit was not carried out: "+err.Error())
		return
	}
	writeAnswer(ctx, helm.Answer{
		Outcome: helm.Unknown, Code: helm.CodeFateUnknown,
		Reason: "the edit may have been accepted; send it again with " + headerEdit + " " + id + " to learn its fate: " + err.Error(),
	})
}

func (s *Server) writeEditResult(ctx *fasthttp.RequestCtx, t tableKind, name string, r chart.Result) {
	switch r.Status {
	case chart.Accepted:
		ctx.Response.Header.Set(headerOutcome, string(helm.Done))
		ctx.Response.Header.Set(headerETag, etagOf(r.Revision))
		out := wireEdit{Edit: r.ID, Revision: r.Revision}
		s.awaitInForce(ctx, &out)
		out.Warnings = s.h.Tables.Warnings()
		writeJSON(ctx, fasthttp.StatusOK, out)
	case chart.Conflict:
		ctx.Response.Header.Set(headerOutcome, string(helm.NotRun))
		ctx.Response.Header.Set(headerCode, string(helm.CodeConflict))
		out := wireConflict{Code: string(helm.CodeConflict), Outcome: string(helm.NotRun), Reason: "the row has revision " + strconv.FormatUint(r.Revision, 10)}
		s.awaitRevision(r.Revision)
		if row, ok := s.tableRow(t, name); ok {
			out.Row = &row
		}
		writeJSON(ctx, fasthttp.StatusPreconditionFailed, out)
	case chart.RowNotFound:
		writeRefusal(ctx, fasthttp.StatusNotFound, helm.CodeNotFound, "row "+name+" is not there")
	default:
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, strings.Join(r.Findings, "\n"))
	}
}

// awaitRevision waits up to one second until this process serves a revision.
func (s *Server) awaitRevision(revision uint64) {
	limit := time.Now().Add(time.Second)
	for s.h.Tables.Revision() < revision && time.Now().Before(limit) {
		time.Sleep(waitPoll)
	}
}

// awaitInForce waits, if the query asks for it, until every process that is not marked failed serves the revision.
func (s *Server) awaitInForce(ctx *fasthttp.RequestCtx, out *wireEdit) {
	text := string(ctx.QueryArgs().Peek("wait"))
	d, err := time.ParseDuration(text)
	if text == "" || err != nil {
		return
	}
	limit := time.Now().Add(min(d, maxWait))
	for {
		out.InForce, out.Missing, out.Away = s.processesByRevision(out.Revision)
		if len(out.Missing) == 0 || time.Now().After(limit) {
			return
		}
		time.Sleep(waitPoll)
	}
}

func (s *Server) processesByRevision(revision uint64) (in, missing, away []string) {
	self := s.h.Settings.Name
	if s.h.Tables.Revision() >= revision {
		in = append(in, self)
	} else {
		missing = append(missing, self)
	}
	for _, p := range s.peers() {
		switch {
		case p.Member.Summary.Revision >= revision:
			in = append(in, p.Member.Name)
		case p.Status == roster.Unconfirmed:
		case p.Status == roster.Failed:
			away = append(away, p.Member.Name)
		default:
			missing = append(missing, p.Member.Name)
		}
	}
	return in, missing, away
}

var errMatch = errors.New("If-Match takes a revision in quotes, If-None-Match takes *; at most one of them is expected")

func parseMatch(match, none string) (chart.Match, error) {
	switch {
	case match != "" && none != "":
		return chart.Match{}, errMatch
	case none == "*":
		return chart.Match{Kind: chart.MatchAbsent}, nil
	case none != "":
		return chart.Match{}, errMatch
	case match == "" || match == "*":
		return chart.Match{}, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return chart.Match{}, errMatch
	}
	return chart.Match{Kind: chart.MatchRevision, Revision: revision}, nil
}
