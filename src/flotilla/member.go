package flotilla

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"
)

// Claim says that a process plans the workers of a part of a domain; the claim with the highest token counts.
type Claim struct {
	Part  string
	Token int64
}

// Member is one process as it describes itself.
type Member struct {
	Name        string
	Domain      string
	Address     netip.AddrPort
	Incarnation uint64
	// Dispatcher processes take jobs in and may plan; Registry processes hold the configuration and the targets.
	Dispatcher bool
	Registry   bool
	// CPUMillis is the processor time it may use, in thousandths of a core; 0 means that it is not told.
	CPUMillis int
	// SentAtMillis is the time of day at the process when it sent this, in milliseconds since 1970; whoever offers it a
	// job sends it back, so that the process knows offers that are older than the silence after which it is given up.
	SentAtMillis int64
	// Disk names the data folder of a registry host since it was made.
	Disk string
	// Leaving says that the process will end.
	Leaving bool
	// ConfigVersion is the version of the configuration it holds; 0 means none.
	ConfigVersion uint64
	// TargetsRevision counts the changes of what it knows of targets; 0 means that it knows none.
	TargetsRevision uint64
	Claims          []Claim
	// FreeSlots is how many ordinary tasks could start at its workers at once, less those that wait.
	FreeSlots int
	// Slots is how many ordinary tasks fit on all its workers.
	Slots int
	// WaitingJobs counts, by route, its jobs of which no task has started.
	WaitingJobs map[string]int
}

// Heartbeat is what processes send each other.
type Heartbeat struct {
	From Member
	// ReceivesFrom holds the marks of the processes that the sender hears.
	ReceivesFrom []uint32
	// Contacts are addresses of other processes.
	Contacts []netip.AddrPort
}

// Peer is what this process knows of another one.
type Peer struct {
	Member        Member
	LastHeartbeat time.Time
	// AliveSince is when it was first heard after a silence.
	AliveSince time.Time
	Alive      bool
	// NotReceiving says that the peer is heard but does not hear this process.
	NotReceiving bool
}

// NameHash returns a short mark of a process's name.
func NameHash(name string) uint32 { return uint32(xxh3.HashString(name)) }

const (
	// HeartbeatInterval is the pause between beats; five fit into the silence after which a peer is taken for lost.
	HeartbeatInterval = 200 * time.Millisecond
	// FailureTimeout is the silence after which a peer is taken for lost; below the longest lease of a worker, so that
	// another host can plan as soon as the leases have run out.
	FailureTimeout = 1000 * time.Millisecond
	// forgetAfter is how long a lost peer is still sent beats.
	forgetAfter = 60 * time.Second
	// lostEvery is how many rounds of beats pass between two to a lost peer: two fit into settleAlone, so that a process
	// that starts while its contacts are gone is named to the others before it claims what another one plans.
	lostEvery = 2
	// settleHeard and settleAlone are how long a process listens before it claims a domain, with others in reach and
	// without; two beats, and four.
	settleHeard = 400 * time.Millisecond
	settleAlone = 800 * time.Millisecond
	// foreignAfter is how long a domain may be without an entry host before one of another domain plans there.
	foreignAfter = 1500 * time.Millisecond
	// returnAfter is how long an entry host must be heard before it takes its domain back from another one.
	returnAfter = 1500 * time.Millisecond
	// handoverLimit bounds how long a predecessor that leaves may hand workers over one by one.
	handoverLimit = 5 * time.Second
	// contactLimit bounds the addresses in one beat.
	contactLimit = 24
	// tokenShift leaves room for a mark of the process below the time in a token.
	tokenShift = 12
)
