// Package report renders the result lines printed by make measure and the metrics
// of nodes as a self-contained HTML page with plots.
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
	// Demand is the offered load as a multiple of capacity.
	Demand float64
	Seed   uint64
	// Goodput is the number of complete answers in time, divided by the number
	// that capacity and demand allow; between 0 and 1.
	Goodput float64
	// RecoverySeconds is the time in seconds from the end of the disturbance
	// until goodput is back to normal.
	RecoverySeconds float64
	// ImportantRefused and OtherRefused are the ratios of requests of the
	// important classes and of all other classes that got no answer in time.
	ImportantRefused float64
	OtherRefused     float64
	// Wasted is the ratio of upstream time spent on requests that failed.
	Wasted float64
}

// RefusalCount is one sample of the refused requests metric of a node.
type RefusalCount struct {
	Class  string
	Reason string
	Value  float64
}

// Input collects the data read from the input files.
type Input struct {
	Runs     []Run
	Refusals []RefusalCount
}

const (
	maxLines      = 200_000
	maxLineBytes  = 64 << 10
	refusedMetric = "shallot_refused_total"
)

// LineError reports a line that could not be parsed.
type LineError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Read adds the data of one file to in. It ignores lines that are neither a
// result line nor a sample of the refused requests metric. At the first line that
// cannot be parsed it stops and returns a *LineError.
func (in *Input) Read(file string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		if line > maxLines {
			return &LineError{File: file, Line: line, Reason: fmt.Sprintf("more than %d lines", maxLines)}
		}
		if err := in.parseLine(scanner.Text()); err != nil {
			return &LineError{File: file, Line: line, Reason: err.Error()}
		}
	}
	if err := scanner.Err(); err != nil {
		return &LineError{File: file, Line: line + 1, Reason: err.Error()}
	}
	return nil
}

func (in *Input) parseLine(text string) error {
	switch {
	case strings.HasPrefix(text, "case="):
		run, err := parseRun(text)
		if err != nil {
			return err
		}
		in.Runs = append(in.Runs, run)
	case strings.HasPrefix(text, refusedMetric):
		count, err := parseRefusalCount(text)
		if err != nil {
			return err
		}
		in.Refusals = append(in.Refusals, count)
	}
	return nil
}

func parseRun(text string) (Run, error) {
	p := keyValues{}
	for _, field := range strings.Fields(text) {
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			return Run{}, fmt.Errorf("%q is not a key=value pair", field)
		}
		p[key] = value
	}
	var err error
	run := Run{
		Case: p["case"], Policy: p["policy"], Deployment: p["deployment"],
		Demand:           p.parseFloat("demand", &err),
		Seed:             uint64(p.parseFloat("seed", &err)),
		Goodput:          p.parseFloat("goodput_ratio", &err),
		RecoverySeconds:  p.parseFloat("recovery_seconds", &err),
		ImportantRefused: p.parseFloat("important_refused_ratio", &err),
		OtherRefused:     p.parseFloat("other_refused_ratio", &err),
		Wasted:           p.parseFloat("wasted_work_ratio", &err),
	}
	return run, err
}

// keyValues holds the key=value pairs of one line.
type keyValues map[string]string

// parseFloat parses the value of key. On failure it sets *err, unless an earlier
// call has set it.
func (p keyValues) parseFloat(key string, err *error) float64 {
	value, e := strconv.ParseFloat(p[key], 64)
	if e != nil && *err == nil {
		*err = fmt.Errorf("%s=%q is not a number", key, p[key])
	}
	return value
}

// parseRefusalCount parses one sample in Prometheus text exposition format, of the
// form name{class="a",reason="b"} 12.
func parseRefusalCount(text string) (RefusalCount, error) {
	labels, value, ok := strings.Cut(strings.TrimPrefix(text, refusedMetric), " ")
	if !ok {
		return RefusalCount{}, fmt.Errorf("%q has no value", text)
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil {
		return RefusalCount{}, fmt.Errorf("%q is not a number", value)
	}
	c := RefusalCount{Value: number}
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
