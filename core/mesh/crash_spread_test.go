package mesh

import (
	"fmt"
	"testing"
	"time"
)

// crashFleet is a fleet whose nodes exchange heartbeats as time passes.
type crashFleet struct {
	t     *testing.T
	nodes []*Node
	now   time.Duration
	// lastWorkID counts the requests run.
	lastWorkID uint64
}

const crasherFingerprint = 77

func newCrashFleet(t *testing.T) *crashFleet {
	return &crashFleet{t: t, nodes: newFleet(t, testRoute("a", true), testRoute("b", true)), now: time.Second}
}

// advance lets time pass while the nodes exchange heartbeats.
func (f *crashFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += HeartbeatInterval
		for _, n := range f.nodes {
			n.UpdatePlan(f.now)
			heartbeat := n.Heartbeat(f.now)
			n.DueHeartbeats(f.now, func(due DueHeartbeat) {
				for _, other := range f.nodes {
					if other.cfg.Instance == due.Instance {
						other.ReceiveHeartbeat(f.now, n.cfg.Instance, heartbeat.For(due))
					}
				}
			})
		}
	}
}

// run starts a request at the upstream of a node.
func (f *crashFleet) run(n *Node, fingerprint uint64) Work {
	f.lastWorkID++
	w := Work{ID: f.lastWorkID, RequestID: fmt.Sprint("r", f.lastWorkID), Fingerprint: fingerprint, Deadline: time.Hour}
	n.OfferWork(f.now, w)
	return w
}

// crash ends the upstream of a node while it runs the requests, the first of which is
// found lost first.
func (f *crashFleet) crash(n *Node, fingerprints ...uint64) {
	var running []Work
	for _, fingerprint := range fingerprints {
		running = append(running, f.run(n, fingerprint))
	}
	for _, w := range running {
		n.RecordCrash(f.now, w)
		n.WorkDone(f.now, w, time.Millisecond, RunUnreachable)
	}
}

// restart replaces a node by one that knows nothing of before.
func (f *crashFleet) restart(i int) {
	fresh := newFleet(f.t, testRoute("a", true), testRoute("b", true))[i]
	fresh.cfg.Incarnation = f.nodes[i].cfg.Incarnation + 1
	f.nodes[i] = fresh
}

// blockedAt returns the nodes that fail a request at once because it crashes upstreams.
func (f *crashFleet) blockedAt(fingerprint uint64) (nodes []string) {
	for _, n := range f.nodes {
		c, step := n.StartCall(f.now, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: fingerprint})
		if step.Kind == StepFail && step.Reason == ReasonCrasher {
			nodes = append(nodes, n.cfg.Instance)
		} else {
			n.AbandonCall(f.now, c)
		}
	}
	return nodes
}

// innocents returns the fingerprints of n requests that run once.
func innocents(first uint64, n int) (out []uint64) {
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

// spreadTime is the time after the second crash within which every node must have stopped
// a request: that within which nodes regain contact after a fault.
const spreadTime = 3 * time.Second

// TestCrasherAmongManyRequestsIsBlocked guards against a request that goes on crashing
// upstreams because so many others run beside it that its crashes are not reported.
func TestCrasherAmongManyRequestsIsBlocked(t *testing.T) {
	for _, beside := range []int{7, 20, 150} {
		f := newCrashFleet(t)
		for i, n := range f.nodes[:2] {
			f.crash(n, append([]uint64{crasherFingerprint}, innocents(uint64(1000*(i+1)), beside)...)...)
			f.advance(spreadTime)
		}
		if got := f.blockedAt(crasherFingerprint); len(got) != len(f.nodes) {
			t.Errorf("%d requests beside it: blocked at %v, want at all nodes", beside, got)
		}
		if got := f.blockedAt(1000); len(got) != 0 {
			t.Errorf("%d requests: another one is blocked at %v, want at no node", beside, got)
		}
	}
}

// TestBlockedRequestStaysBlockedAfterRestarts guards against a request that crashes
// upstreams again because the nodes that saw its crashes have restarted.
func TestBlockedRequestStaysBlockedAfterRestarts(t *testing.T) {
	f := newCrashFleet(t)
	for _, n := range f.nodes[:2] {
		f.crash(n, crasherFingerprint)
		f.advance(spreadTime)
	}
	for i := range f.nodes {
		f.restart(i)
		f.advance(spreadTime)
	}
	if got := f.blockedAt(crasherFingerprint); len(got) != len(f.nodes) {
		t.Errorf("blocked at %v after each node restarted, want at all nodes", got)
	}
}

// TestCrashRecordEnds guards against a request that is refused for ever, because each
// report of its crashes renews the record at its receiver.
func TestCrashRecordEnds(t *testing.T) {
	f := newCrashFleet(t)
	for _, n := range f.nodes[:2] {
		f.crash(n, crasherFingerprint)
		f.advance(spreadTime)
	}
	f.advance(crashMemory + spreadTime)
	if got := f.blockedAt(crasherFingerprint); len(got) != 0 {
		t.Errorf("blocked at %v after its crashes are forgotten, want at no node", got)
	}
}

// TestRepeatedRequestThatSucceedsIsNotBlocked guards against refusing a harmless request
// that is sent often, and therefore runs at each upstream that crashes.
func TestRepeatedRequestThatSucceedsIsNotBlocked(t *testing.T) {
	const popular = 5
	f := newCrashFleet(t)
	for _, n := range f.nodes[:2] {
		f.crash(n, crasherFingerprint, popular)
		f.advance(HeartbeatInterval)
		for _, other := range f.nodes[2:] {
			w := f.run(other, popular)
			other.WorkDone(f.now, w, time.Millisecond, RunSucceeded)
		}
		f.advance(spreadTime)
	}
	if got := f.blockedAt(popular); len(got) != 0 {
		t.Errorf("a request that succeeded between the crashes is blocked at %v, want at no node", got)
	}
	if got := f.blockedAt(crasherFingerprint); len(got) != len(f.nodes) {
		t.Errorf("the crashing request is blocked at %v, want at all nodes", got)
	}
}

// TestNodeBesideUpstreamStopsCrasher guards against a request that crashes an upstream
// because the node where it entered has not heard of its crashes.
func TestNodeBesideUpstreamStopsCrasher(t *testing.T) {
	f := newCrashFleet(t)
	for _, n := range f.nodes[:2] {
		f.crash(n, crasherFingerprint)
		f.advance(spreadTime)
	}
	if !f.nodes[2].BlocksWork(f.now, Work{Fingerprint: crasherFingerprint}) {
		t.Error("the node beside the upstream lets the request run, want it stopped")
	}
	if f.nodes[2].BlocksWork(f.now, Work{Fingerprint: crasherFingerprint + 1}) {
		t.Error("the node beside the upstream stops another request")
	}
	f.restart(3)
	c, _ := f.nodes[3].StartCall(f.now, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: crasherFingerprint})
	if step := f.nodes[3].EndAttempt(f.now, c, Outcome{Kind: OutcomeNotRun, Reason: ReasonCrasher}); step.Kind != StepFail || step.Reason != ReasonCrasher {
		t.Errorf("step %+v where the request entered, want StepFail with ReasonCrasher and no further attempt", step)
	}
}
