package sesamecleat

import (
	"fmt"
	"os"
	"os/signal"
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
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	h.Drain()
	h.Stop()
	return ExitOK
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
