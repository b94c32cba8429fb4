package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { scenarios["replaced"] = replaced }

// replaced replaces a machine of the core, whose successor has been there for longer than the catch-up time, and has another one
// lose its disk once the replaced one is gone. One disk at a time may be lost.
func replaced(d *deployment, trouble bool) verdict {
	seeds := []string{}
	for n := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.prefix, n+1, controlPort))
	}
	var core []*host
	for n := range 3 {
		core = append(core, d.addHost("core", zones[n], n+1, seeds, true))
	}
	if err := d.startAll(core...); err != nil {
		return verdict{err: err}
	}
	o := &operator{rec: d.record, hosts: func() []*host {
		var up []*host
		for _, h := range core {
			if !h.hasExited() {
				up = append(up, h)
			}
		}
		return up
	}}
	if err := o.put(newConfiguration(7, 1500), 20*time.Second); err != nil {
		return verdict{err: err}
	}
	time.Sleep(touch)

	// The successor of the third machine comes first, with an empty disk and another address.
	successor := d.addHost("core", zones[2], 4, seeds, false)
	if err := d.start(successor); err != nil {
		return verdict{err: err}
	}
	core = append(core, successor)
	time.Sleep(catchUp + 2*time.Second)
	d.end(core[2], syscall.SIGTERM)
	core = append(core[:2:2], core[3])

	const acknowledged = 12
	if err := o.put(newConfiguration(acknowledged, 1600), 10*time.Second); err != nil {
		return verdict{err: err}
	}
	if trouble {
		wiped := core[1]
		d.end(wiped, syscall.SIGKILL)
		if err := os.RemoveAll(wiped.dataDir); err != nil {
			return verdict{err: err}
		}
		wiped.bootstrap = false
		d.record.add("disk", "the disk of %s is lost", wiped.name)
		time.Sleep(500 * time.Millisecond)
		if err := d.start(wiped); err != nil {
			return verdict{err: err}
		}
	}
	// The end of the day: all machines are back, and the configuration is asked for repeatedly.
	time.Sleep(recovery + touch)
	var answers []string
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, h := range o.hosts() {
			version, status := o.get(h)
			if version >= acknowledged {
				return verdict{}
			}
			if status == 200 {
				return verdict{broken: []string{fmt.Sprintf("%s shows version %d after %d was acknowledged", h.name, version, acknowledged)}}
			}
			answers = append(answers, fmt.Sprint(status))
		}
	}
	return verdict{broken: []string{fmt.Sprintf(
		"version %d was acknowledged, and for 30 s, from %s after all machines were back, none of %d reads got a configuration (last status %s)",
		acknowledged, recovery+touch, len(answers), answers[len(answers)-1])}}
}
