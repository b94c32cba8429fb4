package sesamecleat

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"sesamecleat/src/archive"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/tide"
)

func runServe(c *command, args []string) int {
	file := c.flags.String("settings", "", "settings file of this process")
	profile := c.flags.String("profile", "", "file for a processor profile of the whole run")
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if *file == "" || len(words) > 0 {
		return c.usageError("-settings FILE is expected")
	}
	s, err := manifest.Load(*file)
	if err != nil {
		fmt.Fprintln(c.stderr, plain(err))
		logbook.NewLog(c.stderr, "serve").Write(logbook.SettingsRefused, logbook.F("file", *file))
		return ExitUsage
	}
	h, err := startProcess(c, s)
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	endProfile, err := startProfile(*profile)
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	defer endProfile()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	h.Drain()
	h.Stop()
	return ExitOK
}

// startProfile writes a processor profile to a file, if one is named, until the function returned is called.
func startProfile(file string) (func(), error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // the profile is read by people, who see if it is short
	}, nil
}

func startProcess(c *command, s manifest.Settings) (*helm.Helm, error) {
	h, err := helm.New(s, helm.Options{Clock: tide.System{}, Log: c.stderr, Listen: radio.ListenUDP})
	if archive.DamageError.Has(err) {
		logbook.NewLog(c.stderr, s.Name).Write(logbook.DiskDamaged, logbook.F("error", err.Error()))
	}
	if err != nil {
		return nil, err
	}
	return h, h.Start()
}
