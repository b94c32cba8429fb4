package jetty

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"sesamecleat/src/gauge"
)

const burnTimeout = 3 * time.Second

type wireRate struct {
	Window string  `json:"window"`
	Burn   float64 `json:"burn"`
	Total  uint64  `json:"total"`
}

type wireCause struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}

type wireBudget struct {
	Route   string      `json:"route"`
	Team    string      `json:"team"`
	Domain  string      `json:"domain"`
	Promise string      `json:"promise"`
	Target  float64     `json:"target"`
	Left    float64     `json:"left"`
	Spent   string      `json:"spent"`
	Alert   string      `json:"alert"`
	Rates   []wireRate  `json:"rates"`
	Causes  []wireCause `json:"causes"`
}

type wireBurn struct {
	Missing []string     `json:"missing"`
	Budgets []wireBudget `json:"budgets"`
}

// handleBurn answers with the error budgets of all objectives, as text or, with ?format=json, as JSON.
func (s *Server) handleBurn(ctx *fasthttp.RequestCtx) {
	wait, cancel := context.WithTimeout(context.Background(), burnTimeout)
	defer cancel()
	budgets, missing := s.h.Recorder.Budgets(wait)
	if string(ctx.QueryArgs().Peek("format")) != "json" {
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBodyString(gauge.FormatBudgets(budgets, missing))
		return
	}
	out := wireBurn{Missing: append([]string{}, missing...), Budgets: []wireBudget{}}
	for _, b := range budgets {
		out.Budgets = append(out.Budgets, toWireBudget(b))
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func toWireBudget(b gauge.Budget) wireBudget {
	w := wireBudget{
		Route: b.Key.Route, Team: b.Key.Team, Domain: b.Key.Domain, Promise: b.Objective, Target: b.Target,
		Left: b.Left, Spent: b.ExhaustedIn.String(), Alert: b.Alert, Rates: []wireRate{}, Causes: []wireCause{},
	}
	if b.ExhaustedIn < 0 {
		w.Spent = "never"
	}
	for _, r := range b.Rates {
		w.Rates = append(w.Rates, wireRate{Window: r.Window.String(), Burn: r.Rate, Total: r.Total})
	}
	for _, c := range b.Causes {
		w.Causes = append(w.Causes, wireCause{Name: c.Name, Count: c.Count})
	}
	return w
}
