package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/demo"
)

func demoCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "harness demo",
		ShortHelp: "show real nodes on loopback through a surge, and check what was promised",
		Exec: func(context.Context, []string) error {
			return demo.Run(os.Stdout, os.Stderr)
		},
	}
}
