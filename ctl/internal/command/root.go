// Package command implements the subcommands of shallotctl.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Version is printed by -version. A build may set it with the linker flag -X.
var Version = "0.1.0-dev"

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that a file or node could not be read, that no data
	// matched, or that the output could not be written.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid, or that help was printed.
	ExitUsage = 2
	// ExitInvalid means that a document is invalid.
	ExitInvalid = 3
)

const envPrefix = "SHALLOTCTL"

const longHelp = `The operators' client of shallotspool. No subcommand changes a node or a document.

Flags may also be set in the environment, as SHALLOTCTL_ and the flag's name.
Exit codes: 0 done, 1 a file or node could not be read, 2 wrong command line,
3 a document is invalid.`

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

// usageErrorf returns an error for which the exit code is ExitUsage.
func usageErrorf(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// app holds the output streams that all subcommands write to.
type app struct {
	stdout io.Writer
	stderr io.Writer
}

// Main runs shallotctl and returns its exit code. args excludes the program name.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{stdout: out, stderr: errOut}
	root := a.rootCommand()
	if err := root.Parse(args); err != nil {
		return a.reportError(errors.Mark(err, errUsage))
	}
	return a.reportError(root.Run(ctx))
}

func (a *app) rootCommand() *ffcli.Command {
	flags := a.newFlagSet("shallotctl")
	version := flags.Bool("version", false, "print the version and exit")
	return &ffcli.Command{
		Name: "shallotctl", ShortUsage: "shallotctl <subcommand> [flags] [arguments]",
		LongHelp: longHelp, FlagSet: flags, Options: parseOptions(),
		Subcommands: []*ffcli.Command{
			a.checkCommand(), a.explainCommand(), a.diffCommand(), a.statusCommand(), a.watchCommand(), a.reportCommand(), a.traceCommand(),
		},
		Exec: func(context.Context, []string) error {
			if *version {
				return a.printf("shallotctl %s\n", Version)
			}
			return flag.ErrHelp
		},
	}
}

// newFlagSet returns a flag set that returns parse errors instead of exiting.
func (a *app) newFlagSet(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(a.stderr)
	return f
}

func parseOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.stdout, format, args...)
	return errors.Wrap(err, "write output")
}

// reportError prints err, unless it is nil or a request for help, and returns its
// exit code.
func (a *app) reportError(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	}
	_, _ = fmt.Fprintln(a.stderr, "shallotctl:", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errInvalid):
		return ExitInvalid
	}
	return ExitFailure
}
