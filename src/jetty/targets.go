package jetty

import (
	"github.com/tailscale/hujson"
	"github.com/valyala/fasthttp"

	"sesamecleat/src/berth"
	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/survey"
)

// Limits of an announcement.
const (
	maxPools = 64
	maxBusy  = 1_000_000
)

// handleAnnouncement accepts an announcement of a target.
func (s *Server) handleAnnouncement(ctx *fasthttp.RequestCtx) {
	t, err := ParseTarget("announcement", ctx.PostBody())
	if err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, err.Error())
		return
	}
	s.h.Dispatcher.Announce(t)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// ParseTarget parses an announcement of a target. The error lists all findings.
func ParseTarget(file string, src []byte) (berth.Target, error) {
	report := &survey.Report{}
	r := survey.NewReader(file, src, report)
	var t berth.Target
	v, ok := r.Parse()
	if !ok {
		return t, report.Err()
	}
	r.Object(v, targetFields(r, &t), "name", "address", "domain", "pools")
	if report.Err() == nil && t.Slots == 0 && t.Cores == 0 {
		r.Addf(v, "slots or cores is expected")
	}
	if report.Err() == nil && len(t.Pools) > maxPools {
		r.Addf(v, "%d pools are named; at most %d are expected", len(t.Pools), maxPools)
	}
	return t, report.Err()
}

func targetFields(r *survey.Reader, t *berth.Target) survey.Fields {
	return survey.Fields{
		"name":    r.String(&t.Name, maxTextLen),
		"address": r.AddrPort(&t.Addr),
		"domain":  r.String(&t.Domain, maxTextLen),
		"pools": r.Array(func(v *hujson.Value) {
			var p string
			r.String(&p, chart.NameLimit)(v)
			t.Pools = append(t.Pools, p)
		}),
		"slots": r.Int(&t.Slots, 0, chart.MaxSlots),
		"cores": r.Int(&t.Cores, 0, chart.MaxCores),
		"memory": func(v *hujson.Value) {
			var n int
			r.Int(&n, 0, int(chart.MaxMemory))(v)
			t.Memory = int64(n)
		},
		"accelerators": r.Int(&t.Accelerators, 0, chart.MaxAccelerators),
		"busy": func(v *hujson.Value) {
			r.Int(&t.Busy, 0, maxBusy)(v)
			t.ReportsBusy = true
		},
		"leaving": r.Bool(&t.Leaving),
	}
}
