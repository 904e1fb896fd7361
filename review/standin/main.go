// Command review-standin runs the cases of the review: it starts nodes as processes, with
// stand-ins for the store, the targets and the clients.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// testCase runs one case and returns its exit code. trouble is false if the disruption is left
// out.
type testCase func(d *deployment, trouble bool) (int, error)

var cases = map[string]testCase{}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return cannotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		rec.sayf("cannot run: %v", err)
		return cannotRun
	}
	defer d.close()
	code, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.sayf("cannot run: %v", err)
		return cannotRun
	}
	rec.sayf("%s", map[int]string{held: "the rule held", broken: "the rule was broken"}[code])
	return code
}
