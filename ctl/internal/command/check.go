package command

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/core/document"
)

func (a *app) checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "shallotctl check DOC...",
		ShortHelp: "check documents by the rules of the nodes",
		LongHelp: `Prints one line for each problem: file, line, column, field, reason and what to
write instead. Exit code 3 means that a document is invalid.`,
		FlagSet: a.newFlagSet("check"), Options: parseOptions(),
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return usageErrorf("check needs at least one document")
			}
			return a.checkDocuments(files)
		},
	}
}

func (a *app) checkDocuments(files []string) error {
	invalid := 0
	for _, file := range files {
		doc, err := loadDocument(file)
		var problems *document.Problems
		switch {
		case errors.As(err, &problems):
			invalid++
			_, _ = fmt.Fprintln(a.stderr, problems)
		case err != nil:
			return err
		default:
			if err := a.printf("%s: valid, version %d, %s\n", file, doc.Version, summarize(doc)); err != nil {
				return err
			}
		}
	}
	if invalid > 0 {
		return errors.Mark(errors.Newf("%d of %d documents invalid", invalid, len(files)), errInvalid)
	}
	return nil
}

func summarize(doc *document.Document) string {
	routes := 0
	for _, s := range doc.Services {
		routes += len(s.Routes)
	}
	return fmt.Sprintf("%d services, %d routes, %d classes", len(doc.Services), routes, len(doc.Classes))
}
