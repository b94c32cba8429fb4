package manifest

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"sesamecleat/src/chart"
	"sesamecleat/src/survey"
)

// Role is a function that a process performs; a process may have several.
type Role string

// The roles.
const (
	// Entry serves callers, targets and operators.
	Entry Role = "entry"
	// State takes part in the Raft group that stores the tables; it needs a data folder.
	State Role = "state"
	// Dispatch accepts jobs from callers and may act as planner of the workers of a failure domain.
	Dispatch Role = "dispatch"
	// Registry stores the operator's configuration and the register of targets; it needs a data folder.
	Registry Role = "registry"
)

// PlacementPolicy is how an entry host chooses targets.
type PlacementPolicy string

// The placement policies. Shares is the default; the others are baselines for measurements.
const (
	Shares     PlacementPolicy = "shares"
	Random     PlacementPolicy = "random"
	RoundRobin PlacementPolicy = "robin"
)

// Policy names the rules by which planners schedule jobs; an empty one is the default.
type Policy struct {
	// Order is "load" (default) or "urgency".
	Order string
	// Admission is "slots" (default) or "room".
	Admission string
	// Placement is "next" (default) or "ahead".
	Placement string
	// Pooling is what planners tell each other of their room: "slots" (default) or "room".
	Pooling string
}

// Settings is the content of a settings file; docs/OPERATIONS.md describes its keys.
type Settings struct {
	Name      string
	Domain    string
	Domains   []string
	Roles     []Role
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Advertise netip.AddrPort
	Contacts  []netip.AddrPort
	Voters    []string
	DataDir   string
	Keys      []string
	Weight    int
	Placement PlacementPolicy
	Limits    Limits
	Policy    Policy
	// Ready is the address where a dispatch process answers the load balancer's readiness checks.
	Ready netip.AddrPort
	// Control is the address where a registry process serves targets and operators.
	Control netip.AddrPort
	// Seeds are the control addresses of registry processes to contact first; they use the same port for peers.
	Seeds []netip.AddrPort
	// Bootstrap says that the whole system starts for the first time, with empty data folders.
	Bootstrap bool
	// ToleratedFailures is the number of registry hosts that may fail at the same time.
	ToleratedFailures int
	// Lease is the maximum lease that a worker grants to its planner.
	Lease time.Duration
	// StopTimeout is the maximum time that a worker takes to stop a run.
	StopTimeout time.Duration
	// CallerPause is how long a caller that got no answer waits before it submits its job again.
	CallerPause time.Duration
	// AnnounceInterval is the interval between announcements of a target.
	AnnounceInterval time.Duration
	// Metrics is the address where metrics are served, unless they are served at the callers' address.
	Metrics netip.AddrPort
}

// Limits bounds the load and the timing of a process.
type Limits struct {
	// Body is the maximum size of a request body, in bytes.
	Body int
	// Connections is the maximum number of open connections of callers, targets and operators.
	Connections int
	// Inflight is the maximum number of requests in flight.
	Inflight int
	// Records is the maximum number of submissions in the ledger.
	Records int
	// Retention is how long the ledger keeps a submission after it has finished.
	Retention time.Duration
	// ReadinessNotice is how long readiness checks fail before a graceful shutdown refuses new work, so that balancers
	// stop sending it.
	ReadinessNotice time.Duration
	// Drain is the maximum time that a graceful shutdown waits for work in flight.
	Drain time.Duration
	// Expiry is the time without an announcement after which a target is removed.
	Expiry time.Duration
	// CPUCores is the processor time available to the process, in cores; 0 means unknown.
	CPUCores float64
}

// Default values and bounds of settings.
const (
	DefaultBody             = 1 << 20 // bytes
	DefaultConnections      = 16384
	DefaultInflight         = 16384
	DefaultRecords          = 1_000_000
	DefaultRetention        = 10 * time.Minute
	DefaultReadinessNotice  = time.Second
	DefaultDrain            = 30 * time.Second
	DefaultExpiry           = 6 * time.Second
	DefaultLease            = time.Second
	DefaultStopTimeout      = 50 * time.Millisecond
	DefaultCallerPause      = 1300 * time.Millisecond
	DefaultAnnounceInterval = 2 * time.Second
	maxToleratedFailures    = 3
	MaxWeight               = 1000
	maxKeyLen               = 256 // bytes
	maxPathLen              = 4096
	minKeyLen               = 16 // bytes
)

// New returns settings with all defaults set.
func New() Settings {
	return Settings{
		Weight:            1,
		Placement:         Shares,
		Roles:             []Role{Entry},
		ToleratedFailures: 1,
		Lease:             DefaultLease,
		StopTimeout:       DefaultStopTimeout,
		CallerPause:       DefaultCallerPause,
		AnnounceInterval:  DefaultAnnounceInterval,
		Limits: Limits{
			Body: DefaultBody, Connections: DefaultConnections, Inflight: DefaultInflight,
			Records: DefaultRecords, Retention: DefaultRetention, ReadinessNotice: DefaultReadinessNotice,
			Drain: DefaultDrain, Expiry: DefaultExpiry,
		},
	}
}

// Has reports whether the process has the role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// Load reads and validates a settings file. The error lists all findings.
func Load(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, survey.Error.Wrap(err)
	}
	return Parse(path, src)
}

// Parse reads and validates settings from src. The error lists all findings, with file as their file name.
func Parse(file string, src []byte) (Settings, error) {
	report := &survey.Report{}
	r := survey.NewReader(file, src, report)
	s := New()
	root, ok := r.Parse()
	if !ok {
		return s, report.Err()
	}
	required := []string{"name", "domain", "domains", "peers", "keys"}
	if !containsRole(root, Dispatch, Registry) {
		required = append(required, "callers", "voters")
	}
	slices.Sort(required)
	r.Object(root, settingsFields(r, &s), required...)
	if report.Err() == nil {
		checkRelations(r, root, &s)
	}
	if !s.Advertise.IsValid() {
		s.Advertise = s.Peers
	}
	return s, report.Err()
}

// containsRole reports whether the key "roles" of the syntax tree contains one of the roles. Parse needs to know it
// before it decodes the settings, because the required keys depend on it.
func containsRole(root *hujson.Value, roles ...Role) bool {
	v := root.Find("/roles")
	if v == nil {
		return false
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		return false
	}
	return slices.ContainsFunc(list.Elements, func(e hujson.Value) bool {
		lit, ok := e.Value.(hujson.Literal)
		return ok && slices.Contains(roles, Role(lit.String()))
	})
}

func settingsFields(r *survey.Reader, s *Settings) survey.Fields {
	return survey.Fields{
		"name":      nameField(r, &s.Name),
		"domain":    nameField(r, &s.Domain),
		"domains":   nameListField(r, &s.Domains),
		"roles":     roleListField(r, &s.Roles),
		"callers":   r.AddrPort(&s.Callers),
		"peers":     r.AddrPort(&s.Peers),
		"advertise": r.AddrPort(&s.Advertise),
		"contacts": r.Array(func(v *hujson.Value) {
			var a netip.AddrPort
			r.AddrPort(&a)(v)
			s.Contacts = append(s.Contacts, a)
		}),
		"voters":  nameListField(r, &s.Voters),
		"data":    r.String(&s.DataDir, maxPathLen),
		"keys":    keyListField(r, &s.Keys),
		"weight":  r.Int(&s.Weight, 1, MaxWeight),
		"placing": placementField(r, &s.Placement),
		"limits":  func(v *hujson.Value) { r.Object(v, limitFields(r, &s.Limits)) },
		"policy":  func(v *hujson.Value) { r.Object(v, policyFields(r, &s.Policy)) },
		"ready":   r.AddrPort(&s.Ready),
		"control": r.AddrPort(&s.Control),
		"metrics": r.AddrPort(&s.Metrics),
		"seeds": r.Array(func(v *hujson.Value) {
			var a netip.AddrPort
			r.AddrPort(&a)(v)
			s.Seeds = append(s.Seeds, a)
		}),
		"founding": r.Bool(&s.Bootstrap),
		"survive":  r.Int(&s.ToleratedFailures, 0, maxToleratedFailures),
		"lease":    r.Duration(&s.Lease, 100*time.Millisecond, time.Minute),
		"stop":     r.Duration(&s.StopTimeout, time.Millisecond, time.Minute),
		"pause":    r.Duration(&s.CallerPause, 100*time.Millisecond, time.Minute),
		"beat":     r.Duration(&s.AnnounceInterval, 100*time.Millisecond, time.Minute),
	}
}

func policyFields(r *survey.Reader, p *Policy) survey.Fields {
	return survey.Fields{
		"order": choiceField(r, &p.Order, "load", "urgency"),
		"admit": choiceField(r, &p.Admission, "slots", "room"),
		"place": choiceField(r, &p.Placement, "next", "ahead"),
		"pool":  choiceField(r, &p.Pooling, "slots", "room"),
	}
}

// choiceField accepts one of several words.
func choiceField(r *survey.Reader, dst *string, known ...string) survey.Field {
	return func(v *hujson.Value) {
		var s string
		r.String(&s, chart.NameLimit)(v)
		if !slices.Contains(known, s) {
			r.Addf(v, "%q is unknown; known are %s", s, strings.Join(known, ", "))
			return
		}
		*dst = s
	}
}

func limitFields(r *survey.Reader, l *Limits) survey.Fields {
	return survey.Fields{
		"body":        r.Int(&l.Body, 1024, 64<<20),
		"connections": r.Int(&l.Connections, 16, 1_000_000),
		"inflight":    r.Int(&l.Inflight, 1, 1_000_000),
		"records":     r.Int(&l.Records, 16, 100_000_000),
		"retention":   r.Duration(&l.Retention, time.Second, 24*time.Hour),
		"notice":      r.Duration(&l.ReadinessNotice, 0, time.Minute),
		"drain":       r.Duration(&l.Drain, 0, 10*time.Minute),
		"processor":   r.Float(&l.CPUCores, 0, 1024),
		"expiry":      r.Duration(&l.Expiry, time.Second, time.Minute),
	}
}

func nameField(r *survey.Reader, dst *string) survey.Field {
	return func(v *hujson.Value) {
		var s string
		r.String(&s, chart.NameLimit)(v)
		if s != "" && !chart.ValidName(s) {
			r.Addf(v, "%q: lower-case letters, digits, dot, dash and underscore are expected", s)
			return
		}
		*dst = s
	}
}

func nameListField(r *survey.Reader, dst *[]string) survey.Field {
	return r.Array(func(v *hujson.Value) {
		var s string
		nameField(r, &s)(v)
		if slices.Contains(*dst, s) {
			r.Addf(v, "%q is listed twice", s)
		}
		*dst = append(*dst, s)
	})
}

func roleListField(r *survey.Reader, dst *[]Role) survey.Field {
	*dst = nil
	return r.Array(func(v *hujson.Value) {
		var s string
		r.String(&s, chart.NameLimit)(v)
		role := Role(s)
		if !slices.Contains([]Role{Entry, State, Dispatch, Registry}, role) {
			r.Addf(v, "role %q is unknown; known are entry, state, dispatch, registry", s)
			return
		}
		*dst = append(*dst, role)
	})
}

func placementField(r *survey.Reader, dst *PlacementPolicy) survey.Field {
	return func(v *hujson.Value) {
		var s string
		r.String(&s, chart.NameLimit)(v)
		p := PlacementPolicy(s)
		if p != Shares && p != Random && p != RoundRobin {
			r.Addf(v, "placing %q is unknown; known are shares, random, robin", s)
			return
		}
		*dst = p
	}
}

func keyListField(r *survey.Reader, dst *[]string) survey.Field {
	return r.Array(func(v *hujson.Value) {
		var s string
		r.String(&s, maxKeyLen)(v)
		if len(s) < minKeyLen {
			r.Addf(v, "a key of at least %d bytes is expected", minKeyLen)
			return
		}
		*dst = append(*dst, s)
	})
}

func checkRelations(r *survey.Reader, root *hujson.Value, s *Settings) {
	if !slices.Contains(s.Domains, s.Domain) {
		r.Addf(root, "domain %q is not among domains", s.Domain)
	}
	if len(s.Keys) == 0 {
		r.Addf(root, "keys is empty; processes authenticate each other with a common key")
	}
	if len(s.Roles) == 0 {
		s.Roles = []Role{Entry}
	}
	if s.Has(Dispatch) || s.Has(Registry) {
		checkJobRoleRelations(r, root, s)
		return
	}
	if len(s.Voters)%2 == 0 {
		r.Addf(root, "voters names %d hosts; an odd number is expected", len(s.Voters))
	}
	if s.Has(State) && s.DataDir == "" {
		r.Addf(root, "role state needs a data folder: key \"data\" is missing")
	}
	if s.Has(State) != slices.Contains(s.Voters, s.Name) {
		r.Addf(root, "role state and voters disagree about %q", s.Name)
	}
}

// checkJobRoleRelations checks the settings that the roles dispatch and registry require.
func checkJobRoleRelations(r *survey.Reader, root *hujson.Value, s *Settings) {
	if s.Has(Entry) || s.Has(State) {
		r.Addf(root, "roles dispatch and registry cannot be combined with entry and state in one process")
	}
	if s.Has(Dispatch) && !s.Callers.IsValid() {
		r.Addf(root, "role dispatch needs an address for callers: key \"callers\" is missing")
	}
	if s.Has(Dispatch) && !s.Ready.IsValid() {
		r.Addf(root, "role dispatch needs an address for the balancer: key \"ready\" is missing")
	}
	if s.Has(Registry) && !s.Control.IsValid() {
		r.Addf(root, "role registry needs an address for targets and operators: key \"control\" is missing")
	}
	if s.Has(Registry) && s.DataDir == "" {
		r.Addf(root, "role registry needs a data folder: key \"data\" is missing")
	}
	if len(s.Seeds) == 0 {
		r.Addf(root, "seeds is empty; a process finds the others through registry hosts")
	}
}
