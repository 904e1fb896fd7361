package command

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/core/document"
)

func (a *app) diffCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "diff", ShortUsage: "shallotctl diff OLD NEW",
		ShortHelp: "show the differences between two documents",
		LongHelp: `Prints one line for each value that differs: + is new, - is gone, ~ has changed.
If the version of NEW is not higher than that of OLD, NEW never comes into force;
the last line says so.`,
		FlagSet: a.newFlagSet("diff"), Options: parseOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usageErrorf("diff needs two documents")
			}
			return a.diffDocuments(args[0], args[1])
		},
	}
}

func (a *app) diffDocuments(oldFile, newFile string) error {
	older, err := loadDocument(oldFile)
	if err != nil {
		return err
	}
	newer, err := loadDocument(newFile)
	if err != nil {
		return err
	}
	for _, c := range document.Diff(older, newer) {
		if err := a.printf("%s\n", c); err != nil {
			return err
		}
	}
	if newer.Version <= older.Version {
		return a.printf("version %d is not higher than %d: %s never comes into force\n",
			newer.Version, older.Version, newFile)
	}
	return nil
}
