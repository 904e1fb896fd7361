package command

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/core/document"
)

func (a *app) explainCommand() *ffcli.Command {
	flags := a.newFlagSet("explain")
	service := flags.String("service", "", "the service that the request is for; empty means every service with a matching route")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "shallotctl explain [-service NAME] DOC METHOD PATH",
		ShortHelp: "show how a document treats a request, and why",
		FlagSet:   flags, Options: parseOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 3 {
				return usageErrorf("explain needs a document, a method and a path")
			}
			return a.explainRequest(args[0], *service, strings.ToUpper(args[1]), args[2])
		},
	}
}

func (a *app) explainRequest(file, service, method, path string) error {
	doc, err := loadDocument(file)
	if err != nil {
		return err
	}
	names := []string{service}
	if service == "" {
		names = serviceNames(doc)
	}
	found := 0
	for _, name := range names {
		e, err := document.Explain(doc, name, method, path)
		if errors.Is(err, document.ErrNoRoute) {
			continue
		}
		if err != nil {
			return err
		}
		found++
		if err := a.printExplanation(e); err != nil {
			return err
		}
	}
	if found == 0 {
		return errors.Wrapf(document.ErrNoRoute, "%s %s", method, path)
	}
	return nil
}

func serviceNames(doc *document.Document) []string {
	names := make([]string, len(doc.Services))
	for i, s := range doc.Services {
		names[i] = s.Name
	}
	return names
}

func (a *app) printExplanation(e *document.Explanation) error {
	err := a.printf(`route       %s.%s
class       %s
idempotent  %t
wait        %s
retries     %d over the whole chain
attempts    %d at most, in a chain %d deep
`, e.Service, e.Route, e.Class, e.Idempotent, e.Timeout, e.RetryBudget, e.MaxAttempts, e.Depth)
	for _, reason := range e.Reasons {
		err = errors.CombineErrors(err, a.printf("  because   %s\n", reason))
	}
	return err
}
