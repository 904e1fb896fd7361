package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/shallotspool/shallotspool/node/sidecar"
	"github.com/shallotspool/shallotspool/platform"
)

// sidecarGCPercent is below the default of 100 to keep the heap small: on the
// users' machines memory is more expensive than processor time.
const sidecarGCPercent = 50

// runSidecar runs a node as a sidecar of an upstream on the users' platform and
// returns the exit code.
func runSidecar(args []string) int {
	flags := flag.NewFlagSet("shallotd sidecar", flag.ContinueOnError)
	path := flags.String("config", os.Getenv(platform.SettingsPathVariable), "settings file")
	check := flags.Bool("check", false, "check the settings file and exit")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("SHALLOT"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "shallotd:", err)
		return exitUsage
	}
	settings, err := sidecar.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shallotd:", err)
		return exitUsage
	}
	if *check {
		return exitOK
	}
	debug.SetGCPercent(sidecarGCPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := sidecar.Start(settings, *path, platform.Dialect(), os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shallotd:", err)
		return exitFailure
	}
	for {
		select {
		case <-s.Failed():
			return exitFailure
		case received := <-signals:
			if received == syscall.SIGHUP {
				s.Reload()
				continue
			}
			s.Stop()
			return exitOK
		}
	}
}
