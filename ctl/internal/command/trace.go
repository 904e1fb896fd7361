package command

import (
	"bufio"
	"cmp"
	"context"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxLogLine bounds one line of a log file, in bytes; nodes write shorter ones.
const maxLogLine = 64 << 10

// traced is one line of a log that belongs to a request.
type traced struct {
	time, node, request, text string
}

func (a *app) trace() *ffcli.Command {
	flags := a.flags("trace")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "shallotctl trace ID FILE...",
		ShortHelp: "print what the logs of several nodes say of a request and the calls made for it",
		FlagSet:   flags, Options: options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 || args[0] == "" {
				return usagef("trace needs a request's id and at least one log file")
			}
			return a.traceRequest(args[0], args[1:])
		},
	}
}

func (a *app) traceRequest(id string, files []string) error {
	var lines []traced
	for _, file := range files {
		found, err := traceFile(id, file)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Newf("no line of these files is about request %s", id)
	}
	slices.SortStableFunc(lines, func(x, y traced) int { return cmp.Compare(x.time, y.time) })
	for _, l := range lines {
		depth := strings.Count(strings.TrimPrefix(l.request, id), ".")
		if err := a.printf("%s %s%s %s\n", l.time, strings.Repeat("  ", depth), l.node, l.text); err != nil {
			return err
		}
	}
	return nil
}

// traceFile returns the lines of one file that are about a request or a call
// made for it: ids of calls begin with that of the request.
func traceFile(id, file string) (lines []traced, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l := parseLine(scanner.Text()); strings.HasPrefix(l.request, id) {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", file)
}

// parseLine reads the fields that order a line; the others stay as they are.
func parseLine(line string) traced {
	var l traced
	var rest []string
	for _, f := range fieldsOf(line) {
		key, value, _ := strings.Cut(f, "=")
		switch key {
		case "time":
			l.time = strings.Trim(value, `"`)
		case "node":
			l.node = value
		case "request":
			l.request = value
			rest = append(rest, f)
		case "level":
		default:
			rest = append(rest, f)
		}
	}
	l.text = strings.Join(rest, " ")
	return l
}

// fieldsOf splits a line at spaces outside of quotes.
func fieldsOf(line string) []string {
	quoted, escaped := false, false
	return strings.FieldsFunc(line, func(r rune) bool {
		switch {
		case escaped:
			escaped = false
		case quoted && r == '\\':
			escaped = true
		case r == '"':
			quoted = !quoted
		case r == ' ' && !quoted:
			return true
		}
		return false
	})
}
