package chart

import (
	"sort"
	"time"
)

// Limits of the history kept with the tables.
const (
	// ResultLimit is the number of edits whose results are kept for repeated edits.
	ResultLimit = 4096
	// RecentLimit is the number of recent entries kept at least, so that followers can catch up without a snapshot.
	RecentLimit = 2048
)

// Entry is an applied change and the revision that it created.
type Entry struct {
	Revision uint64
	Author   string
	At       time.Time
	Change   Change
}

// Tables holds the route and pool tables and the ledger views. It is not safe for concurrent use.
type Tables struct {
	revision    uint64
	routes      map[string]RouteRow
	pools       map[string]PoolRow
	views       map[Shard]View
	results     map[string]Result
	resultOrder []string
	recent      []Entry
}

// NewTables returns empty tables with revision 0.
func NewTables() *Tables {
	return &Tables{
		routes:  make(map[string]RouteRow),
		pools:   make(map[string]PoolRow),
		views:   make(map[Shard]View),
		results: make(map[string]Result),
	}
}

// Revision returns the revision of the last accepted edit.
func (t *Tables) Revision() uint64 { return t.revision }

// Route returns the row of a route.
func (t *Tables) Route(name string) (RouteRow, bool) {
	row, ok := t.routes[name]
	return row, ok
}

// Pool returns the row of a pool.
func (t *Tables) Pool(name string) (PoolRow, bool) {
	row, ok := t.pools[name]
	return row, ok
}

// View returns the view of a ledger shard.
func (t *Tables) View(s Shard) (View, bool) {
	v, ok := t.views[s]
	return v, ok
}

// Routes returns all routes by name.
func (t *Tables) Routes() []RouteRow {
	out := make([]RouteRow, 0, len(t.routes))
	for _, row := range t.routes {
		out = append(out, row)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Route.Name < out[j].Route.Name })
	return out
}

// Pools returns all pools by name.
func (t *Tables) Pools() []PoolRow {
	out := make([]PoolRow, 0, len(t.pools))
	for _, row := range t.pools {
		out = append(out, row)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool.Name < out[j].Pool.Name })
	return out
}

// Apply applies an edit, or returns the first result if an edit with the same ID was applied before.
func (t *Tables) Apply(e Edit) Result {
	if old, ok := t.results[e.ID]; ok {
		return old
	}
	res := t.checkEdit(e)
	res.ID = e.ID
	if res.Status == Accepted {
		t.revision++
		res.Revision = t.revision
		t.applyChange(Entry{Revision: t.revision, Author: e.Author, At: e.At, Change: e.Change})
	}
	t.rememberResult(res)
	return res
}

// ApplyEntry applies an entry of another process; it returns false if the entry is not the next revision.
func (t *Tables) ApplyEntry(e Entry) bool {
	if e.Revision != t.revision+1 {
		return false
	}
	t.revision = e.Revision
	t.applyChange(e)
	return true
}

// EntriesSince returns the entries after a revision, or false if some of them are no longer kept.
func (t *Tables) EntriesSince(revision uint64) ([]Entry, bool) {
	if revision >= t.revision {
		return nil, revision == t.revision
	}
	missing := t.revision - revision
	if missing > uint64(len(t.recent)) {
		return nil, false
	}
	return append([]Entry(nil), t.recent[uint64(len(t.recent))-missing:]...), true
}

// Recent returns the entries that are kept, oldest first.
func (t *Tables) Recent() []Entry { return append([]Entry(nil), t.recent...) }

// Warnings returns a message for each route whose pool does not exist.
func (t *Tables) Warnings() []string {
	var out []string
	for _, row := range t.Routes() {
		if _, ok := t.pools[row.Route.Pool]; !ok {
			out = append(out, "route "+row.Route.Name+" names pool "+row.Route.Pool+", which is not there")
		}
	}
	return out
}

func (t *Tables) checkEdit(e Edit) Result {
	switch c := e.Change.(type) {
	case PutRoute:
		return t.checkPut(e.Match, c.Route.Validate(), t.routes[c.Route.Name].Revision)
	case PutPool:
		return t.checkPut(e.Match, c.Pool.Validate(), t.pools[c.Pool.Name].Revision)
	case RemoveRoute:
		return checkRemove(e.Match, t.routes[c.Name].Revision)
	case RemovePool:
		return checkRemove(e.Match, t.pools[c.Name].Revision)
	case SetView:
		return t.checkView(c)
	}
	return Result{Status: Invalid, Findings: []string{"the edit changes nothing"}}
}

func (t *Tables) checkPut(m Match, findings []string, current uint64) Result {
	if len(findings) > 0 {
		return Result{Status: Invalid, Findings: findings}
	}
	if !m.matches(current) {
		return Result{Status: Conflict, Revision: current}
	}
	return Result{Status: Accepted}
}

func checkRemove(m Match, current uint64) Result {
	if current == 0 {
		return Result{Status: RowNotFound}
	}
	if !m.matches(current) {
		return Result{Status: Conflict, Revision: current}
	}
	return Result{Status: Accepted}
}

func (t *Tables) checkView(c SetView) Result {
	current := t.views[c.Shard]
	if current.Epoch != c.ExpectedEpoch || c.View.Epoch != c.ExpectedEpoch+1 {
		return Result{Status: Conflict, Revision: current.Epoch}
	}
	return Result{Status: Accepted}
}

func (m Match) matches(current uint64) bool {
	switch m.Kind {
	case MatchAbsent:
		return current == 0
	case MatchRevision:
		return current == m.Revision
	default:
		return true
	}
}

func (t *Tables) applyChange(e Entry) {
	switch c := e.Change.(type) {
	case PutRoute:
		t.routes[c.Route.Name] = RouteRow{Route: c.Route, Revision: e.Revision, Author: e.Author, At: e.At}
	case PutPool:
		t.pools[c.Pool.Name] = PoolRow{Pool: c.Pool, Revision: e.Revision, Author: e.Author, At: e.At}
	case RemoveRoute:
		delete(t.routes, c.Name)
	case RemovePool:
		delete(t.pools, c.Name)
	case SetView:
		t.views[c.Shard] = c.View
	}
	t.recent = append(t.recent, e)
	if len(t.recent) > 2*RecentLimit {
		t.recent = append([]Entry(nil), t.recent[len(t.recent)-RecentLimit:]...)
	}
}

func (t *Tables) rememberResult(r Result) {
	if r.ID == "" {
		return
	}
	t.results[r.ID] = r
	t.resultOrder = append(t.resultOrder, r.ID)
	if len(t.resultOrder) <= ResultLimit {
		return
	}
	delete(t.results, t.resultOrder[0])
	t.resultOrder = t.resultOrder[1:]
}
