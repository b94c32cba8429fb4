package deck

import (
	"slices"
	"time"

	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
	"sesamecleat/src/roster"
)

// checkMembership founds the log, or readmits a state host that lost its disk.
func (s *stateHost) checkMembership(now time.Time) {
	if s.failed {
		return
	}
	if s.node == nil {
		if founders := selectFounders(s.h.Members.Self(), s.h.Settings.Voters, s.h.Members.Peers()); founders != nil {
			s.joinLog(s.h.Disk.DiskID, founders)
		}
		return
	}
	if !s.node.IsLeader() {
		return
	}
	if next, ok := nextConfig(s.h.Settings.Name, s.node.Config(), s.h.Settings.Voters, s.h.Members); ok {
		s.step(now, pilot.Reconfigure{Config: next})
	}
}

// joinLog makes this disk take part in the log; an invitation for another disk is ignored.
func (s *stateHost) joinLog(disk string, founders map[string]string) {
	if s.node != nil || disk != s.h.Disk.DiskID {
		return
	}
	record := s.h.Disk
	record.JoinedLog = true
	record.Founders = founders
	if err := s.h.SaveDisk(record); err != nil {
		s.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
		return
	}
	s.startNode(pilot.PersistentState{})
}

// selectFounders returns the disks of the initial voters. If another state host founded the log with this disk among
// them, these are the founders it reports. Otherwise they are the disks of all state hosts, provided that every one is
// alive with an empty disk and no process has seen tables.
func selectFounders(self roster.Member, voters []string, peers []roster.Peer) map[string]string {
	disk := self.Summary.Disk
	emptyDisks := map[string]string{self.Name: disk}
	for _, p := range peers {
		sum := p.Member.Summary
		if sum.Founders[self.Name] == disk && disk != "" {
			return sum.Founders
		}
		if p.Status == roster.Alive && p.Member.Voter && sum.LogEmpty {
			emptyDisks[p.Member.Name] = sum.Disk
		}
	}
	for _, name := range voters {
		if emptyDisks[name] == "" {
			return nil
		}
	}
	for _, p := range peers {
		if p.Member.Summary.Revision > 0 {
			return nil
		}
	}
	return emptyDisks
}

// nextConfig returns the next membership of the log, one change at a time: a voter with an empty disk is removed, added
// as a learner, and made a voter again once it has joined the log and caught up.
func nextConfig(self string, c pilot.Config, configured []string, members helm.Members) (pilot.Config, bool) {
	for _, name := range c.Voters {
		if p, ok := members.Peer(name); ok && name != self && p.Status == roster.Alive && p.Member.Summary.LogEmpty {
			return pilot.Config{Voters: withoutName(c.Voters, name), Learners: c.Learners}, true
		}
	}
	for _, name := range configured {
		p, ok := members.Peer(name)
		if !ok || p.Status != roster.Alive || slices.Contains(c.Voters, name) {
			continue
		}
		if !slices.Contains(c.Learners, name) {
			return pilot.Config{Voters: c.Voters, Learners: append(slices.Clone(c.Learners), name)}, true
		}
		if !p.Member.Summary.LogEmpty {
			voters := append(slices.Clone(c.Voters), name)
			slices.Sort(voters)
			return pilot.Config{Voters: voters, Learners: withoutName(c.Learners, name)}, true
		}
	}
	return pilot.Config{}, false
}

func withoutName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
