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

// signalFixture is a fleet with the signals that a test sends to its node
// front-1.
type signalFixture struct {
	*fleet.Fleet
	signals chan os.Signal
}

// newSignalFixture starts a fleet in which the upstream deep-1 works for the
// given time on each request.
func newSignalFixture(t *testing.T, work time.Duration) *signalFixture {
	t.Helper()
	f, err := fleet.Start([]byte(document), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Upstream("deep-1").WorkTime.Store(int64(work))
	s := &signalFixture{Fleet: f, signals: make(chan os.Signal, 2)}
	signal.Notify(s.signals, syscall.SIGTERM)
	t.Cleanup(func() { signal.Stop(s.signals) })
	return s
}

// put calls the route put of service deep through the node front-1.
func (s *signalFixture) put(id string) standin.Result {
	return s.Caller("front-1").Do(standin.NewCall(s.Document.Service("deep").Routes[0], id))
}

// waitUntilRunning waits until at least minRuns of the requests have started to
// run.
func (s *signalFixture) waitUntilRunning(ids []string, minRuns int) {
	for n := 0; n < minRuns; time.Sleep(time.Millisecond) {
		n = 0
		for _, id := range ids {
			n += s.RunCount(id)
		}
	}
}

// sendSIGTERM sends SIGTERM to the test process.
func sendSIGTERM(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Error(err)
	}
}

// TestSIGTERMCompletesCalls checks that a node that gets SIGTERM under load
// returns the upstream's response to each request that ran, and reports each
// other request as not run or refuses its connection.
func TestSIGTERMCompletesCalls(t *testing.T) {
	s := newSignalFixture(t, 50*time.Millisecond)
	ids := make([]string, 200)
	for i := range ids {
		ids[i] = fmt.Sprintf("p%d", i)
	}
	code := make(chan int, 1)
	go func() {
		s.waitUntilRunning(ids, 5)
		sendSIGTERM(t)
		<-s.signals
		code <- stop(s.Node("front-1"), s.signals)
	}()
	mapper := iter.Mapper[string, standin.Result]{MaxGoroutines: 40}
	for i, r := range mapper.Map(ids, func(id *string) standin.Result { return s.put(*id) }) {
		switch runs := s.RunCount(ids[i]); {
		case r.Outcome == "answered" && runs == 1 && r.Body == ids[i]:
		case r.Outcome == "not_run" && runs == 0:
		case r.Status == 0 && runs == 0:
			// The node had already stopped, so the connection was refused.
		default:
			t.Errorf("%s ran %d times, want once if answered and 0 otherwise: %+v", ids[i], runs, r)
		}
	}
	if c := <-code; c != exitOK {
		t.Errorf("exit code %d, want %d", c, exitOK)
	}
}

// TestSecondSIGTERMStopsAtOnce checks that a second SIGTERM aborts the calls in
// flight and stops the node.
func TestSecondSIGTERMStopsAtOnce(t *testing.T) {
	s := newSignalFixture(t, 3*time.Second)
	result := make(chan standin.Result, 1)
	go func() { result <- s.put("slow") }()
	s.waitUntilRunning([]string{"slow"}, 1)
	sendSIGTERM(t)
	<-s.signals
	sendSIGTERM(t)
	if c := stop(s.Node("front-1"), s.signals); c != exitFailure {
		t.Errorf("exit code %d, want %d", c, exitFailure)
	}
	if r := <-result; r.Status != 0 {
		t.Errorf("the aborted call got %+v, want no response", r)
	}
}
