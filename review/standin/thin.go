package main

import (
	"fmt"
	"net/http"
	"time"
)

// thinLinks grows the configuration by many routes several times, on entry hosts with the links of a grown deployment, and
// asks each entry host for a route that was added, later than config_apply_ms after its acknowledgement.
func thinLinks(rec *record, trouble bool) (bool, string, error) {
	const (
		linkMbps  = 19
		grownBy   = 1400
		times     = 5
		applyMs   = 2500
		moreAfter = 100 * time.Millisecond
	)
	routes := []route{newRoute("r-3hwrr6x", "nony24.example", "/lohu930/")}
	s, err := prepareWith(rec, 3, 3, 0, configuration(1, routes...), 1, true, linkMbps)
	if err != nil {
		return false, "", err
	}
	defer s.stop()
	missing, asked := 0, 0
	client := newClient(2 * time.Second)
	for n := range times {
		add := 1
		if trouble {
			add = grownBy
		}
		for range add {
			k := len(routes)
			routes = append(routes, newRoute(fmt.Sprintf("r-%07d", k), "nony24.example", fmt.Sprintf("/pu%05d/", k)))
		}
		version := 3 + 2*n
		body := configuration(version, routes...)
		rec.add("configuration %d has %d routes and %d bytes", version, len(routes), len(body))
		if err := s.put(body, version, 20*time.Second); err != nil {
			return false, "", err
		}
		time.Sleep(applyMs*time.Millisecond + moreAfter)
		added := routes[len(routes)-1]
		for _, p := range s.fronts {
			status, out := call(client, http.MethodGet, p.callerURL()+added.Prefix, added.Host, nil, nil)
			rec.add("GET %s at %s gets %d %s", added.Prefix, p.name, status, out)
			asked++
			if status == http.StatusNotFound {
				missing++
			}
		}
	}
	return missing > 0, fmt.Sprintf("%d of %d requests got 404, over %d ms after the acknowledgement of their route", missing, asked, applyMs), nil
}
