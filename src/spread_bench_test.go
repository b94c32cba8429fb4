package sesamecleat

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/tide"
)

const (
	spreadEdits = 200
	spreadRest  = 8 * time.Second
	spreadReady = 60 * time.Second
)

// BenchmarkSpread runs many whole processes inside this one, and measures what they cost at rest and how long an edit
// takes to be in force at all of them.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{3, 2}, {8, 3}, {24, 4}} {
		b.Run(fmt.Sprint(size.domains*size.perDomain), func(b *testing.B) { benchSpread(b, size.domains, size.perDomain) })
	}
}

func benchSpread(b *testing.B, domains, perDomain int) {
	var names []string
	for i := range domains {
		names = append(names, fmt.Sprintf("domain-%02d", i))
	}
	settings, err := localSettings(b.TempDir(), names, perDomain, demoVoters)
	require.NoError(b, err)
	spreadOut(settings)
	var all []*helm.Kernel
	for _, s := range settings {
		if len(s.Roles) == 1 {
			s.DataDir = ""
		}
		h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: io.Discard, Listen: radio.ListenUDP})
		require.NoError(b, err)
		require.NoError(b, h.Start())
		all = append(all, h)
	}
	b.Cleanup(func() {
		var wg sync.WaitGroup
		for _, h := range all {
			wg.Go(h.Stop)
		}
		wg.Wait()
	})
	edit(b, all[0], 0)
	inForce(b, all, all[0].Tables.Revision())
	time.Sleep(spreadRest) // the membership settles
	reportRest(b, all)
	var took []time.Duration
	for i := range spreadEdits {
		revision := edit(b, all[i%len(all)], i+1)
		began := time.Now()
		inForce(b, all, revision)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}

// spreadOut gives every process an IP address of its own, so that no socket of one takes a port of another.
func spreadOut(settings []manifest.Settings) {
	var contacts []netip.AddrPort
	for i := range settings {
		s := &settings[i]
		ip := netip.AddrFrom4([4]byte{127, runOctet(), 200, byte(i + 1)})
		s.Callers = netip.AddrPortFrom(ip, 8080)
		s.Peers = netip.AddrPortFrom(ip, 9090)
		s.Advertise = s.Peers
		if s.Has(manifest.State) {
			contacts = append(contacts, s.Peers)
		}
	}
	for i := range settings {
		settings[i].Contacts = contacts
	}
}

func edit(b *testing.B, h *helm.Kernel, i int) uint64 {
	pool := chart.NewPool("scratch")
	pool.Queue = i + 1
	limit := time.Now().Add(spreadReady)
	for {
		r, err := h.Editor.Edit(b.Context(), chart.Edit{ID: fmt.Sprint("spread-", i), At: time.Now(), Change: chart.PutPool{Pool: pool}})
		if err == nil {
			return r.Revision
		}
		require.True(b, time.Now().Before(limit), "%v", err)
	}
}

func inForce(b *testing.B, all []*helm.Kernel, revision uint64) {
	limit := time.Now().Add(spreadReady)
	for _, h := range all {
		for h.Tables.Revision() < revision {
			require.True(b, time.Now().Before(limit), "%s has revision %d of %d", h.Settings.Name, h.Tables.Revision(), revision)
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// reportRest measures processor time, messages and bytes for each process while nothing happens.
func reportRest(b *testing.B, all []*helm.Kernel) {
	cpu, messages, bytes := spreadCosts(all)
	time.Sleep(spreadRest)
	cpu2, messages2, bytes2 := spreadCosts(all)
	each := float64(len(all)) * spreadRest.Seconds()
	b.ReportMetric(100*(cpu2-cpu).Seconds()/each, "core-percent")
	b.ReportMetric(float64(messages2-messages)/each, "msgs/s")
	b.ReportMetric(float64(bytes2-bytes)/each, "B/s")
}

func spreadCosts(all []*helm.Kernel) (cpu time.Duration, messages, bytes uint64) {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail for this process
	cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	for _, h := range all {
		sent, _ := h.RPC.MessageCounts()
		messages += sent
		bytes += h.RPC.BytesSent()
	}
	return cpu, messages, bytes
}
