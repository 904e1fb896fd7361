package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/scale"
)

// spreadCommand returns the subcommand spread.
func spreadCommand() *ffcli.Command {
	o := scale.Options{Seed: 1}
	flags := flag.NewFlagSet("spread", flag.ContinueOnError)
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "random seed")
	nodes := flags.String("nodes", "30,100,300,1000", "comma-separated fleet sizes in nodes")
	return &ffcli.Command{
		Name: "spread", ShortUsage: "harness spread [flags]", FlagSet: flags,
		ShortHelp: "measure the control plane and the replication of documents in fleets of several sizes",
		Exec: func(context.Context, []string) error {
			for _, field := range strings.Split(*nodes, ",") {
				n, err := strconv.Atoi(field)
				if err != nil || n < 1 {
					return fmt.Errorf("flag -nodes: %q is not a number of nodes", field)
				}
				o.Nodes = append(o.Nodes, n)
			}
			return scale.MeasureAll(o, os.Stdout, os.Stderr)
		},
	}
}
