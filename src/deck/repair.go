package deck

import (
	"slices"
	"time"

	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
	"sesamecleat/src/roster"
)

// repair founds the log, or lets a state host that lost its disk come back.
func (s *state) repair(now time.Time) {
	if s.failed {
		return
	}
	if s.node == nil {
		if founders := foundersFor(s.h.Members.Self(), s.h.Settings.Voters, s.h.Members.Peers()); founders != nil {
			s.join(s.h.Disk.DiskID, founders)
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

// join makes this disk take part in the log; an invitation for another disk is left alone.
func (s *state) join(disk string, founders map[string]string) {
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
	s.start(pilot.PersistentState{})
}

// foundersFor returns the disks to found the log with: those another state host founded it with, if this disk is
// among them, or those of all state hosts, if every one is there with a blank disk and nobody has seen tables.
func foundersFor(self roster.Member, voters []string, peers []roster.Peer) map[string]string {
	disk := self.Summary.Disk
	blank := map[string]string{self.Name: disk}
	for _, p := range peers {
		sum := p.Member.Summary
		if sum.Founders[self.Name] == disk && disk != "" {
			return sum.Founders
		}
		if p.Status == roster.Alive && p.Member.Voter && sum.LogEmpty {
			blank[p.Member.Name] = sum.Disk
		}
	}
	for _, name := range voters {
		if blank[name] == "" {
			return nil
		}
	}
	for _, p := range peers {
		if p.Member.Summary.Revision > 0 {
			return nil
		}
	}
	return blank
}

// nextConfig returns the next membership, one step at a time: a voter whose disk is blank is removed, comes back as
// a learner, and votes again once it has caught up.
func nextConfig(self string, c pilot.Config, wanted []string, members helm.Members) (pilot.Config, bool) {
	for _, name := range c.Voters {
		if p, ok := members.Peer(name); ok && name != self && p.Status == roster.Alive && p.Member.Summary.LogEmpty {
			return pilot.Config{Voters: without(c.Voters, name), Learners: c.Learners}, true
		}
	}
	for _, name := range wanted {
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
			return pilot.Config{Voters: voters, Learners: without(c.Learners, name)}, true
		}
	}
	return pilot.Config{}, false
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
