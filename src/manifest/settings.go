package manifest

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"sesamecleat/src/chart"
	"sesamecleat/src/survey"
)

// Role is a duty of a process.
type Role string

// The roles a process can have.
const (
	// Entry serves callers, targets and operators.
	Entry Role = "entry"
	// State votes on the tables; it needs a data folder.
	State Role = "state"
)

// Placing is how an entry host chooses targets.
type Placing string

// The ways to choose targets; all but Shares are baselines to measure against.
const (
	Shares Placing = "shares"
	Random Placing = "random"
	Robin  Placing = "robin"
)

// Settings is everything one process learns from its file.
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
	Data      string
	Keys      []string
	Weight    int
	Placing   Placing
	Limits    Limits
}

// Limits bounds what one process takes on.
type Limits struct {
	// Body bounds a request body, in bytes.
	Body int
	// Connections bounds the open connections of callers, targets and operators.
	Connections int
	// Inflight bounds the requests in flight.
	Inflight int
	// Records bounds the submissions the ledger holds.
	Records int
	// Retention is how long the ledger keeps a finished submission.
	Retention time.Duration
	// Notice is how long readiness fails before a planned stop refuses new work.
	Notice time.Duration
	// Drain bounds how long a planned stop waits for work in flight.
	Drain time.Duration
	// Expiry is how long a target may stay silent.
	Expiry time.Duration
}

// Defaults of the limits.
const (
	DefaultBody        = 1 << 20 // bytes
	DefaultConnections = 16384
	DefaultInflight    = 16384
	DefaultRecords     = 1_000_000
	DefaultRetention   = 10 * time.Minute
	DefaultNotice      = time.Second
	DefaultDrain       = 30 * time.Second
	DefaultExpiry      = 6 * time.Second
	MaxWeight          = 1000
	keyLimit           = 256 // bytes
	pathLimit          = 4096
	minKey             = 16 // bytes
)

// New returns settings with every default set.
func New() Settings {
	return Settings{
		Weight:  1,
		Placing: Shares,
		Roles:   []Role{Entry},
		Limits: Limits{
			Body: DefaultBody, Connections: DefaultConnections, Inflight: DefaultInflight,
			Records: DefaultRecords, Retention: DefaultRetention, Notice: DefaultNotice,
			Drain: DefaultDrain, Expiry: DefaultExpiry,
		},
	}
}

// Has reports whether the process has the role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// Load reads a settings file; the error carries every finding.
func Load(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, survey.Error.Wrap(err)
	}
	return Parse(path, src)
}

// Parse reads settings from src; the error carries every finding under the name file.
func Parse(file string, src []byte) (Settings, error) {
	report := &survey.Report{}
	r := survey.NewReader(file, src, report)
	s := New()
	root, ok := r.Parse()
	if !ok {
		return s, report.Err()
	}
	r.Object(root, fields(r, &s), "name", "domain", "domains", "callers", "peers", "voters", "keys")
	if report.Err() == nil {
		relations(r, root, &s)
	}
	if !s.Advertise.IsValid() {
		s.Advertise = s.Peers
	}
	return s, report.Err()
}

func fields(r *survey.Reader, s *Settings) survey.Fields {
	return survey.Fields{
		"name":      name(r, &s.Name),
		"domain":    name(r, &s.Domain),
		"domains":   nameList(r, &s.Domains),
		"roles":     roleList(r, &s.Roles),
		"callers":   r.AddrPort(&s.Callers),
		"peers":     r.AddrPort(&s.Peers),
		"advertise": r.AddrPort(&s.Advertise),
		"contacts": r.Each(func(v *hujson.Value) {
			var a netip.AddrPort
			r.AddrPort(&a)(v)
			s.Contacts = append(s.Contacts, a)
		}),
		"voters":  nameList(r, &s.Voters),
		"data":    r.String(&s.Data, pathLimit),
		"keys":    keyList(r, &s.Keys),
		"weight":  r.Int(&s.Weight, 1, MaxWeight),
		"placing": placing(r, &s.Placing),
		"limits":  func(v *hujson.Value) { r.Object(v, limitFields(r, &s.Limits)) },
	}
}

func limitFields(r *survey.Reader, l *Limits) survey.Fields {
	return survey.Fields{
		"body":        r.Int(&l.Body, 1024, 64<<20),
		"connections": r.Int(&l.Connections, 16, 1_000_000),
		"inflight":    r.Int(&l.Inflight, 1, 1_000_000),
		"records":     r.Int(&l.Records, 16, 100_000_000),
		"retention":   r.Duration(&l.Retention, time.Second, 24*time.Hour),
		"notice":      r.Duration(&l.Notice, 0, time.Minute),
		"drain":       r.Duration(&l.Drain, 0, 10*time.Minute),
		"expiry":      r.Duration(&l.Expiry, time.Second, time.Minute),
	}
}

func name(r *survey.Reader, dst *string) survey.Field {
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

func nameList(r *survey.Reader, dst *[]string) survey.Field {
	return r.Each(func(v *hujson.Value) {
		var s string
		name(r, &s)(v)
		if slices.Contains(*dst, s) {
			r.Addf(v, "%q stands twice", s)
		}
		*dst = append(*dst, s)
	})
}

func roleList(r *survey.Reader, dst *[]Role) survey.Field {
	*dst = nil
	return r.Each(func(v *hujson.Value) {
		var s string
		r.String(&s, chart.NameLimit)(v)
		if s != string(Entry) && s != string(State) {
			r.Addf(v, "role %q is unknown; known are entry, state", s)
			return
		}
		*dst = append(*dst, Role(s))
	})
}

func placing(r *survey.Reader, dst *Placing) survey.Field {
	return func(v *hujson.Value) {
		var s string
		r.String(&s, chart.NameLimit)(v)
		p := Placing(s)
		if p != Shares && p != Random && p != Robin {
			r.Addf(v, "placing %q is unknown; known are shares, random, robin", s)
			return
		}
		*dst = p
	}
}

func keyList(r *survey.Reader, dst *[]string) survey.Field {
	return r.Each(func(v *hujson.Value) {
		var s string
		r.String(&s, keyLimit)(v)
		if len(s) < minKey {
			r.Addf(v, "a key of at least %d bytes is expected", minKey)
			return
		}
		*dst = append(*dst, s)
	})
}

func relations(r *survey.Reader, root *hujson.Value, s *Settings) {
	if !slices.Contains(s.Domains, s.Domain) {
		r.Addf(root, "domain %q is not among domains", s.Domain)
	}
	if len(s.Keys) == 0 {
		r.Addf(root, "keys is empty; processes prove themselves to each other with a common key")
	}
	if len(s.Voters)%2 == 0 {
		r.Addf(root, "voters names %d hosts; an odd number is expected", len(s.Voters))
	}
	if s.Has(State) && s.Data == "" {
		r.Addf(root, "role state needs a data folder: key \"data\" is missing")
	}
	if s.Has(State) != slices.Contains(s.Voters, s.Name) {
		r.Addf(root, "role state and voters disagree about %q", s.Name)
	}
	if len(s.Roles) == 0 {
		s.Roles = []Role{Entry}
	}
}
