package wharf

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"sesamecleat/src/pilot"
)

const (
	// replaceAfter is the silence after which a voter gives way to a learner; twice what an ordinary restart takes.
	replaceAfter = 4 * time.Second
	// dropAfter is the silence after which a learner is left out.
	dropAfter = 10 * time.Second
)

// diskName names a data folder by its host and a mark that is new with every folder.
func diskName(host netip.Addr, mark string) string { return host.String() + diskSeparator + mark }

// diskHost returns the host in the name of a data folder.
func diskHost(disk string) netip.Addr {
	host, _, _ := strings.Cut(disk, diskSeparator)
	addr, _ := netip.ParseAddr(host) // a name of another form belongs to no host
	return addr
}

const (
	diskSeparator = "+"
	// founderMark is the mark of the folders that the whole system starts with.
	founderMark = "founder"
)

// station is what the leader knows of a registry host, by its disk.
type station struct {
	disk   string
	domain string
	host   netip.Addr
	heard  time.Time
	alive  bool
}

// nextMembership returns the next membership of the registry hosts, one step at a time, or false if it is as it should
// be. A disk whose host now shows another one is lost for good and is removed first; a voter that stays silent gives
// way once a learner is there.
func nextMembership(now time.Time, self string, c pilot.Config, known map[string]station, wanted int) (pilot.Config, bool) {
	if lost := lostDisk(self, c.Voters, known); lost != "" && len(c.Voters) > 1 {
		return pilot.Config{Voters: without(c.Voters, lost), Learners: c.Learners}, true
	}
	if disk := unknownDisk(c, known); disk != "" {
		return pilot.Config{Voters: c.Voters, Learners: append(slices.Clone(c.Learners), disk)}, true
	}
	for _, disk := range c.Learners {
		s, ok := known[disk]
		if !ok || replaced(s, known) || now.Sub(s.heard) > dropAfter {
			return pilot.Config{Voters: c.Voters, Learners: without(c.Learners, disk)}, true
		}
	}
	learner := bestLearner(c, known)
	if learner == "" {
		return pilot.Config{}, false
	}
	if len(c.Voters) < wanted {
		voters := append(slices.Clone(c.Voters), learner)
		slices.Sort(voters)
		return pilot.Config{Voters: voters, Learners: without(c.Learners, learner)}, true
	}
	if silent := silentVoter(now, self, c, known); silent != "" {
		return pilot.Config{Voters: without(c.Voters, silent), Learners: c.Learners}, true
	}
	return pilot.Config{}, false
}

// replaced reports whether another disk is now at the host of this one.
func replaced(s station, known map[string]station) bool {
	for _, other := range known {
		if other.disk != s.disk && other.host == s.host && other.alive && other.heard.After(s.heard) {
			return true
		}
	}
	return false
}

func lostDisk(self string, voters []string, known map[string]station) string {
	for _, disk := range voters {
		if s, ok := known[disk]; ok && disk != self && !s.alive && replaced(s, known) {
			return disk
		}
	}
	return ""
}

func unknownDisk(c pilot.Config, known map[string]station) string {
	var out []string
	for disk, s := range known {
		if s.alive && !slices.Contains(c.Voters, disk) && !slices.Contains(c.Learners, disk) {
			out = append(out, disk)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return slices.Min(out)
}

// bestLearner returns a live learner of the domain with the fewest live voters.
func bestLearner(c pilot.Config, known map[string]station) string {
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

// silentVoter returns a voter that has been silent for long, if the others are a majority without it.
func silentVoter(now time.Time, self string, c pilot.Config, known map[string]station) string {
	alive := 0
	silent := ""
	for _, disk := range c.Voters {
		s, ok := known[disk]
		switch {
		case disk == self || (ok && s.alive):
			alive++
		case ok && now.Sub(s.heard) > replaceAfter:
			silent = disk
		}
	}
	if alive < (len(c.Voters)-1)/2+1 {
		return ""
	}
	return silent
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
