package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/demo"
)

// demoCommand returns the subcommand demo.
func demoCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "harness demo",
		ShortHelp: "run real nodes on loopback through an overload surge and check the guarantees",
		Exec: func(context.Context, []string) error {
			return demo.Run(os.Stdout, os.Stderr)
		},
	}
}
