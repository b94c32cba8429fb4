package jetty

import (
	"encoding/json"
	"time"

	"github.com/tailscale/hujson"

	"sesamecleat/src/chart"
	"sesamecleat/src/survey"
)

const maxTextLen = 4096 // bytes

// ParseRoute parses a route from JSON with comments. The error lists all findings.
func ParseRoute(file, name string, src []byte) (chart.Route, error) {
	report := &survey.Report{}
	r := survey.NewReader(file, src, report)
	route := chart.NewRoute(name, "")
	if v, ok := r.Parse(); ok {
		r.Object(v, routeFields(r, &route), "pool")
		addFindings(r, v, report, route.Validate())
	}
	return route, report.Err()
}

// ParsePool parses a pool from JSON with comments. The error lists all findings.
func ParsePool(file, name string, src []byte) (chart.Pool, error) {
	report := &survey.Report{}
	r := survey.NewReader(file, src, report)
	pool := chart.NewPool(name)
	if v, ok := r.Parse(); ok {
		r.Object(v, poolFields(r, &pool))
		addFindings(r, v, report, pool.Validate())
	}
	return pool, report.Err()
}

// ParseTables parses both tables from JSON with comments. The error lists all findings.
func ParseTables(file string, src []byte) ([]chart.Route, []chart.Pool, error) {
	report := &survey.Report{}
	r := survey.NewReader(file, src, report)
	var routes []chart.Route
	var pools []chart.Pool
	root, ok := r.Parse()
	if !ok {
		return nil, nil, report.Err()
	}
	r.Object(root, survey.Fields{
		"routes": r.Array(func(v *hujson.Value) {
			route := chart.NewRoute("", "")
			r.Object(v, routeFields(r, &route), "name", "pool")
			addFindings(r, v, report, route.Validate())
			routes = append(routes, route)
		}),
		"pools": r.Array(func(v *hujson.Value) {
			pool := chart.NewPool("")
			r.Object(v, poolFields(r, &pool), "name")
			addFindings(r, v, report, pool.Validate())
			pools = append(pools, pool)
		}),
	})
	return routes, pools, report.Err()
}

func addFindings(r *survey.Reader, v *hujson.Value, report *survey.Report, findings []string) {
	if report.Err() != nil {
		return
	}
	for _, f := range findings {
		r.Addf(v, "%s", f)
	}
}

func routeFields(r *survey.Reader, route *chart.Route) survey.Fields {
	return survey.Fields{
		"name":    r.String(&route.Name, maxTextLen),
		"pool":    r.String(&route.Pool, maxTextLen),
		"timeout": r.Duration(&route.Timeout, chart.MinTimeout, chart.MaxTimeout),
		"once":    r.Bool(&route.NonIdempotent),
		"spill":   r.Bool(&route.Spill),
		"tries":   r.Int(&route.Attempts, 1, chart.MaxAttempts),
		"cores":   r.Int(&route.Cores, 0, chart.MaxCores),
		"memory": func(v *hujson.Value) {
			var n int
			r.Int(&n, 0, int(chart.MaxMemory))(v)
			route.Memory = int64(n)
		},
		"accelerators": r.Int(&route.Accelerators, 0, chart.MaxAccelerators),
		"ratio":        r.Float(&route.Objective.LatencyRatio, 0, chart.MaxRatio),
		"within":       r.Float(&route.Objective.LatencyShare, 0, chart.MaxShare),
		"whole":        r.Float(&route.Objective.SuccessShare, 0, chart.MaxShare),
	}
}

func poolFields(r *survey.Reader, pool *chart.Pool) survey.Fields {
	return survey.Fields{
		"name":  r.String(&pool.Name, maxTextLen),
		"slots": r.Int(&pool.Slots, 0, chart.MaxSlots),
		"queue": r.Int(&pool.Queue, 1, chart.MaxQueue),
		"teams": r.Array(func(v *hujson.Value) {
			t := chart.Team{Weight: 1}
			r.Object(v, survey.Fields{
				"name":     r.String(&t.Name, maxTextLen),
				"weight":   r.Int(&t.Weight, 1, chart.MaxWeight),
				"rate":     r.Float(&t.Rate, 0, chart.MaxRate),
				"inflight": r.Int(&t.Inflight, 0, chart.MaxInflight),
			}, "name")
			pool.Teams = append(pool.Teams, t)
		}),
	}
}

type wireRoute struct {
	Name         string  `json:"name"`
	Pool         string  `json:"pool"`
	Timeout      string  `json:"timeout"`
	Once         bool    `json:"once,omitempty"`
	Spill        bool    `json:"spill,omitempty"`
	Tries        int     `json:"tries"`
	Cores        int     `json:"cores,omitempty"`
	Memory       int64   `json:"memory,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	Ratio        float64 `json:"ratio,omitempty"`
	Within       float64 `json:"within,omitempty"`
	Whole        float64 `json:"whole,omitempty"`
}

type wirePool struct {
	Name  string     `json:"name"`
	Slots int        `json:"slots,omitempty"`
	Queue int        `json:"queue"`
	Teams []wireTeam `json:"teams,omitempty"`
}

type wireTeam struct {
	Name     string  `json:"name"`
	Weight   int     `json:"weight"`
	Rate     float64 `json:"rate,omitempty"`
	Inflight int     `json:"inflight,omitempty"`
}

type wireRow struct {
	Revision uint64     `json:"revision"`
	Author   string     `json:"author,omitempty"`
	At       string     `json:"at"`
	Route    *wireRoute `json:"route,omitempty"`
	Pool     *wirePool  `json:"pool,omitempty"`
}

func toWireRoute(r chart.Route) *wireRoute {
	return &wireRoute{
		Name: r.Name, Pool: r.Pool, Timeout: r.Timeout.String(), Once: r.NonIdempotent, Spill: r.Spill,
		Tries: r.Attempts, Cores: r.Cores, Memory: r.Memory, Accelerators: r.Accelerators,
		Ratio: r.Objective.LatencyRatio, Within: r.Objective.LatencyShare, Whole: r.Objective.SuccessShare,
	}
}

func toWirePool(p chart.Pool) *wirePool {
	w := &wirePool{Name: p.Name, Slots: p.Slots, Queue: p.Queue}
	for _, t := range p.Teams {
		w.Teams = append(w.Teams, wireTeam{Name: t.Name, Weight: t.Weight, Rate: t.Rate, Inflight: t.Inflight})
	}
	return w
}

func routeRow(r chart.RouteRow) wireRow {
	return wireRow{Revision: r.Revision, Author: r.Author, At: r.At.Format(time.RFC3339Nano), Route: toWireRoute(r.Route)}
}

func poolRow(p chart.PoolRow) wireRow {
	return wireRow{Revision: p.Revision, Author: p.Author, At: p.At.Format(time.RFC3339Nano), Pool: toWirePool(p.Pool)}
}

// EncodeRoute returns the JSON encoding of a route, in the form that ParseRoute reads.
func EncodeRoute(r chart.Route) []byte {
	b, _ := json.Marshal(toWireRoute(r)) // cannot fail: all fields are strings, booleans and finite numbers
	return b
}

// EncodePool returns the JSON encoding of a pool, in the form that ParsePool reads.
func EncodePool(p chart.Pool) []byte {
	b, _ := json.Marshal(toWirePool(p)) // cannot fail: all fields are strings, booleans and finite numbers
	return b
}
