package flotilla

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"
)

// Claim says that a process plans the workers of a part of a domain; the claim with the highest token is valid.
type Claim struct {
	Part  string
	Token int64
}

// Member is the entry in which a process describes itself to the others.
type Member struct {
	Name        string
	Domain      string
	Address     netip.AddrPort
	Incarnation uint64
	// Dispatcher processes accept jobs and may plan; Registry processes store the configuration and the targets.
	Dispatcher bool
	Registry   bool
	// CPUMillis is the processor time the process may use, in thousandths of a core; 0 means unknown.
	CPUMillis int
	// SentAtMillis is the time at which the heartbeat was sent, in milliseconds since 1970 on the sender's clock. An
	// entry host returns it with an offer, which lets the planner recognize offers older than FailureTimeout.
	SentAtMillis int64
	// Disk names the data folder of a registry host; a new folder has a new name.
	Disk string
	// Leaving says that the process is about to stop.
	Leaving bool
	// ConfigVersion is the version of the configuration in force there; 0 means none.
	ConfigVersion uint64
	// TargetsRevision counts the changes to the process's list of targets; 0 means that it knows none.
	TargetsRevision uint64
	Claims          []Claim
	// FreeSlots is how many ordinary tasks could start at its workers at once, less those that wait; it may be
	// negative.
	FreeSlots int
	// Slots is how many ordinary tasks fit on all its workers together.
	Slots int
	// Digest is what its planner tells of its room, as convoy.EncodeDigest encodes it; empty where planners do not pool it.
	Digest []byte
	// WaitingJobs counts, by route, its jobs of which no task has started.
	WaitingJobs map[string]int
	// LateStarts holds the hashes of its planner's jobs of which a start may still be carried out.
	LateStarts []uint32
	// Frequent says that the process exchanges heartbeats at every HeartbeatInterval with its domain and all others that say so.
	Frequent bool
	// EntrySilence is how long a process that accepts no jobs has heard no entry host of its domain, in whole silenceSteps and at most
	// maxEntrySilence.
	EntrySilence time.Duration
	// DomainsRevision is the highest revision of operators' orders for failure domains that the process knows, EmptiedDomains the
	// domains that are emptied by it.
	DomainsRevision uint64
	EmptiedDomains  []string
}

// Undelivered is a planner, by the hash of its name, and the time of the oldest cancellation that it has not confirmed, in
// milliseconds since 1970 on the sender's clock.
type Undelivered struct {
	Planner     uint32
	SinceMillis int64
}

// Heartbeat is the message that processes send each other.
type Heartbeat struct {
	From   Member
	Notice Notice
	// Contacts are addresses of other processes.
	Contacts []netip.AddrPort
}

// Notice is the part of a heartbeat that is meant for its recipient alone.
type Notice struct {
	// Receives says that the sender receives the recipient's heartbeats.
	Receives bool
	// CountsOn says that the sender needs a heartbeat of the recipient at every HeartbeatInterval.
	CountsOn bool
	// Undelivered is a bound on the age of the sender's oldest cancellation that the recipient has not confirmed, and right after
	// a suspension of the sender on its beginning, as callers may have left since; a multiple of undeliveredStep, 0 if there is none.
	Undelivered time.Duration
	// LateStarts is the checksum of the late starts in the recipient's last heartbeat that the sender has received.
	LateStarts uint32
}

// Peer is what this process knows of another one.
type Peer struct {
	Member        Member
	LastHeartbeat time.Time
	// LastSent is when that heartbeat was sent, by the local clock; it is earlier than LastHeartbeat if the heartbeat was held
	// up on its way or this process was suspended. It is no later than the oldest cancellation for this process that is
	// undelivered, as its caller may be back before the cancellation is here.
	LastSent time.Time
	offset   clockOffset
	// near says that it and this process exchange heartbeats at every HeartbeatInterval, since nearSince, because it counts on
	// these (countsOnUs) or this process does.
	near, countsOnUs bool
	nearSince        time.Time
	// workUntil is until when this process counts on its heartbeats for the work between them, tellUntil until when it is told in
	// every heartbeat that it is distant now.
	workUntil, tellUntil time.Time
	// AliveSince is the time of its first heartbeat, or of the first one after it had failed.
	AliveSince time.Time
	Alive      bool
	// steadySince is since when no two of its heartbeats have been more than steadyGap apart.
	steadySince time.Time
	// NotReceiving says that the peer's heartbeats arrive but it does not receive those of this process.
	NotReceiving bool
	// lateStarts is the number of the last list of this process's late starts that the peer has confirmed.
	lateStarts uint64
}

// NameHash returns a 32-bit hash of a process's name.
func NameHash(name string) uint32 { return uint32(xxh3.HashString(name)) }

const (
	// HeartbeatInterval is the time between heartbeats; five fit into FailureTimeout.
	HeartbeatInterval = 200 * time.Millisecond
	// FailureTimeout is the silence after which a peer is marked failed. It is shorter than the longest lease of a
	// worker, so that another host can plan as soon as the leases have expired.
	FailureTimeout = 1000 * time.Millisecond
	// forgetAfter is how long heartbeats are still sent to a failed peer.
	forgetAfter = 60 * time.Second
	// failedPeerTicks is the interval, in regular heartbeats, at which a failed peer gets one: two fit into
	// settleAlone, so that a process that starts while its contacts are down is named to the others before it claims
	// what another one plans.
	failedPeerTicks = 2
	// settleWithPeers and settleAlone are how long a process listens before it claims a part, with and without live
	// peers: two and four heartbeats.
	settleWithPeers = 400 * time.Millisecond
	settleAlone     = 800 * time.Millisecond
	// foreignClaimDelay is how long a domain must be without an entry host before one of another domain plans there.
	foreignClaimDelay = 1500 * time.Millisecond
	// entryLossEvidence is how long another process of a domain must have been heard after its entry hosts for these to count as
	// lost: three heartbeats, as the last ones before a cut come up to one interval apart and may be lost.
	entryLossEvidence = 3 * HeartbeatInterval
	// silenceStep is the unit of what is told of silent entry hosts, maxEntrySilence the longest silence that is told.
	silenceStep     = 50 * time.Millisecond
	maxEntrySilence = 10 * time.Second
	// steadyGap is the longest time between two heartbeats of a process that counts as heard all the time: one may be lost.
	steadyGap = 5 * HeartbeatInterval / 2
	// reclaimDelay is how long an entry host must have run before it takes parts of its domain back from another host.
	reclaimDelay = 1500 * time.Millisecond
	// handoverTimeout bounds how long a leaving predecessor may hand over its workers one by one.
	handoverTimeout = 5 * time.Second
	// maxContacts is the number of addresses in a heartbeat within joinPeriod of a join, steadyContacts later.
	maxContacts    = 24
	steadyContacts = 2
	joinPeriod     = 3 * time.Second
	// TokenStep is the difference between two consecutive tokens of one process.
	TokenStep = 1 << tokenShift
	// tokenShift is the number of low bits of a token that hold a hash of the process's name; the rest is a time in
	// milliseconds.
	tokenShift = 12
)
