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
	file := c.flags.String("settings", os.Getenv(settingsVariable), "settings file of this process")
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
	log := logbook.NewQueue(c.stdout, logbook.QueueLimit)
	defer log.Close()
	h, err := startProcess(c, s, log)
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	h.Metrics.NewGauge("sesamecleat_log_lines_dropped_total", func() float64 { return float64(log.Dropped()) })
	endProfile, err := startProfile(*profile)
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	defer endProfile()
	awaitStop(c, h, *file)
	if !h.Shutdown() {
		return ExitFault
	}
	return ExitOK
}

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "SESAMECLEAT_SETTINGS"

// awaitStop returns when a planned stop is asked for; SIGHUP reads the settings file again.
func awaitStop(c *command, h *helm.Kernel, file string) {
	stop := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	for {
		select {
		case <-stop:
			return
		case <-reload:
			s, err := manifest.Load(file)
			if err != nil {
				fmt.Fprintln(c.stderr, plain(err))
				h.Log.Write(logbook.SettingsRefused, logbook.F("file", file))
				continue
			}
			h.Reload(s)
		}
	}
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

func startProcess(c *command, s manifest.Settings, log *logbook.Queue) (*helm.Kernel, error) {
	h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: log, Listen: radio.ListenUDP})
	if archive.CorruptionError.Has(err) {
		logbook.NewLog(c.stderr, s.Name).Write(logbook.DiskDamaged, logbook.F("error", err.Error()))
	}
	if err != nil {
		return nil, err
	}
	return h, h.Start()
}
