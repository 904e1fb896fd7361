package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/bench"
)

// benchmarks are the parts of the subcommand bench, in the order of their output.
var benchmarks = []func(out io.Writer) error{
	bench.MeasureDecisions,
	bench.MeasureCalls,
}

// benchCommand returns the subcommand bench.
func benchCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "bench", ShortUsage: "harness bench",
		ShortHelp: "measure the cost of decisions and calls on this machine",
		Exec: func(context.Context, []string) error {
			for _, run := range benchmarks {
				if err := run(os.Stdout); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
