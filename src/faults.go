package sesamecleat

import (
	"context"
	"math/rand/v2"
	"time"

	"sesamecleat/src/hatchery"
	"sesamecleat/src/manifest"
)

// fault is something that goes wrong at a time after the load began.
type fault struct {
	at   time.Duration
	what string
	do   func()
}

// bringFaults carries out the failures of the demonstration, and edits the tables all the while.
func (d *demo) bringFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.o.seed, 2))
	edits := time.NewTicker(demoEditInterval)
	defer edits.Stop()
	began := time.Now()
	for _, f := range d.faultPlan(rng) {
		for time.Since(began) < f.at {
			select {
			case <-edits.C:
				go d.editor.edit()
			case <-time.After(time.Until(began.Add(f.at))):
			case <-ctx.Done():
				return
			}
		}
		d.say("      %s", f.what)
		f.do()
	}
}

// faultPlan draws who fails; the times are shares of the load's length.
func (d *demo) faultPlan(rng *rand.Rand) []fault {
	share := func(percent int) time.Duration { return d.o.length * time.Duration(percent) / 100 }
	order := rng.Perm(len(d.minions))
	dying, failing, leaving := d.minions[order[0]], d.minions[order[1]], d.minions[order[2]]
	domains := d.settings[0].Domains
	cut := domains[rng.IntN(len(domains))]
	victim := d.settings[rng.IntN(len(d.settings))]
	quiet := domains[rng.IntN(len(domains))]
	return []fault{
		{share(8), "target " + dying.Name() + " dies", dying.Kill},
		{share(15), "target " + failing.Name() + " fails everything", func() { failing.SetMode(hatchery.Failing) }},
		{share(22), "target " + leaving.Name() + " leaves", leaving.Leave},
		{share(30), "open connections of " + quiet + " go silent for good", func() { d.cutter.silence(quiet, d.listening()) }},
		{share(40), "entry host " + victim.Name + " is killed", func() { d.kill(victim) }},
		{share(55), "failure domain " + cut + " is cut off", func() { d.setCut(cut, true) }},
		{share(65), "entry host " + victim.Name + " starts again", func() { _ = d.startProcess(victim) }},
		{share(80), "failure domain " + cut + " is joined again", func() { d.setCut(cut, false) }},
	}
}

// listening returns the ports that processes listen on, which outlive any one connection.
func (d *demo) listening() map[uint16]bool {
	out := make(map[uint16]bool)
	for _, s := range d.settings {
		out[s.Peers.Port()] = true
	}
	return out
}

func (d *demo) kill(s manifest.Settings) {
	d.mu.Lock()
	h := d.processes[s.Name]
	d.processes[s.Name] = nil
	delete(d.processes, s.Name)
	d.mu.Unlock()
	h.Stop()
}

func (d *demo) setCut(domain string, cut bool) {
	d.mu.Lock()
	d.cutDomain = ""
	if cut {
		d.cutDomain = domain
	}
	d.mu.Unlock()
	d.cutter.setCut(domain, cut)
}

// settle waits until every process serves the newest accepted edit.
func (d *demo) settle() {
	limit := time.Now().Add(demoSettle)
	for time.Now().Before(limit) {
		if d.editor.missing(d.client, d.entries) == 0 {
			return
		}
		time.Sleep(demoSettlePoll)
	}
}
