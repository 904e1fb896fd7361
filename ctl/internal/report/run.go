// Package report turns the result lines of make measure and the metrics of
// nodes into one HTML page with plots, which opens without a network.
package report

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Run is one result line of make measure.
type Run struct {
	Case       string
	Policy     string
	Deployment string
	Demand     float64
	Seed       uint64
	// Goodput is whole answers in time by what was possible, 0 to 1.
	Goodput float64
	// RecoverySeconds counts from the end of the trigger.
	RecoverySeconds  float64
	ImportantRefused float64
	OtherRefused     float64
	// Wasted is the share of upstream time spent on requests that failed.
	Wasted float64
}

// Counter is one sample of a node's metrics that the page shows.
type Counter struct {
	Class  string
	Reason string
	Value  float64
}

// Input is what the files held.
type Input struct {
	Runs    []Run
	Refused []Counter
}

const (
	maxLines      = 200_000
	maxLineBytes  = 64 << 10
	refusedMetric = "shallot_refused_total"
)

// LineError tells which line of a file could not be read.
type LineError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Read adds the lines of one file to in. Lines of neither kind are passed over;
// a broken one ends the reading with a *LineError.
func (in *Input) Read(file string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		if line > maxLines {
			return &LineError{File: file, Line: line, Reason: fmt.Sprintf("more than %d lines", maxLines)}
		}
		if err := in.add(scanner.Text()); err != nil {
			return &LineError{File: file, Line: line, Reason: err.Error()}
		}
	}
	if err := scanner.Err(); err != nil {
		return &LineError{File: file, Line: line + 1, Reason: err.Error()}
	}
	return nil
}

func (in *Input) add(text string) error {
	switch {
	case strings.HasPrefix(text, "case="):
		run, err := parseRun(text)
		if err != nil {
			return err
		}
		in.Runs = append(in.Runs, run)
	case strings.HasPrefix(text, refusedMetric):
		counter, err := parseCounter(text)
		if err != nil {
			return err
		}
		in.Refused = append(in.Refused, counter)
	}
	return nil
}

func parseRun(text string) (Run, error) {
	p := pairs{}
	for _, field := range strings.Fields(text) {
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			return Run{}, fmt.Errorf("%q is no key=value pair", field)
		}
		p[key] = value
	}
	var err error
	run := Run{
		Case: p["case"], Policy: p["policy"], Deployment: p["deployment"],
		Demand:           p.float("demand", &err),
		Seed:             uint64(p.float("seed", &err)),
		Goodput:          p.float("goodput_ratio", &err),
		RecoverySeconds:  p.float("recovery_seconds", &err),
		ImportantRefused: p.float("important_refused_ratio", &err),
		OtherRefused:     p.float("other_refused_ratio", &err),
		Wasted:           p.float("wasted_work_ratio", &err),
	}
	return run, err
}

// pairs are the key=value pairs of one line.
type pairs map[string]string

func (p pairs) float(key string, err *error) float64 {
	value, e := strconv.ParseFloat(p[key], 64)
	if e != nil && *err == nil {
		*err = fmt.Errorf("%s=%q is no number", key, p[key])
	}
	return value
}

// parseCounter reads one sample of the text exposition format, of the form
// name{class="a",reason="b"} 12.
func parseCounter(text string) (Counter, error) {
	labels, value, ok := strings.Cut(strings.TrimPrefix(text, refusedMetric), " ")
	if !ok {
		return Counter{}, fmt.Errorf("%q has no value", text)
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil {
		return Counter{}, fmt.Errorf("%q is no number", value)
	}
	c := Counter{Value: number}
	for _, label := range strings.Split(strings.Trim(labels, "{}"), ",") {
		name, quoted, _ := strings.Cut(label, "=")
		switch name {
		case "class":
			c.Class = strings.Trim(quoted, `"`)
		case "reason":
			c.Reason = strings.Trim(quoted, `"`)
		}
	}
	return c, nil
}
