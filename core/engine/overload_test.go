package engine_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

const overloadDocument = `version: 1
name: overload
classes: [write, read]
resend_window: 1s
answers: {bytes: 1024, keys: 16}
services:
  stock:
    targets: 1
    routes:
      put: {method: POST, path: /put, class: write, idempotent: true, wait: 1s, retries: 0}
      get: {method: GET, path: /get, class: read, idempotent: true, wait: 1s, retries: 0}
`

// overloadTranscript records the dispatches and replies of one node.
type overloadTranscript struct {
	node       *engine.Node
	now        time.Duration
	lastCallID engine.CallID
	running    []engine.AttemptID
	text       bytes.Buffer
}

func (s *overloadTranscript) step(name string, ev engine.Event) {
	for _, a := range s.node.Step(s.now, ev) {
		switch a := a.(type) {
		case *engine.Dispatch:
			s.running = append(s.running, a.Attempt)
			fmt.Fprintf(&s.text, "%v %s: dispatch attempt=%d path=%s\n", s.now, name, a.Attempt, a.Request.Path)
		case *engine.ReplyCall:
			fmt.Fprintf(&s.text, "%v %s: reply call=%d outcome=%d reason=%d level=%d\n",
				s.now, name, a.ID, a.Reply.Outcome, a.Reply.Reason, a.Reply.Load.AdmissionLevel)
		}
	}
}

func (s *overloadTranscript) call(method, path string) {
	s.lastCallID++
	s.step(fmt.Sprintf("%s %s", method, path), &engine.CallArrived{
		ID: s.lastCallID, Origin: engine.OriginCaller, Request: &engine.Request{Service: "stock", Method: method, Path: path},
	})
}

func (s *overloadTranscript) answer() {
	id := s.running[0]
	s.running = s.running[1:]
	s.step("answer", &engine.AttemptAnswered{Attempt: id, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Response: &engine.Response{Status: 200},
	}})
}

// TestOverloadAndRecovery records a node during an overload and after it. Reads
// are refused in favour of writes, and the admission level falls so that later
// reads are refused on arrival. After the overload the level rises again.
func TestOverloadAndRecovery(t *testing.T) {
	self := wire.NodeID{Target: "stock-1", Incarnation: 1}
	s := &overloadTranscript{node: engine.New(engine.Config{
		Self: self, Service: "stock", DataCentre: "dc0", Seed: 1, Policy: engine.FullPolicy(), MaxCalls: 100,
		Admission: admission.Config{Initial: 2, Min: 1, Max: 8, MaxQueue: 3},
	}, 0)}
	s.step("document", &engine.DocumentRead{Version: 1, Text: []byte(overloadDocument)})
	s.step("members", &engine.MembersRead{Instances: []membership.Instance{{Target: "stock-1", Service: "stock", DataCentre: "dc0"}}})
	// Per second, 220 calls arrive and at most 50 are answered.
	for s.now < 300*time.Millisecond {
		s.now += 10 * time.Millisecond
		s.step("tick", &engine.Tick{})
		s.call("GET", "/get")
		s.call("GET", "/get")
		if s.now%(50*time.Millisecond) == 0 {
			s.call("POST", "/put")
		}
		if s.now%(20*time.Millisecond) == 0 && len(s.running) > 0 {
			s.answer()
		}
	}
	fmt.Fprintln(&s.text, "the surge is over")
	for s.now < 900*time.Millisecond {
		s.now += 10 * time.Millisecond
		s.step("tick", &engine.Tick{})
		if len(s.running) > 0 {
			s.answer()
		}
		if s.now%(100*time.Millisecond) == 0 {
			s.call("GET", "/get")
		}
	}
	goldie.New(t).Assert(t, "surge_and_recovery", s.text.Bytes())
}
