package jetty

import (
	"bytes"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/roster"
)

type peersEvent struct{ reply chan []roster.Peer }

// HelmEvent implements helm.Event.
func (peersEvent) KernelEvent() {}

// peers returns the known processes, which only the control goroutine may read.
func (s *Server) peers() []roster.Peer {
	reply := make(chan []roster.Peer, 1)
	s.h.Post(s, peersEvent{reply: reply})
	select {
	case out := <-reply:
		return out
	case <-s.h.Done():
		return nil
	}
}

// Handle answers requests of HTTP handlers for the known processes, on the control goroutine.
func (s *Server) Handle(_ time.Time, ev helm.Event) {
	if e, ok := ev.(peersEvent); ok {
		e.reply <- s.h.Members.Peers()
	}
}

func (s *Server) handleReadyz(ctx *fasthttp.RequestCtx) {
	if s.isReady() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

type wireStatus struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
	Ready       bool     `json:"ready"`
	Leaving     bool     `json:"leaving"`
	Revision    uint64   `json:"revision"`
	Stale       bool     `json:"stale"`
	Fresh       string   `json:"fresh"`
	Inflight    int      `json:"inflight"`
	Records     int      `json:"records"`
	Sent        uint64   `json:"sent"`
	Received    uint64   `json:"received"`
	Exchanged   uint64   `json:"exchanged"`
	Warnings    []string `json:"warnings,omitempty"`
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	since, stale := s.h.Tables.Stale()
	sent, received := s.h.RPC.MessageCounts()
	writeJSON(ctx, fasthttp.StatusOK, wireStatus{
		Name: s.h.Settings.Name, Domain: s.h.Settings.Domain, Incarnation: s.h.Incarnation,
		Ready: s.isReady(), Leaving: s.h.Leaving(), Revision: s.h.Tables.Revision(),
		Stale: stale, Fresh: since.UTC().Format(time.RFC3339Nano),
		Inflight: s.h.Submitter.Inflight(), Records: s.h.Submitter.Records(),
		Sent: sent, Received: received, Exchanged: s.h.Dispatcher.TargetMessages(),
		Warnings: s.h.Tables.Warnings(),
	})
}

type wireMember struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Status      string `json:"status"`
	Peers       string `json:"peers"`
	Callers     string `json:"callers"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Leaving     bool   `json:"leaving"`
	Voter       bool   `json:"voter"`
}

func (s *Server) handleMembers(ctx *fasthttp.RequestCtx) {
	out := []wireMember{}
	for _, p := range s.peers() {
		m := p.Member
		out = append(out, wireMember{
			Name: m.Name, Domain: m.Domain, Status: p.Status.String(), Peers: m.PeerAddr.String(), Callers: m.CallerAddr.String(),
			Incarnation: m.Incarnation, Revision: m.Summary.Revision, Leaving: m.Summary.Leaving, Voter: m.Voter,
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

type wireTarget struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Pools    []string `json:"pools"`
	Owned    bool     `json:"owned"`
	Ejected  bool     `json:"ejected"`
	Leaving  bool     `json:"leaving"`
	Inflight int      `json:"inflight"`
	Busy     int      `json:"busy"`
	Factor   float64  `json:"factor"`
	Heard    string   `json:"heard"`
}

func (s *Server) handleTargets(ctx *fasthttp.RequestCtx) {
	out := []wireTarget{}
	for _, t := range s.h.Dispatcher.Targets() {
		out = append(out, wireTarget{
			Name: t.Target.Name, Address: t.Target.Addr.String(), Pools: t.Target.Pools, Owned: t.Owned,
			Ejected: t.Ejected, Leaving: t.Target.Leaving, Inflight: t.Inflight, Busy: t.Target.Busy,
			Factor: t.Slowdown, Heard: t.LastAnnounced.UTC().Format(time.RFC3339Nano),
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

type wireChange struct {
	Revision uint64     `json:"revision"`
	Author   string     `json:"author,omitempty"`
	At       string     `json:"at"`
	Change   string     `json:"change"`
	Name     string     `json:"name"`
	Route    *wireRoute `json:"route,omitempty"`
	Pool     *wirePool  `json:"pool,omitempty"`
}

// handleHistory answers with the retained changes of operators, oldest first.
func (s *Server) handleHistory(ctx *fasthttp.RequestCtx) {
	out := []wireChange{}
	for _, e := range s.h.Tables.RecentChanges() {
		w := wireChange{Revision: e.Revision, Author: e.Author, At: e.At.Format(time.RFC3339Nano)}
		switch c := e.Change.(type) {
		case chart.PutRoute:
			w.Change, w.Name, w.Route = "put-route", c.Route.Name, toWireRoute(c.Route)
		case chart.PutPool:
			w.Change, w.Name, w.Pool = "put-pool", c.Pool.Name, toWirePool(c.Pool)
		case chart.RemoveRoute:
			w.Change, w.Name = "remove-route", c.Name
		case chart.RemovePool:
			w.Change, w.Name = "remove-pool", c.Name
		case chart.SetView:
			continue
		}
		out = append(out, w)
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) handleMetrics(ctx *fasthttp.RequestCtx) {
	var b bytes.Buffer
	s.h.Metrics.WritePrometheus(&b)
	metrics.WriteProcessMetrics(&b)
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBody(b.Bytes())
}
