// Command harness runs the measurements and fault tests of this repository. It is a
// tool for developers and not part of a release.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/measure"
	"github.com/shallotspool/shallotspool/harness/soak"
)

// examplesDir is the directory of the example documents, relative to the root of the
// repository, from which make runs this command.
const examplesDir = "examples"

func main() {
	root := &ffcli.Command{
		ShortUsage: "harness <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			measureCommand(), soakCommand(), spreadCommand(), benchCommand(), demoCommand(), faultsCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		os.Exit(1)
	}
}

// measureCommand returns the subcommand measure.
func measureCommand() *ffcli.Command {
	var o measure.Options
	flags := flag.NewFlagSet("measure", flag.ContinueOnError)
	flags.Uint64Var(&o.Seed, "seed", 0, "run this seed only; 0 runs the three default seeds")
	flags.StringVar(&o.Case, "case", "", "run this case only")
	flags.StringVar(&o.Policy, "policy", "", "run this policy only")
	flags.StringVar(&o.Deployment, "deployment", "", "run this deployment only")
	return &ffcli.Command{
		Name: "measure", ShortUsage: "harness measure [flags]", FlagSet: flags,
		ShortHelp: "simulate nodes under virtual time and print what callers observe",
		Exec: func(context.Context, []string) error {
			return measure.RunAll(examplesDir, o, os.Stdout, os.Stderr)
		},
	}
}

// soakCommand returns the subcommand soak.
func soakCommand() *ffcli.Command {
	var o soak.Options
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.Uint64Var(&o.Seeds, "seeds", 40, "number of seeds")
	flags.Uint64Var(&o.From, "from", 1, "first seed")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "harness soak [flags]", FlagSet: flags,
		ShortHelp: "run randomised schedules of faults under virtual time and check the guarantees",
		Exec: func(context.Context, []string) error {
			return soak.RunSeeds(o, os.Stdout, os.Stderr)
		},
	}
}
