package sesamecleat

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"sesamecleat/src/drill"
	"sesamecleat/src/jetty"
)

// tableCommand is one run of the route or pool command.
type tableCommand struct {
	*command
	o      *tableOptions
	client *drill.Client
	api    netip.AddrPort
	table  string
}

func runTable(c *command, route bool, args []string) int {
	o := c.tableFlags(route)
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	api, err := netip.ParseAddrPort(o.api)
	if err != nil {
		return c.usageError("-api: %v", err)
	}
	t := &tableCommand{command: c, o: o, client: drill.NewClient(), api: api, table: "pools"}
	if route {
		t.table = "routes"
	}
	return t.run(words)
}

func (t *tableCommand) run(words []string) int {
	verb := ""
	if len(words) > 0 {
		verb = words[0]
	}
	named := verb == "get" || verb == "put" || verb == "remove"
	if (named && len(words) != 2) || (!named && len(words) != 1) {
		return t.usageError("one of get NAME, list, put NAME, remove NAME, apply is expected")
	}
	switch verb {
	case "get":
		return t.get(words[1])
	case "list":
		return t.list()
	case "put":
		return t.put(words[1])
	case "remove":
		return t.edit("DELETE", words[1], nil)
	case "apply":
		return t.apply()
	}
	return t.usageError("%q is not one of get, list, put, remove, apply", verb)
}

func (t *tableCommand) path(name string) string {
	p := "/v1/" + t.table
	if name != "" {
		p += "/" + url.PathEscape(name)
	}
	if t.o.reliable {
		p += "?consistent=true"
	}
	return p
}

func (t *tableCommand) fetch(path string) (drill.Reply, int) {
	r := t.client.Do(t.api, drill.Call{Method: "GET", Path: path, Deadline: callTimeout})
	if !r.Answered {
		fmt.Fprintf(t.stderr, "sesamecleat: %s does not answer\n", t.api)
		return r, ExitFault
	}
	if r.Status != 200 {
		fmt.Fprintf(t.stderr, "sesamecleat: %s", r.Body)
		return r, ExitFault
	}
	return r, ExitOK
}

func (t *tableCommand) get(name string) int {
	r, code := t.fetch(t.path(name))
	if code == ExitOK {
		fmt.Fprintf(t.stdout, "%s", r.Body)
	}
	return code
}

type rowsReply struct {
	Revision uint64            `json:"revision"`
	Rows     []json.RawMessage `json:"rows"`
	Warnings []string          `json:"warnings"`
}

func (t *tableCommand) list() int {
	r, code := t.fetch(t.path(""))
	if code != ExitOK {
		return code
	}
	if t.o.json {
		fmt.Fprintf(t.stdout, "%s", r.Body)
		return ExitOK
	}
	var rows rowsReply
	if err := json.Unmarshal(r.Body, &rows); err != nil {
		fmt.Fprintf(t.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	fmt.Fprintf(t.stdout, "revision %d, %d rows\n", rows.Revision, len(rows.Rows))
	for _, row := range rows.Rows {
		fmt.Fprintf(t.stdout, "%s\n", row)
	}
	for _, w := range rows.Warnings {
		fmt.Fprintf(t.stdout, "warning: %s\n", w)
	}
	return ExitOK
}

func (t *tableCommand) put(name string) int {
	body, err := t.rowBody()
	if err != nil {
		fmt.Fprintf(t.stderr, "sesamecleat: %v\n", err)
		return ExitUsage
	}
	if t.table == "routes" {
		_, err = jetty.ParseRoute(t.source(), name, body)
	} else {
		_, err = jetty.ParsePool(t.source(), name, body)
	}
	if err != nil {
		fmt.Fprintln(t.stderr, plain(err))
		return ExitUsage
	}
	return t.edit("PUT", name, body)
}

func (t *tableCommand) source() string {
	if t.o.file == "" {
		return "options"
	}
	return t.o.file
}

// rowBody returns the row from the file, or from the options.
func (t *tableCommand) rowBody() ([]byte, error) {
	if t.o.file != "" {
		return t.read()
	}
	row := map[string]any{}
	set := func(name string, value any, given bool) {
		if given {
			row[name] = value
		}
	}
	o := t.o
	set("pool", o.pool, o.pool != "")
	set("timeout", o.timeout.String(), o.timeout != 0)
	set("once", true, o.once)
	set("spill", true, o.spill)
	set("tries", o.tries, t.table == "routes" && o.tries >= 0)
	set("cores", o.cores, t.table == "routes" && o.cores >= 0)
	set("memory", o.memory, t.table == "routes" && o.memory >= 0)
	set("accelerators", o.accels, t.table == "routes" && o.accels >= 0)
	set("ratio", o.ratio, o.ratio > 0)
	set("within", o.within, o.within > 0)
	set("whole", o.whole, o.whole > 0)
	set("slots", o.slots, t.table == "pools" && o.slots >= 0)
	set("queue", o.queue, t.table == "pools" && o.queue >= 0)
	return json.Marshal(row)
}

func (t *tableCommand) read() ([]byte, error) {
	if t.o.file == "-" {
		return io.ReadAll(t.stdin)
	}
	return os.ReadFile(t.o.file)
}

// edit sends one edit; while its fate is not known it is sent again under the same id.
func (t *tableCommand) edit(method, name string, body []byte) int {
	id := t.o.edit
	if id == "" {
		id = uuid.NewString()
	}
	headers := map[string]string{"Edit-Id": id, "Author": t.o.author}
	if t.o.match != "" {
		headers["If-Match"] = strconv.Quote(t.o.match)
	}
	if t.o.absent {
		headers["If-None-Match"] = "*"
	}
	path := "/v1/" + t.table + "/" + url.PathEscape(name)
	if t.o.wait > 0 {
		path += "?wait=" + t.o.wait.String()
	}
	var r drill.Reply
	for range editTries {
		r = t.client.Do(t.api, drill.Call{Method: method, Path: path, Body: body, Headers: headers, Deadline: callTimeout + t.o.wait})
		if r.Answered && r.Outcome != "unknown" {
			break
		}
	}
	return t.report(name, id, r)
}

const editTries = 3

func (t *tableCommand) report(name, id string, r drill.Reply) int {
	switch {
	case !r.Reached:
		fmt.Fprintf(t.stderr, "sesamecleat: %s cannot be reached; nothing was changed\n", t.api)
		return ExitFault
	case !r.Answered || r.Outcome == "unknown":
		fmt.Fprintf(t.stderr, "sesamecleat: the fate of the edit is not known; ask again with -edit %s\n", id)
		return ExitUnknown
	case r.Status == 412:
		fmt.Fprintf(t.stderr, "sesamecleat: the row is not as expected: %s", r.Body)
		return ExitConflict
	case r.Status == 400:
		fmt.Fprintf(t.stderr, "sesamecleat: %s", r.Body)
		return ExitUsage
	case r.Status != 200:
		fmt.Fprintf(t.stderr, "sesamecleat: %s", r.Body)
		return ExitFault
	}
	if t.o.json {
		fmt.Fprintf(t.stdout, "%s", r.Body)
		return ExitOK
	}
	var reply editReply
	if err := json.Unmarshal(r.Body, &reply); err != nil {
		fmt.Fprintf(t.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	fmt.Fprintf(t.stdout, "%s: revision %d\n", name, reply.Revision)
	if len(reply.InForce) > 0 {
		fmt.Fprintf(t.stdout, "in force at %s\n", strings.Join(reply.InForce, ", "))
	}
	if len(reply.Missing) > 0 {
		fmt.Fprintf(t.stdout, "not yet at %s\n", strings.Join(reply.Missing, ", "))
	}
	if len(reply.Away) > 0 {
		fmt.Fprintf(t.stdout, "out of reach: %s\n", strings.Join(reply.Away, ", "))
	}
	return ExitOK
}

// reader reads the options of a command that takes no words, and returns what fetches from the process at api.
func (c *command) reader(args []string, api *string) (t *tableCommand, code int, ok bool) {
	words, code, ok := c.parse(args)
	if !ok {
		return nil, code, false
	}
	addr, err := netip.ParseAddrPort(*api)
	if err != nil || len(words) > 0 {
		return nil, c.usageError("-api ADDRESS is expected"), false
	}
	return &tableCommand{command: c, o: &tableOptions{}, client: drill.NewClient(), api: addr}, ExitOK, true
}

func runStatus(c *command, args []string) int {
	api := c.flags.String("api", defaultAPI, "address of a process")
	t, code, ok := c.reader(args, api)
	if !ok {
		return code
	}
	r, code := t.fetch("/v1/status")
	if code == ExitOK {
		fmt.Fprintf(c.stdout, "%s", r.Body)
	}
	return code
}
