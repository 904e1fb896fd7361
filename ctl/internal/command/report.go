package command

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/ctl/internal/report"
)

func (a *app) reportCommand() *ffcli.Command {
	flags := a.newFlagSet("report")
	output := flags.String("output", "", "write the page to this file; empty writes it to standard output")
	return &ffcli.Command{
		Name: "report", ShortUsage: "shallotctl report [-output FILE] FILE...",
		ShortHelp: "render measurements and metrics as an HTML page",
		LongHelp: `Each FILE holds the output of make measure, a node's /metrics page, or both.
The page embeds its plots and needs no network.`,
		FlagSet: flags, Options: parseOptions(),
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return usageErrorf("report needs at least one file")
			}
			return a.writeReport(files, *output)
		},
	}
}

func (a *app) writeReport(files []string, output string) error {
	var in report.Input
	for _, file := range files {
		if err := readInput(&in, file); err != nil {
			return err
		}
	}
	if output == "" {
		return in.WriteHTML(a.stdout)
	}
	f, err := os.Create(output)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	return errors.CombineErrors(in.WriteHTML(f), f.Close())
}

func readInput(in *report.Input, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open input")
	}
	defer func() { _ = f.Close() }()
	return in.Read(file, f)
}
