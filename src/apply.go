package sesamecleat

import (
	"encoding/json"
	"fmt"
	"sort"

	"sesamecleat/src/chart"
	"sesamecleat/src/jetty"
)

// difference is one row that a file changes.
type difference struct {
	table string
	verb  string
	name  string
	body  []byte
	match string
}

// apply makes both tables as a file has them; rows that the file does not name are removed.
func (t *tableCommand) apply() int {
	if t.o.file == "" {
		return t.usageError("apply takes -file FILE")
	}
	src, err := t.read()
	if err != nil {
		fmt.Fprintf(t.stderr, "sesamecleat: %v\n", err)
		return ExitUsage
	}
	routes, pools, err := jetty.ParseTables(t.o.file, src)
	if err != nil {
		fmt.Fprintln(t.stderr, plain(err))
		return ExitUsage
	}
	diffs, code := t.differences(routes, pools)
	if code != ExitOK {
		return code
	}
	for _, d := range diffs {
		fmt.Fprintf(t.stdout, "%s %s %s\n", d.verb, d.table, d.name)
		if t.o.dry {
			continue
		}
		if code := t.applyOne(d); code != ExitOK {
			return code
		}
	}
	if len(diffs) == 0 {
		fmt.Fprintln(t.stdout, "nothing changes")
	}
	return ExitOK
}

func (t *tableCommand) applyOne(d difference) int {
	one := *t
	options := *t.o
	options.match = d.match
	options.absent = d.match == ""
	options.edit = ""
	one.o = &options
	one.table = d.table
	if d.verb == "remove" {
		return one.edit("DELETE", d.name, nil)
	}
	return one.edit("PUT", d.name, d.body)
}

type tableRow struct {
	Revision uint64          `json:"revision"`
	Route    json.RawMessage `json:"route"`
	Pool     json.RawMessage `json:"pool"`
}

type tableRows struct {
	Rows []tableRow `json:"rows"`
}

// differences compares the file with the tables: pools come before the routes that need them.
func (t *tableCommand) differences(routes []chart.Route, pools []chart.Pool) ([]difference, int) {
	wantPools := make(map[string][]byte)
	for _, p := range pools {
		wantPools[p.Name] = jetty.EncodePool(p)
	}
	wantRoutes := make(map[string][]byte)
	for _, r := range routes {
		wantRoutes[r.Name] = jetty.EncodeRoute(r)
	}
	out, code := t.compare("pools", wantPools)
	if code != ExitOK {
		return nil, code
	}
	more, code := t.compare("routes", wantRoutes)
	return append(out, more...), code
}

func (t *tableCommand) compare(table string, want map[string][]byte) ([]difference, int) {
	r, code := t.fetch("/v1/" + table + "?consistent=true")
	if code != ExitOK {
		return nil, code
	}
	var have tableRows
	if err := json.Unmarshal(r.Body, &have); err != nil {
		fmt.Fprintf(t.stderr, "sesamecleat: %v\n", err)
		return nil, ExitFault
	}
	var out []difference
	for _, row := range have.Rows {
		body := row.Route
		if table == "pools" {
			body = row.Pool
		}
		name := nameOf(body)
		match := fmt.Sprint(row.Revision)
		wanted, ok := want[name]
		switch {
		case !ok:
			out = append(out, difference{table: table, verb: "remove", name: name, match: match})
		case string(wanted) != string(body):
			out = append(out, difference{table: table, verb: "change", name: name, body: wanted, match: match})
		}
		delete(want, name)
	}
	for name, body := range want {
		out = append(out, difference{table: table, verb: "create", name: name, body: body})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out, ExitOK
}

func nameOf(row []byte) string {
	var named struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(row, &named) // a row without a name has the empty one
	return named.Name
}
