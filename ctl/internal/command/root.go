// Package command holds the subcommands of shallotctl, one file each.
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

// Version is what --version prints; the linker may set it.
var Version = "0.1.0-dev"

// The exit codes.
const (
	// ExitOK means the command did what it was asked.
	ExitOK = 0
	// ExitFailure means it could not: a file, a node or a write failed.
	ExitFailure = 1
	// ExitUsage means the command line was wrong.
	ExitUsage = 2
	// ExitInvalid means a document was read and is invalid.
	ExitInvalid = 3
)

const envPrefix = "SHALLOTCTL"

const longHelp = `The operators' client of shallotspool. Every subcommand only reads.

Flags may also be set in the environment, as SHALLOTCTL_ and the flag's name.
Exit codes: 0 done, 1 a file or node could not be read, 2 wrong command line,
3 a document is invalid.`

// errUsage marks errors of the command line.
var errUsage = errors.New("usage")

// usagef returns an error that ends in ExitUsage.
func usagef(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// app is what the subcommands share.
type app struct {
	out io.Writer
	err io.Writer
}

// Main runs shallotctl with the given arguments, without the program's name,
// and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	root := a.root()
	if err := root.Parse(args); err != nil {
		return a.exitCode(errors.Mark(err, errUsage))
	}
	return a.exitCode(root.Run(ctx))
}

func (a *app) root() *ffcli.Command {
	flags := a.flags("shallotctl")
	version := flags.Bool("version", false, "print the version and exit")
	return &ffcli.Command{
		Name: "shallotctl", ShortUsage: "shallotctl <subcommand> [flags] [arguments]",
		LongHelp: longHelp, FlagSet: flags, Options: options(),
		Subcommands: []*ffcli.Command{
			a.check(), a.explain(), a.diff(), a.status(), a.watch(), a.report(), a.trace(),
		},
		Exec: func(context.Context, []string) error {
			if *version {
				return a.printf("shallotctl %s\n", Version)
			}
			return flag.ErrHelp
		},
	}
}

// flags returns a flag set that reports its errors instead of exiting.
func (a *app) flags(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(a.err)
	return f
}

func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.out, format, args...)
	return errors.Wrap(err, "write output")
}

// exitCode prints err, if there is one to print, and returns the code for it.
func (a *app) exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	}
	_, _ = fmt.Fprintln(a.err, "shallotctl:", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errInvalid):
		return ExitInvalid
	}
	return ExitFailure
}
