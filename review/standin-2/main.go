// Command standin-2 plays a case of the second review: it starts nodes as processes on loopback
// addresses, with stand-ins for the store, the targets and the clients, and checks what these see.
//
// Usage: standin-2 CASE RECORD NODE, with the name of the case, the path of the record and that of
// the node's program. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 115 * time.Second

// cases are the cases by name. Each returns the number of violations.
var cases = map[string]func(r *rig, trouble bool) (violations int){
	"interim-answer": playInterim,
	"own-503":        playOwn503,
	"weights":        playWeights,
	"shorter":        playShorter,
	"full-header":    playHeader,
}

func main() { os.Exit(play()) }

func play() (code int) {
	code = exitCannotRun
	defer func() {
		if e := recover(); e != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", e)
		}
	}()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD NODE")
		return code
	}
	r := newRig(os.Args[3], os.Args[2])
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		r.killAll()
		os.Exit(exitCannotRun)
	}()
	violations := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.record.line("%d violations", violations)
	if violations > 0 {
		return exitBroken
	}
	return exitHeld
}
