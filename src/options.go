package sesamecleat

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"
)

const usage = `sesamecleat dispatches tasks under a second to targets that announce themselves.

usage: sesamecleat COMMAND [options]

commands:
  demo      run a whole system in this process, load it, check every promise
  serve     run one process of a system
  check     check a settings file and print every finding
  route     get, list, put, remove routes; apply a file of both tables
  pool      get, list, put, remove pools; apply a file of both tables
  load      load a running system with stand-ins of targets, check every promise
  burn      report how fast the service-level budgets burn
  state     show, verify, back up, restore the data folder of a stopped process
  capacity  measure how state and processor time grow with size
  trace     print one request's way through the logs of several processes
  status    print what a process tells of itself

Each command explains itself with -help. Exit codes: 0 all went well, 1 a fault or
a broken promise, 2 findings in the command line or a file, 3 the row is not as the
edit expected, 4 the fate of an edit is not known.
`

// command is one command of the program with what it was given.
type command struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	flags  *flag.FlagSet
}

func newCommand(name, synopsis string, stdin io.Reader, stdout, stderr io.Writer) *command {
	c := &command{stdin: stdin, stdout: stdout, stderr: stderr, flags: flag.NewFlagSet(name, flag.ContinueOnError)}
	c.flags.SetOutput(stderr)
	c.flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: sesamecleat %s\n\noptions:\n", synopsis)
		c.flags.PrintDefaults()
	}
	return c
}

// parse reads the options, which may stand before, between and behind the words.
func (c *command) parse(args []string) (words []string, code int, ok bool) {
	for {
		if err := c.flags.Parse(args); err != nil {
			if err == flag.ErrHelp {
				return nil, ExitOK, false
			}
			return nil, ExitUsage, false
		}
		rest := c.flags.Args()
		if len(rest) == 0 {
			return words, ExitOK, true
		}
		words = append(words, rest[0])
		args = rest[1:]
	}
}

func (c *command) usageError(format string, args ...any) int {
	fmt.Fprintf(c.stderr, "sesamecleat: "+format+"\n", args...)
	c.flags.Usage()
	return ExitUsage
}

// addrsValue reads a list of addresses separated by commas.
type addrsValue struct{ addrs []netip.AddrPort }

// String returns the addresses as they are written.
func (v *addrsValue) String() string {
	var out []string
	for _, a := range v.addrs {
		out = append(out, a.String())
	}
	return strings.Join(out, ",")
}

// Set replaces the addresses.
func (v *addrsValue) Set(text string) error {
	v.addrs = nil
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		v.addrs = append(v.addrs, a)
	}
	return nil
}

type demoOptions struct {
	faults bool
	seed   uint64
	rate   float64
	length time.Duration
	log    string
	json   bool
}

func (c *command) demoFlags() *demoOptions {
	o := &demoOptions{}
	c.flags.BoolVar(&o.faults, "faults", false, "bring about failures while the load runs")
	c.flags.Uint64Var(&o.seed, "seed", demoSeed, "seed of the load and the failures")
	c.flags.Float64Var(&o.rate, "rate", demoRate, "tasks a second")
	c.flags.DurationVar(&o.length, "for", demoLength, "how long the load runs")
	c.flags.StringVar(&o.log, "log", "", "file for the events of all processes")
	c.flags.BoolVar(&o.json, "json", false, "print the summary as JSON")
	return o
}

type loadOptions struct {
	entries  addrsValue
	minions  int
	slots    int
	speeds   string
	route    string
	pool     string
	rate     float64
	length   time.Duration
	seed     uint64
	minSize  time.Duration
	maxSize  time.Duration
	deadline time.Duration
	jobs     float64
	keys     float64
	once     float64
	again    float64
	tasks    int
	failing  int
	burst    float64
	burstAt  time.Duration
	burstFor time.Duration
	json     bool
}

func (c *command) loadFlags() *loadOptions {
	o := &loadOptions{}
	f := c.flags
	f.Var(&o.entries, "entries", "addresses of the entry hosts, separated by commas")
	f.IntVar(&o.minions, "minions", loadMinions, "stand-ins of targets to raise, spread over the failure domains")
	f.IntVar(&o.slots, "slots", demoSlots, "slots of each stand-in")
	f.StringVar(&o.speeds, "speeds", "1,2,4", "speeds of the stand-ins, taken in turn")
	f.StringVar(&o.route, "route", "load", "route to put and to use")
	f.StringVar(&o.pool, "pool", "load", "pool to put and to use")
	f.Float64Var(&o.rate, "rate", loadRate, "tasks a second")
	f.DurationVar(&o.length, "for", loadLength, "how long the load runs")
	f.Uint64Var(&o.seed, "seed", demoSeed, "seed of the load")
	f.DurationVar(&o.minSize, "min", demoMinSize, "least work of a task, as on a target of speed 1")
	f.DurationVar(&o.maxSize, "max", demoMaxSize, "most work of a task, as on a target of speed 1")
	f.DurationVar(&o.deadline, "deadline", loadDeadline, "deadline of each submission")
	f.Float64Var(&o.jobs, "jobs", 0, "share of submissions that are jobs")
	f.Float64Var(&o.keys, "keys", 0, "share of submissions that bear a key")
	f.Float64Var(&o.once, "once", 0, "share of requests that are marked non-idempotent")
	f.Float64Var(&o.again, "again", 0, "share of submissions with a key that are submitted twice at once")
	f.IntVar(&o.tasks, "tasks", demoJobTasks, "mean tasks of a job")
	f.IntVar(&o.failing, "failing", 0, "stand-ins that fail everything")
	f.Float64Var(&o.burst, "burst", 0, "factor of the rate during a burst; 0 means none")
	f.DurationVar(&o.burstAt, "burst-at", 0, "when the burst begins")
	f.DurationVar(&o.burstFor, "burst-for", 2*time.Second, "how long the burst lasts")
	f.BoolVar(&o.json, "json", false, "print the summary as JSON")
	return o
}

type tableOptions struct {
	api      string
	file     string
	match    string
	absent   bool
	edit     string
	author   string
	wait     time.Duration
	dry      bool
	json     bool
	pool     string
	timeout  time.Duration
	once     bool
	spill    bool
	tries    int
	cores    int
	memory   int64
	accels   int
	ratio    float64
	within   float64
	whole    float64
	slots    int
	queue    int
	reliable bool
}

func (c *command) tableFlags(route bool) *tableOptions {
	o := &tableOptions{}
	f := c.flags
	f.StringVar(&o.api, "api", defaultAPI, "address of an entry host")
	f.StringVar(&o.file, "file", "", "file with the row, or with both tables for apply; - for standard input")
	f.StringVar(&o.match, "match", "", "revision that the row must have")
	f.BoolVar(&o.absent, "new", false, "the row must not be there yet")
	f.StringVar(&o.edit, "edit", "", "id of the edit; the same id again gives the first answer")
	f.StringVar(&o.author, "author", "", "who makes the edit, for the history")
	f.DurationVar(&o.wait, "wait", 0, "wait until every reachable process serves the edit")
	f.BoolVar(&o.dry, "dry", false, "with apply: only print what would change")
	f.BoolVar(&o.json, "json", false, "print JSON")
	f.BoolVar(&o.reliable, "consistent", false, "with get and list: ask the state hosts for everything accepted before")
	if route {
		c.routeFlags(o)
	} else {
		f.IntVar(&o.slots, "slots", -1, "slots used of each target; 0 leaves it to the target")
		f.IntVar(&o.queue, "queue", -1, "requests that may wait at one entry host")
	}
	return o
}

func (c *command) routeFlags(o *tableOptions) {
	f := c.flags
	f.StringVar(&o.pool, "pool", "", "pool that serves the route")
	f.DurationVar(&o.timeout, "timeout", 0, "deadline of requests that bring none")
	f.BoolVar(&o.once, "once", false, "every request runs at most once")
	f.BoolVar(&o.spill, "spill", false, "requests may go to other failure domains")
	f.IntVar(&o.tries, "tries", -1, "how often an idempotent request is tried")
	f.IntVar(&o.cores, "cores", -1, "cores that one task takes of a worker")
	f.Int64Var(&o.memory, "memory", -1, "bytes that one task takes of a worker")
	f.Float64Var(&o.ratio, "ratio", 0, "objective: multiple of the ideal time that counts as in time")
	f.Float64Var(&o.within, "within", 0, "objective: share of whole answers that come in time")
	f.Float64Var(&o.whole, "whole", 0, "objective: share of requests that get a whole answer or a true refusal")
	f.IntVar(&o.accels, "accelerators", -1, "accelerators that one task takes of a worker")
}
