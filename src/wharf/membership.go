package wharf

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"sesamecleat/src/pilot"
)

const (
	// replaceVoterAfter is the silence after which a voter is replaced by a learner; an ordinary restart takes half of
	// it.
	replaceVoterAfter = 4 * time.Second
	// removeLearnerAfter is the silence after which a learner is removed.
	removeLearnerAfter = 10 * time.Second
)

// diskName names a data folder by its host and a suffix that is new for every folder.
func diskName(host netip.Addr, suffix string) string { return host.String() + diskSeparator + suffix }

// diskHost returns the host in the name of a data folder.
func diskHost(disk string) netip.Addr {
	host, _, _ := strings.Cut(disk, diskSeparator)
	addr, _ := netip.ParseAddr(host) // a name in another format belongs to no host
	return addr
}

const (
	diskSeparator = "+"
	// founderSuffix is the suffix of the folders that the system is founded with.
	founderSuffix = "founder"
)

// registryHost is what the leader knows of a registry host, by its disk.
type registryHost struct {
	disk     string
	domain   string
	host     netip.Addr
	lastSeen time.Time
	alive    bool
}

// nextMembership returns the next membership of the group, one change at a time, or false if no change is needed. A
// disk whose host now has another one is lost for good and removed first; a voter that stays silent is removed once a
// learner can replace it.
func nextMembership(now time.Time, self string, c pilot.Config, known map[string]registryHost, wantedVoters int) (pilot.Config, bool) {
	if replaced := replacedVoter(self, c.Voters, known); replaced != "" && len(c.Voters) > 1 {
		return pilot.Config{Voters: without(c.Voters, replaced), Learners: c.Learners}, true
	}
	if disk := unlistedDisk(c, known); disk != "" {
		return pilot.Config{Voters: c.Voters, Learners: append(slices.Clone(c.Learners), disk)}, true
	}
	for _, disk := range c.Learners {
		s, ok := known[disk]
		if !ok || diskReplaced(s, known) || now.Sub(s.lastSeen) > removeLearnerAfter {
			return pilot.Config{Voters: c.Voters, Learners: without(c.Learners, disk)}, true
		}
	}
	learner := bestLearner(c, known)
	if learner == "" {
		return pilot.Config{}, false
	}
	if len(c.Voters) < wantedVoters {
		voters := append(slices.Clone(c.Voters), learner)
		slices.Sort(voters)
		return pilot.Config{Voters: voters, Learners: without(c.Learners, learner)}, true
	}
	if failed := failedVoter(now, self, c, known); failed != "" {
		return pilot.Config{Voters: without(c.Voters, failed), Learners: c.Learners}, true
	}
	return pilot.Config{}, false
}

// diskReplaced reports whether the host of a disk has another disk now.
func diskReplaced(s registryHost, known map[string]registryHost) bool {
	for _, other := range known {
		if other.disk != s.disk && other.host == s.host && other.alive && other.lastSeen.After(s.lastSeen) {
			return true
		}
	}
	return false
}

func replacedVoter(self string, voters []string, known map[string]registryHost) string {
	for _, disk := range voters {
		if s, ok := known[disk]; ok && disk != self && !s.alive && diskReplaced(s, known) {
			return disk
		}
	}
	return ""
}

func unlistedDisk(c pilot.Config, known map[string]registryHost) string {
	var disks []string
	for disk, s := range known {
		if s.alive && !slices.Contains(c.Voters, disk) && !slices.Contains(c.Learners, disk) {
			disks = append(disks, disk)
		}
	}
	if len(disks) == 0 {
		return ""
	}
	return slices.Min(disks)
}

// bestLearner returns a live learner in the domain with the fewest live voters.
func bestLearner(c pilot.Config, known map[string]registryHost) string {
	perDomain := make(map[string]int)
	for _, disk := range c.Voters {
		if s := known[disk]; s.alive {
			perDomain[s.domain]++
		}
	}
	best := ""
	for _, disk := range c.Learners {
		s := known[disk]
		if s.alive && (best == "" || perDomain[s.domain] < perDomain[known[best].domain]) {
			best = disk
		}
	}
	return best
}

// failedVoter returns a voter that has been silent for replaceVoterAfter, provided that the live voters form a majority
// of the rest.
func failedVoter(now time.Time, self string, c pilot.Config, known map[string]registryHost) string {
	alive := 0
	failed := ""
	for _, disk := range c.Voters {
		s, ok := known[disk]
		switch {
		case disk == self || (ok && s.alive):
			alive++
		case ok && now.Sub(s.lastSeen) > replaceVoterAfter:
			failed = disk
		}
	}
	if alive < (len(c.Voters)-1)/2+1 {
		return ""
	}
	return failed
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
