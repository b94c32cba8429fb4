package roster

import (
	"net/netip"
	"time"
)

// Member is one process as it describes itself.
type Member struct {
	Name        string
	Domain      string
	PeerAddr    netip.AddrPort
	CallerAddr  netip.AddrPort
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
	// Disk names the data folder of a voter; LogEmpty says that it holds no log yet.
	Disk     string
	LogEmpty bool
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
	PeerAddr    netip.AddrPort
	Incarnation uint64
}

// Heartbeat is a heartbeat or the answer to one.
type Heartbeat struct {
	From     Member
	Contacts []Contact
}

// Status is how far a member is trusted to be there.
type Status uint8

// The statuses, from never heard to dead.
const (
	Unconfirmed Status = iota
	Alive
	Suspect
	Failed
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[s]
}

// Peer is what this process knows of another one.
type Peer struct {
	Member Member
	Status Status
	// LastHeartbeat is when the peer was last heard, LastAck when it last answered.
	LastHeartbeat time.Time
	LastAck       time.Time
	// TimeoutFactor is how many times longer than a member of the own domain it may be silent.
	TimeoutFactor time.Duration
}

// Timing of heartbeats; a silent connection is replaced after two missed ones, before its peer is suspected.
const (
	HeartbeatInterval = 400 * time.Millisecond
	// RemoteHeartbeatEvery is how many intervals lie between the heartbeats to another failure domain, and
	// RemoteTimeoutFactor how many times longer its members may be silent.
	RemoteHeartbeatEvery = 4
	RemoteTimeoutFactor  = 3
	HeartbeatTimeout     = 500 * time.Millisecond
	SuspectAfter         = 1600 * time.Millisecond
	FailureTimeout       = 3200 * time.Millisecond
	ForgetAfter          = 10 * time.Minute
	// RemoteContacts is how many members of other failure domains a heartbeat names.
	RemoteContacts = 4
	// PeersPerDomain is how many members of each other failure domain are sent heartbeats; one only if there are more than
	// FullFanoutDomains others.
	PeersPerDomain    = 2
	FullFanoutDomains = 8
)
