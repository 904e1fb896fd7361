package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/harness/faults"
)

// Runs of a few dozen processes are the usual size.
const (
	defaultFaultNodes   = 12
	defaultFaultCallers = 24
)

func faultsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("faults", flag.ContinueOnError)
	seeds := flags.Uint64("seeds", 1, "number of seeds")
	from := flags.Uint64("from", 1, "first seed; 0 takes one from the clock")
	o := faults.Options{}
	flags.IntVar(&o.Nodes, "nodes", defaultFaultNodes, "number of node processes")
	flags.IntVar(&o.Callers, "callers", defaultFaultCallers, "number of callers")
	flags.StringVar(&o.Binary, "binary", "", "the program of the nodes")
	broken := flags.Bool("broken", false, "build parts wrongly, one after the other, and see that a check finds each")
	regressions := flags.String("regressions", "", "file of seeds that failed once, played first")
	dir := flags.String("dir", filepath.Join(os.TempDir(), "shallotspool-faults"), "where settings and logs of failed seeds are kept")
	return &ffcli.Command{
		Name: "faults", ShortUsage: "harness faults -binary PATH [flags]", FlagSet: flags,
		ShortHelp: "run nodes as processes, harm them from outside and check the promises",
		Exec: func(context.Context, []string) error {
			if *from == 0 {
				*from = uint64(time.Now().UnixNano())
			}
			if *broken {
				return runBroken(o, *dir)
			}
			if err := runRegressions(o, *regressions, *dir); err != nil {
				return err
			}
			return runFaults(o, *dir, *from, *seeds)
		},
	}
}

// runFaults plays seeds one after the other and prints the sums.
func runFaults(o faults.Options, dir string, from, seeds uint64) error {
	var sum faults.Report
	sum.Faults = map[string]int{}
	failed := 0
	for seed := from; seed < from+seeds; seed++ {
		o.Seed, o.Dir = seed, filepath.Join(dir, fmt.Sprint(seed))
		report, err := faults.Run(o)
		if err != nil {
			return err
		}
		sum.Requests += report.Requests
		sum.Served += report.Served
		for kind, count := range report.Faults {
			sum.Faults[kind] += count
		}
		for _, v := range report.Violations {
			fmt.Printf("seed=%d violation=%q\n", seed, v)
		}
		if len(report.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(o.Dir); err != nil {
			return err
		}
	}
	var parts []string
	for kind, count := range sum.Faults {
		parts = append(parts, fmt.Sprintf("%s=%d", kind, count))
	}
	sort.Strings(parts)
	fmt.Printf("seeds=%d failed=%d nodes=%d requests=%d served=%d faults: %s\n", seeds, failed, o.Nodes, sum.Requests, sum.Served, strings.Join(parts, " "))
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; settings and logs are in %s", failed, seeds, dir)
	}
	return nil
}

// runBroken plays one run for each broken part.
func runBroken(o faults.Options, dir string) error {
	missed := 0
	for _, b := range faults.Variants() {
		o.Seed, o.Broken, o.Dir = 1, b, filepath.Join(dir, string(b))
		report, err := faults.Run(o)
		if err != nil {
			return err
		}
		caught := faults.Caught(b, report)
		if !caught {
			missed++
		}
		fmt.Printf("broken=%s caught=%v violations=%d\n", b, caught, len(report.Violations))
		if err := os.RemoveAll(o.Dir); err != nil {
			return err
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d broken parts were not found", missed)
	}
	return nil
}

// runRegressions plays the seeds of a file: lines of a number of nodes, a seed and
// what was the cause.
func runRegressions(o faults.Options, path, dir string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var seed uint64
		if _, err := fmt.Sscan(line, &o.Nodes, &seed); err != nil {
			return fmt.Errorf("%s:%d: want the number of nodes and a seed: %w", path, number, err)
		}
		if err := runFaults(o, dir, seed, 1); err != nil {
			return err
		}
	}
	return nil
}
