package wharf

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"sesamecleat/src/pilot"
)

const (
	// replaceVoterAfter is the silence after which a voter is replaced by a learner; an ordinary restart takes less, and the next
	// host may be lost as soon as the learner's has been there for the users' catch-up time, 4 s.
	replaceVoterAfter = 3 * time.Second
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
	// laterSuffix begins the suffix of the folders that came later, and is followed by their birth.
	laterSuffix = "t"
)

// laterDiskSuffix returns the suffix of a folder that begins now, in a system that exists already.
func laterDiskSuffix(now time.Time) string {
	return laterSuffix + strconv.FormatInt(now.UnixMilli(), 16) + "-" + uuid.NewString()[:8]
}

// diskBirth returns when a data folder began, in milliseconds since 1970, and 0 for those that began with the system.
func diskBirth(disk string) int64 {
	_, suffix, _ := strings.Cut(disk, diskSeparator)
	birth, _, ok := strings.Cut(strings.TrimPrefix(suffix, laterSuffix), "-")
	if !ok || !strings.HasPrefix(suffix, laterSuffix) {
		return 0
	}
	ms, err := strconv.ParseInt(birth, 16, 64)
	if err != nil {
		return 0
	}
	return ms
}

// registryHost is what the leader knows of a registry host, by its disk.
type registryHost struct {
	disk     string
	domain   string
	host     netip.Addr
	lastSeen time.Time
	// alive hosts are heard and do not leave; leaving ones are heard.
	alive, leaving bool
	// behind says that a learner has not synced all committed entries yet.
	behind bool
}

// nextMembership returns the next membership of the group, one change at a time, or false if no change is needed. A
// disk whose host now has another one is lost for good and removed first; a voter that stays silent is removed once a
// learner can replace it. A voter that is still there is replaced before it is gone: the learner becomes a voter first.
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
	if len(c.Voters) > wantedVoters {
		return withoutSurplus(self, c, known)
	}
	learner := bestLearner(c, known)
	switch {
	case learner == "":
		return pilot.Config{}, false
	case len(c.Voters) < wantedVoters || leavingVoter(c, known):
		return withVoter(c, learner), true
	}
	if failed := failedVoter(now, self, c, known); failed != "" {
		return pilot.Config{Voters: without(c.Voters, failed), Learners: c.Learners}, true
	}
	if successor := successor(self, c, known); successor != "" {
		return withVoter(c, successor), true
	}
	return pilot.Config{}, false
}

func withVoter(c pilot.Config, learner string) pilot.Config {
	voters := append(slices.Clone(c.Voters), learner)
	slices.Sort(voters)
	return pilot.Config{Voters: voters, Learners: without(c.Learners, learner)}
}

// withoutSurplus returns the membership without the voter that one above the wanted number is to replace: one that is lost, that
// leaves, that has been in the domain of the newest voter before it, or else the one with the oldest disk of the domain with the
// most voters. What is still there stays as a learner.
func withoutSurplus(self string, c pilot.Config, known map[string]registryHost) (pilot.Config, bool) {
	perDomain := votersPerDomain(self, c, known)
	newest := slices.MaxFunc(c.Voters, func(a, b string) int { return cmp.Compare(diskBirth(a), diskBirth(b)) })
	succeeded := func(disk string) int {
		if known[disk].domain == known[newest].domain && diskBirth(disk) < diskBirth(newest) {
			return 1
		}
		return 0
	}
	surplus := slices.MinFunc(c.Voters, func(a, b string) int {
		return cmp.Or(
			standing(self, known[a])-standing(self, known[b]),
			succeeded(b)-succeeded(a),
			perDomain[known[b].domain]-perDomain[known[a].domain],
			cmp.Compare(diskBirth(a), diskBirth(b)), strings.Compare(a, b))
	})
	rest := without(c.Voters, surplus)
	if !liveMajority(self, rest, known) {
		return pilot.Config{}, false
	}
	learners := c.Learners
	if s := known[surplus]; s.alive || s.leaving {
		learners = append(slices.Clone(learners), surplus)
	}
	return pilot.Config{Voters: rest, Learners: learners}, true
}

// standing orders voters by how soon they are gone: those that are lost, that leave, and that stay.
func standing(self string, s registryHost) int {
	switch {
	case s.leaving:
		return 1
	case s.alive || s.disk == self:
		return 2
	}
	return 0
}

func leavingVoter(c pilot.Config, known map[string]registryHost) bool {
	return slices.ContainsFunc(c.Voters, func(disk string) bool { return known[disk].leaving })
}

// successor returns a learner that should be a voter although no voter is missing: the disk that came last to the domain of a
// voter, which it has been started to replace, or one in a domain without voters where another domain has several.
func successor(self string, c pilot.Config, known map[string]registryHost) string {
	for _, disk := range c.Voters {
		if standing(self, known[disk]) < 2 {
			return ""
		}
	}
	perDomain := votersPerDomain(self, c, known)
	crowded := slices.ContainsFunc(c.Voters, func(disk string) bool { return perDomain[known[disk].domain] > 1 })
	best := ""
	for _, disk := range c.Learners {
		s := known[disk]
		if !s.alive || s.behind {
			continue
		}
		newer := slices.ContainsFunc(c.Voters, func(v string) bool {
			return known[v].domain == s.domain && diskBirth(v) < diskBirth(disk)
		})
		if (newer || crowded && perDomain[s.domain] == 0) && (best == "" || diskBirth(disk) > diskBirth(best)) {
			best = disk
		}
	}
	return best
}

func votersPerDomain(self string, c pilot.Config, known map[string]registryHost) map[string]int {
	perDomain := make(map[string]int)
	for _, disk := range c.Voters {
		if s := known[disk]; s.alive || disk == self {
			perDomain[s.domain]++
		}
	}
	return perDomain
}

// liveMajority reports whether the voters that are heard, this host among them, are a majority of some voters.
func liveMajority(self string, voters []string, known map[string]registryHost) bool {
	alive := 0
	for _, disk := range voters {
		if standing(self, known[disk]) > 0 {
			alive++
		}
	}
	return alive > len(voters)/2
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

// bestLearner returns a live learner that has caught up, in the domain with the fewest live voters.
func bestLearner(c pilot.Config, known map[string]registryHost) string {
	perDomain := votersPerDomain("", c, known)
	best := ""
	for _, disk := range c.Learners {
		s := known[disk]
		if s.alive && !s.behind && (best == "" || perDomain[s.domain] < perDomain[known[best].domain]) {
			best = disk
		}
	}
	return best
}

// failedVoter returns a voter that has been silent for replaceVoterAfter, provided that the live voters form a majority
// of the rest.
func failedVoter(now time.Time, self string, c pilot.Config, known map[string]registryHost) string {
	for _, disk := range c.Voters {
		s, ok := known[disk]
		if ok && standing(self, s) == 0 && now.Sub(s.lastSeen) > replaceVoterAfter && liveMajority(self, without(c.Voters, disk), known) {
			return disk
		}
	}
	return ""
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
