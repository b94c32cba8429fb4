package wharf

import (
	"slices"
	"time"

	"sesamecleat/src/flotilla"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
)

// trackUnseenVoters registers the voters that this host has never had a heartbeat from, so that their silence counts from
// now. That of others counts from their last heartbeat, whoever led then.
func (c *consensus) trackUnseenVoters(now time.Time) {
	for _, disk := range c.node.Config().Voters {
		if _, known := c.registryHosts[disk]; !known {
			c.registryHosts[disk] = registryHost{disk: disk, host: diskHost(disk), lastSeen: now}
		}
	}
}

func (c *consensus) updateRegistryHost(now time.Time, a flotilla.Action) {
	var m flotilla.Member
	alive := true
	switch a := a.(type) {
	case flotilla.PeerUpdated:
		m = a.Peer.Member
	case flotilla.PeerFailed:
		m, alive = a.Peer.Member, false
	default:
		return
	}
	if !m.Registry || m.Disk == "" {
		return
	}
	host := registryHost{
		disk: m.Disk, domain: m.Domain, host: m.Address.Addr(), lastSeen: now, alive: alive && !m.Leaving, leaving: alive && m.Leaving,
	}
	if !alive {
		host.lastSeen = c.registryHosts[m.Disk].lastSeen
	}
	if alive {
		c.markOldDisksFailed(host)
	}
	c.registryHosts[m.Disk] = host
}

// markOldDisksFailed marks the former disks of a host as failed.
func (c *consensus) markOldDisksFailed(host registryHost) {
	for disk, other := range c.registryHosts {
		if disk != host.disk && other.host == host.host {
			other.alive, other.leaving = false, false
			c.registryHosts[disk] = other
		}
	}
}

// adjustMembership lets the leader repair the membership of the group, one change at a time.
func (c *consensus) adjustMembership(now time.Time) {
	config := c.node.Config()
	c.replaceable.Store(slices.Contains(config.Voters, c.disk) && bestLearner(config, c.registryHosts) != "")
	if !c.node.IsLeader() || c.node.ConfigPending() {
		return
	}
	known := make(map[string]registryHost, len(c.registryHosts)+1)
	for disk, host := range c.registryHosts {
		host.behind = slices.Contains(config.Learners, disk) && !c.node.CaughtUp(disk)
		known[disk] = host
	}
	self := c.h.Settings
	known[c.disk] = registryHost{
		disk: c.disk, domain: self.Domain, host: self.Advertise.Addr(), lastSeen: now, alive: !c.leaving, leaving: c.leaving,
	}
	next, ok := nextMembership(now, c.disk, config, known, 2*self.ToleratedFailures+1)
	if !ok {
		return
	}
	c.h.Log.Write(logbook.VotersChanged, logbook.F("voters", next.Voters), logbook.F("learners", next.Learners))
	c.step(now, pilot.Reconfigure{Config: next})
}

// Busy reports whether this host is a voter that a learner is about to replace; if it ended before, another host's loss could end
// the group.
func (c *consensus) Busy() bool { return c.replaceable.Load() }
