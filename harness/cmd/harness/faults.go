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

// The default size of a run.
const (
	defaultFaultNodes   = 12
	defaultFaultCallers = 24
)

// faultsCommand returns the subcommand faults.
func faultsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("faults", flag.ContinueOnError)
	seeds := flags.Uint64("seeds", 1, "number of seeds")
	from := flags.Uint64("from", 1, "first seed; 0 derives one from the clock")
	o := faults.Options{}
	flags.IntVar(&o.Nodes, "nodes", defaultFaultNodes, "number of node processes")
	flags.IntVar(&o.Callers, "callers", defaultFaultCallers, "number of callers")
	flags.IntVar(&o.MemoryMB, "memory", 0, "memory of each node, in MB; 0 for the default of its settings")
	flags.IntVar(&o.Uploads, "uploads", 0, "senders of large bodies in the scenario uploads; 0 for its default")
	flags.IntVar(&o.UploadMB, "upload-mb", 0, "size of these bodies, in MB; 0 for its default")
	flags.StringVar(&o.Binary, "binary", "", "path of the node's program")
	scenario := flags.String("scenario", "", fmt.Sprintf("fixed combination of faults instead of the schedule of the seed: one of %v", faults.Scenarios()))
	broken := flags.Bool("broken", false, "build in one defect after the other and verify that a check detects each")
	regressions := flags.String("regressions", "", "file of seeds that failed before, run first")
	dir := flags.String("dir", filepath.Join(os.TempDir(), "shallotspool-faults"), "directory for the settings and logs of failed seeds")
	return &ffcli.Command{
		Name: "faults", ShortUsage: "harness faults -binary PATH [flags]", FlagSet: flags,
		ShortHelp: "run nodes as processes, inject faults from outside and check the guarantees",
		Exec: func(context.Context, []string) error {
			if *from == 0 {
				*from = uint64(time.Now().UnixNano())
			}
			o.Scenario = faults.Scenario(*scenario)
			if *broken {
				return runDefects(o, *dir)
			}
			if o.Scenario == "" {
				if err := runRegressions(o, *regressions, *dir); err != nil {
					return err
				}
			}
			return runSeeds(o, *dir, *from, *seeds)
		},
	}
}

// runSeeds runs seeds one after the other and prints the totals. Only the files of
// failed seeds are kept.
func runSeeds(o faults.Options, dir string, from, seeds uint64) error {
	var total faults.Report
	total.Faults = map[string]int{}
	failed := 0
	for seed := from; seed < from+seeds; seed++ {
		o.Seed, o.Dir = seed, filepath.Join(dir, fmt.Sprint(seed))
		report, err := faults.Run(o)
		if err != nil {
			return err
		}
		total.Requests += report.Requests
		total.Served += report.Served
		for status, count := range report.Uploads {
			total.Faults[fmt.Sprint("upload_", status)] += count
		}
		total.PeakMemory = max(total.PeakMemory, report.PeakMemory)
		total.RetryShare = max(total.RetryShare, report.RetryShare)
		for kind, count := range report.Faults {
			total.Faults[kind] += count
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
	var counts []string
	for kind, count := range total.Faults {
		counts = append(counts, fmt.Sprintf("%s=%d", kind, count))
	}
	sort.Strings(counts)
	fmt.Printf("seeds=%d failed=%d nodes=%d requests=%d served=%d retry_share=%.2f peak_mb=%d faults: %s\n", seeds, failed, o.Nodes, total.Requests, total.Served, total.RetryShare, total.PeakMemory>>20, strings.Join(counts, " "))
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; settings and logs are in %s", failed, seeds, dir)
	}
	return nil
}

// runDefects executes one run for each defect and fails if a defect is not detected.
func runDefects(o faults.Options, dir string) error {
	undetected := 0
	for _, defect := range faults.Defects() {
		o.Seed, o.Defect, o.Dir = 1, defect, filepath.Join(dir, string(defect))
		report, err := faults.Run(o)
		if err != nil {
			return fmt.Errorf("defect %s: %w", defect, err)
		}
		detected := faults.Detected(defect, report)
		if !detected {
			undetected++
		}
		fmt.Printf("broken=%s caught=%v violations=%d\n", defect, detected, len(report.Violations))
		if err := os.RemoveAll(o.Dir); err != nil {
			return err
		}
	}
	if undetected > 0 {
		return fmt.Errorf("%d defects were not detected", undetected)
	}
	return nil
}

// runRegressions runs the seeds listed in a file. Each line holds a number of nodes, a
// seed and the cause of the earlier failure; lines that start with # are comments.
func runRegressions(o faults.Options, path, dir string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lineNumber := 0
	for line := range strings.Lines(string(text)) {
		lineNumber++
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var seed uint64
		if _, err := fmt.Sscan(line, &o.Nodes, &seed); err != nil {
			return fmt.Errorf("%s:%d: expected a number of nodes and a seed: %w", path, lineNumber, err)
		}
		if err := runSeeds(o, dir, seed, 1); err != nil {
			return err
		}
	}
	return nil
}
