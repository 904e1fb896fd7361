package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/bench"
)

// benches are the parts of the bench subcommand, in the order of their lines.
var benches = []func(out io.Writer) error{
	bench.Decisions,
	bench.Sockets,
}

func benchCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "bench", ShortUsage: "harness bench",
		ShortHelp: "print what decisions cost on this machine",
		Exec: func(context.Context, []string) error {
			for _, run := range benches {
				if err := run(os.Stdout); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
