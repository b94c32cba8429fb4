package roster

import (
	"net/netip"
	"time"
)

// Member is the description of a process that the process itself sends in its heartbeats.
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

// Summary is the part of a Member that changes while the process runs.
type Summary struct {
	// Leaving says that the process is draining and accepts no new work.
	Leaving bool
	// Revision is the revision of the tables that the process serves.
	Revision uint64
	// Disk is the id of a voter's data folder; LogEmpty says that the folder holds no log yet.
	Disk     string
	LogEmpty bool
	// Founders maps the initial voters of the log to the ids of their data folders.
	Founders map[string]string
	// Free is the number of further tasks that this process could start at once, by pool.
	Free map[string]int
	// Demand is the rate of tasks requested here by teams with a rate limit, in tasks per second, by pool and team.
	Demand map[string]int
}

// Contact is a member's address, as it is passed on to other members.
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

// Status is the state of the failure detector for a peer.
type Status uint8

// The statuses. A peer that is known only from the contacts of others, without a heartbeat of its own, is Unconfirmed.
const (
	Unconfirmed Status = iota
	Alive
	Suspect
	Failed
)

// String returns the status as the HTTP interface shows it.
func (s Status) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[s]
}

// Peer is the local view of another process.
type Peer struct {
	Member Member
	Status Status
	// LastHeartbeat is when the last heartbeat or answer of the peer arrived or, if it is Unconfirmed, when it became
	// known. LastAck is when it last answered a heartbeat of this process.
	LastHeartbeat time.Time
	LastAck       time.Time
	// TimeoutFactor multiplies the timeouts SuspectAfter and FailureTimeout: 1 for members of the own failure domain.
	TimeoutFactor time.Duration
}

// Timing of heartbeats. A connection is replaced after two missed heartbeats, before its peer is suspected.
const (
	HeartbeatInterval = 400 * time.Millisecond
	// RemoteHeartbeatEvery is the number of intervals between heartbeats to members of other failure domains;
	// RemoteTimeoutFactor multiplies their timeouts accordingly.
	RemoteHeartbeatEvery = 4
	RemoteTimeoutFactor  = 3
	HeartbeatTimeout     = 500 * time.Millisecond
	SuspectAfter         = 1600 * time.Millisecond
	FailureTimeout       = 3200 * time.Millisecond
	ForgetAfter          = 10 * time.Minute
	// RemoteContacts is the number of members of other failure domains listed in a heartbeat.
	RemoteContacts = 4
	// PeersPerDomain is the number of members of each other failure domain that are sent heartbeats; it is one if there are
	// more than FullFanoutDomains other failure domains.
	PeersPerDomain    = 2
	FullFanoutDomains = 8
)
