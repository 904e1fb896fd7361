// Command shallotd runs one node of shallotspool beside one upstream.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/node/daemon"
)

// The exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command with the given arguments and returns its exit code.
func run(args []string) int {
	if len(args) > 0 && args[0] == "sidecar" {
		return runSidecar(args[1:])
	}
	s, err := daemon.LoadSettings(args, os.Stdout)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, daemon.ErrVersionRequested):
		fmt.Println("shallotd", version())
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "shallotd:", err)
		return exitUsage
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(s, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shallotd:", err)
		return exitFailure
	}
	select {
	case <-d.Failed():
		d.Kill()
		return exitFailure
	case <-signals:
		return stop(d, signals)
	}
}

// stop shuts the node down gracefully, or at once if a second signal arrives, and
// returns the exit code.
func stop(d *daemon.Daemon, signals <-chan os.Signal) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if d.Stop(ctx) == nil {
		return exitOK
	}
	d.Kill()
	return exitFailure
}

// version returns the version of the main module as recorded by the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
