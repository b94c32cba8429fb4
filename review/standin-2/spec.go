package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["spec"] = spec }

// specs are specs of tasks as JSON strings.
var specs = map[string]string{
	"0000000000000001": `"50 {\"boat\":\"anna\"}"`,
	"0000000000000002": `"50 {\"note\":\"\u001b[1m\"}"`,
	"0000000000000003": `"50 {\"flag\":\"` + "\U0001F3F4\U000E0067\U000E0062\U000E0065\U000E006E\U000E0067\U000E007F" + `\"}"`,
	"0000000000000004": `"50 \u0000\u0001"`,
	"0000000000000005": `"50 {\"note\":\"\u007f\"}"`,
	"0000000000000006": `"50 cut \ud83d"`,
}

// spec hands in jobs whose spec holds characters that JSON writes as escapes, and compares what the minions are told.
func spec(d *deployment, trouble bool) verdict {
	s, err := startSystem(d, 1, 2, 8000)
	if err != nil {
		return verdict{err: err}
	}
	var mu sync.Mutex
	told := make(map[string][]string)
	for _, m := range s.yard.all {
		m.onOrder = func(_ *minion, body []byte) {
			mu.Lock()
			defer mu.Unlock()
			for id := range specs {
				if strings.Contains(string(body), id) {
					told[id] = append(told[id], string(body))
				}
			}
		}
	}
	var broken []string
	for id, text := range specs {
		if !trouble {
			text = `"50 plain letters"`
		}
		body := `{"task_spec":` + text + `,"steps":[{"count":1,"cpu":1000,"requested_memory_mb":64,"estimated_duration_ms":50}],"best_effort":true}`
		if !json.Valid([]byte(body)) {
			return verdict{err: fmt.Errorf("the job is not JSON: %s", body)}
		}
		r := submit(context.Background(), d.record, s.front[0], id, []byte(body), 1500*time.Millisecond)
		mu.Lock()
		orders := told[id]
		mu.Unlock()
		for _, o := range orders {
			d.record.add("order", "%q", o)
			var sent string
			var got struct {
				Spec *string `json:"task_spec"`
			}
			_ = json.Unmarshal([]byte(text), &sent)
			err := json.Unmarshal([]byte(o), &got)
			switch {
			case err != nil:
				broken = append(broken, fmt.Sprintf("the client sent the spec %s; the minion is told what is no JSON (%v): %q; the client got %d %s", text, err, o, r.status, r.body))
			case got.Spec == nil || *got.Spec != sent:
				broken = append(broken, fmt.Sprintf("the client sent the spec %s; the minion is told another: %q; the client got %d %s", text, o, r.status, r.body))
			}
		}
		if len(orders) == 0 {
			d.record.add("order", "none for %s", id)
		}
	}
	return verdict{broken: broken}
}
