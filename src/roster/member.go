package roster

import (
	"net/netip"
	"time"
)

// Member is one process as it describes itself.
type Member struct {
	Name        string
	Domain      string
	Peers       netip.AddrPort
	Callers     netip.AddrPort
	Incarnation uint64
	Weight      int
	Entry       bool
	Voter       bool
	Summary     Summary
}

// Summary is the part of a member that changes from heartbeat to heartbeat.
type Summary struct {
	// Leaving says that the process takes no new work.
	Leaving bool
	// Revision is the revision of the tables it serves.
	Revision uint64
	// Disk names the data folder of a voter; Blank says that it holds no log yet.
	Disk  string
	Blank bool
	// Founders maps the voters a first log was founded with to their disks.
	Founders map[string]string
	// Free is how many more tasks each pool could start here at once.
	Free map[string]int
	// Demand is what teams with a limit ask for here, in tasks a second, by pool and team.
	Demand map[string]int
}

// Contact is where a member can be found.
type Contact struct {
	Name        string
	Domain      string
	Peers       netip.AddrPort
	Incarnation uint64
}

// Beat is a heartbeat or the answer to one.
type Beat struct {
	From     Member
	Contacts []Contact
}

// Status is how far a member is trusted to be there.
type Status uint8

// The statuses, from never heard to dead.
const (
	Unheard Status = iota
	Alive
	Suspect
	Dead
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[s]
}

// Peer is what this process knows of another one.
type Peer struct {
	Member Member
	Status Status
	// Heard is when the peer was last heard, Acked when it last answered.
	Heard time.Time
	Acked time.Time
	// Patience is how many times longer than a member of the own domain it may be silent.
	Patience time.Duration
}

// Timing of heartbeats; a silent connection is replaced after two missed ones, before its peer is suspected.
const (
	BeatInterval = 400 * time.Millisecond
	// FarEvery is how many intervals lie between the heartbeats to another failure domain, and FarPatience how many
	// times longer its members may be silent.
	FarEvery     = 4
	FarPatience  = 3
	BeatTimeout  = 500 * time.Millisecond
	SuspectAfter = 1600 * time.Millisecond
	DeadAfter    = 3200 * time.Millisecond
	ForgetAfter  = 10 * time.Minute
	// FarContacts is how many members of other failure domains a heartbeat names.
	FarContacts = 4
	// PerDomain is how many members of each other failure domain are sent heartbeats; one only if there are more than
	// FewDomains others.
	PerDomain  = 2
	FewDomains = 8
)
