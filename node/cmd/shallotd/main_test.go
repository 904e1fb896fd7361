package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/shallotspool/shallotspool/harness/fleet"
	"github.com/shallotspool/shallotspool/harness/standin"
)

const document = `version: 1
name: signals
classes: [all]
resend_window: 1s
answers: {bytes: 1048576, keys: 1000}
services:
  front:
    targets: 1
    routes:
      none: {method: GET, path: /none, class: all, idempotent: true, wait: 20s}
  deep:
    targets: 1
    routes:
      put: {method: PUT, path: "/put/{id}", class: all, idempotent: true, wait: 20s}
`

// scene is a fleet whose node front-1 gets signals.
type scene struct {
	*fleet.Fleet
	signals chan os.Signal
}

func newScene(t *testing.T, work time.Duration) *scene {
	t.Helper()
	f, err := fleet.Start([]byte(document), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Upstream("deep-1").Work.Store(int64(work))
	s := &scene{Fleet: f, signals: make(chan os.Signal, 2)}
	signal.Notify(s.signals, syscall.SIGTERM)
	t.Cleanup(func() { signal.Stop(s.signals) })
	return s
}

func (s *scene) put(id string) standin.Result {
	return s.Caller("front-1").Do(standin.Request(s.Document.Service("deep").Routes[0], id))
}

// running waits until so many of the requests run.
func (s *scene) running(ids []string, most int) {
	for n := 0; n < most; time.Sleep(time.Millisecond) {
		n = 0
		for _, id := range ids {
			n += s.Runs(id)
		}
	}
}

func terminate(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Error(err)
	}
}

// TestTerminateCutsNothing: on SIGTERM under load every request gets an answer,
// and each one that ran gets its upstream's.
func TestTerminateCutsNothing(t *testing.T) {
	s := newScene(t, 50*time.Millisecond)
	ids := make([]string, 200)
	for i := range ids {
		ids[i] = fmt.Sprintf("p%d", i)
	}
	code := make(chan int, 1)
	go func() {
		s.running(ids, 5)
		terminate(t)
		<-s.signals
		code <- stop(s.Node("front-1"), s.signals)
	}()
	mapper := iter.Mapper[string, standin.Result]{MaxGoroutines: 40}
	for i, r := range mapper.Map(ids, func(id *string) standin.Result { return s.put(*id) }) {
		switch runs := s.Runs(ids[i]); {
		case r.Outcome == "answered" && runs == 1 && r.Body == ids[i]:
		case r.Outcome == "not_run" && runs == 0:
		case r.Status == 0 && runs == 0:
			// The node had already stopped: the connection was refused.
		default:
			t.Errorf("%s ran %d times: %+v", ids[i], runs, r)
		}
	}
	if c := <-code; c != exitOK {
		t.Errorf("exit code %d", c)
	}
}

// TestSecondSignalCuts: a second SIGTERM ends the node at once.
func TestSecondSignalCuts(t *testing.T) {
	s := newScene(t, 3*time.Second)
	result := make(chan standin.Result, 1)
	go func() { result <- s.put("slow") }()
	s.running([]string{"slow"}, 1)
	terminate(t)
	<-s.signals
	terminate(t)
	if c := stop(s.Node("front-1"), s.signals); c != exitFailure {
		t.Errorf("exit code %d", c)
	}
	if r := <-result; r.Status != 0 {
		t.Errorf("the call that was cut got %+v", r)
	}
}
