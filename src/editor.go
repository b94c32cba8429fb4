package sesamecleat

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"sesamecleat/src/drill"
)

// tableEditor edits the tables over HTTP and remembers what was accepted.
type tableEditor struct {
	client *drill.Client
	api    netip.AddrPort
	author string

	mu       sync.Mutex
	accepted uint64
	edits    int
}

type editReply struct {
	Edit     string   `json:"edit"`
	Revision uint64   `json:"revision"`
	InForce  []string `json:"inforce"`
	Missing  []string `json:"missing"`
	Away     []string `json:"away"`
}

const (
	loadTimeout = "10s"
	editWait    = "10s"
	scratchPool = "scratch"
)

// putBoth puts a route and its pool, and waits until every process serves them.
func (e *tableEditor) putBoth(route, pool string) error {
	if err := e.put("/v1/pools/"+pool, `{}`); err != nil {
		return err
	}
	return e.put("/v1/routes/"+route, fmt.Sprintf(`{"pool": %q, "timeout": %q}`, pool, loadTimeout))
}

func (e *tableEditor) put(path, body string) error {
	limit := time.Now().Add(demoReady)
	for {
		r := e.client.Do(e.api, drill.Call{
			Method: "PUT", Path: path + "?wait=" + editWait, Body: []byte(body), Deadline: callTimeout,
			Headers: map[string]string{"Author": e.author},
		})
		if r.Status == 200 {
			return e.note(r.Body)
		}
		starting := r.Code == "no-leader" || r.Code == "no-tables"
		if time.Now().After(limit) || !starting {
			return drill.Error.New("%s was not accepted: %d %s", path, r.Status, r.Body)
		}
		time.Sleep(demoSettlePoll)
	}
}

func (e *tableEditor) note(body []byte) error {
	var reply editReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return drill.Error.Wrap(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = max(e.accepted, reply.Revision)
	return nil
}

// edit changes a pool that nothing uses; what is not accepted is left alone.
func (e *tableEditor) edit() {
	e.mu.Lock()
	e.edits++
	body := fmt.Sprintf(`{"queue": %d}`, e.edits)
	e.mu.Unlock()
	r := e.client.Do(e.api, drill.Call{
		Method: "PUT", Path: "/v1/pools/" + scratchPool, Body: []byte(body), Deadline: callTimeout,
		Headers: map[string]string{"Author": e.author},
	})
	if r.Status == 200 {
		_ = e.note(r.Body) // an answer that cannot be read counts as not accepted
	}
}

// missing counts the processes that do not serve the newest accepted edit.
func (e *tableEditor) missing(client *drill.Client, entries []drill.Entry) int {
	e.mu.Lock()
	accepted := e.accepted
	e.mu.Unlock()
	n := 0
	for _, entry := range entries {
		if s, ok := client.Status(entry.Addr); !ok || s.Revision < accepted {
			n++
		}
	}
	return n
}
