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

// maxLogLineBytes is the maximum length of a log line. Nodes write shorter lines.
const maxLogLineBytes = 64 << 10

// traceLine is a parsed log line. text holds the fields that are printed
// after the time and the node.
type traceLine struct {
	time, node, request, text string
}

func (a *app) traceCommand() *ffcli.Command {
	flags := a.newFlagSet("trace")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "shallotctl trace ID FILE...",
		ShortHelp: "print the log lines of several nodes about a request and its calls, by time",
		FlagSet:   flags, Options: parseOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 || args[0] == "" {
				return usageErrorf("trace needs a request's id and at least one log file")
			}
			return a.traceRequest(args[0], args[1:])
		},
	}
}

// traceRequest prints the log lines of a request and its calls, ordered by time. It
// indents a line by the depth of the call, which is the number of dots in its id
// after the id of the request.
func (a *app) traceRequest(id string, files []string) error {
	var lines []traceLine
	for _, file := range files {
		found, err := findTraceLines(id, file)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Newf("no log line for request %s in these files", id)
	}
	slices.SortStableFunc(lines, func(x, y traceLine) int { return cmp.Compare(x.time, y.time) })
	for _, l := range lines {
		depth := strings.Count(strings.TrimPrefix(l.request, id), ".")
		if err := a.printf("%s %s%s %s\n", l.time, strings.Repeat("  ", depth), l.node, l.text); err != nil {
			return err
		}
	}
	return nil
}

// findTraceLines returns the lines of one file whose request id starts with id.
// They include the lines of the calls of the request, because the id of a call
// starts with the id of its request, and those of any other request whose id
// starts with id.
func findTraceLines(id, file string) (lines []traceLine, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l := parseLogLine(scanner.Text()); strings.HasPrefix(l.request, id) {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", file)
}

// parseLogLine extracts the time, node and request fields of a line. The text of
// the result holds all fields but time, node and level, unchanged and in order.
func parseLogLine(line string) traceLine {
	var l traceLine
	var rest []string
	for _, f := range splitLogFields(line) {
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

// splitLogFields splits a line at spaces that are not inside double quotes. A
// backslash inside quotes escapes the next character.
func splitLogFields(line string) []string {
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
