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
	w := Work{ID: f.lastWorkID, RequestID: fmt.Sprint("r", f.lastWorkID), Fingerprint: fingerprint, Deadline: time.Hour, Started: f.now}
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

// blockedAt returns the nodes that refuse a request at once because it crashes upstreams.
func (f *crashFleet) blockedAt(fingerprint uint64) (nodes []string) {
	for _, n := range f.nodes {
		c, step := n.StartCall(f.now, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: fingerprint})
		if step.Kind == StepRefuse && step.Reason == ReasonCrasher {
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
	if step := f.nodes[3].EndAttempt(f.now, c, Outcome{Kind: OutcomeNotRun, Reason: ReasonCrasher}); step.Kind != StepRefuse || step.Reason != ReasonCrasher {
		t.Errorf("step %+v where the request entered, want StepRefuse with ReasonCrasher and no further attempt", step)
	}
}

// send lets a request enter at a node and follows it to its end. crashes tells whether an
// upstream that runs it ends; it is back at once. It returns the last step and the number
// of upstreams that ran the request.
func (f *crashFleet) send(entry *Node, fingerprint uint64, crashes bool) (last Step, runs int) {
	c, step := entry.StartCall(f.now, IncomingRequest{ID: fmt.Sprint("c", f.now), Host: "h", Path: "/b/1", Fingerprint: fingerprint})
	for step.Kind == StepSend {
		beside := entry
		for _, n := range f.nodes {
			if n.cfg.Instance == step.Target.Instance {
				beside = n
			}
		}
		f.lastWorkID++
		w := Work{ID: f.lastWorkID, RequestID: fmt.Sprint("r", f.lastWorkID), Fingerprint: fingerprint, Deadline: time.Hour, Started: f.now}
		o := Outcome{Kind: OutcomeAnswered, Status: 200, ReachedUpstream: true}
		switch {
		case beside.BlocksWork(f.now, w):
			o = Outcome{Kind: OutcomeNotRun, Reason: ReasonCrasher}
		case crashes:
			runs++
			beside.OfferWork(f.now, w)
			beside.RecordCrash(f.now, w)
			beside.WorkDone(f.now, w, time.Millisecond, RunUnreachable)
			beside.UpstreamRecovered()
			o = Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true}
		default:
			runs++
			beside.OfferWork(f.now, w)
			beside.WorkDone(f.now, w, time.Millisecond, RunSucceeded)
		}
		step = entry.EndAttempt(f.now, c, o)
	}
	return step, runs
}

// The platform allows a request that has crashed maxCrashed upstreams to reach maxLateRuns
// more, from spreadTime after the last of these crashes on.
const (
	maxCrashed  = 3
	maxLateRuns = 3
)

// TestRequestThatKeepsComingStaysBlocked guards against a request that crashes as many
// upstreams again each time its records have ended.
func TestRequestThatKeepsComingStaysBlocked(t *testing.T) {
	f := newCrashFleet(t)
	runs, lateRuns, thirdCrash := 0, 0, time.Duration(0)
	for end := f.now + 30*time.Minute; f.now < end; f.advance(HeartbeatInterval) {
		for _, n := range f.nodes {
			_, ran := f.send(n, crasherFingerprint, true)
			if runs < maxCrashed && runs+ran >= maxCrashed {
				thirdCrash = f.now
			}
			if runs >= maxCrashed && f.now > thirdCrash+spreadTime {
				lateRuns += ran
			}
			runs += ran
		}
	}
	if lateRuns > maxLateRuns {
		t.Errorf("%d runs, %d of them later than %v after the third crash; %d allowed", runs, lateRuns, spreadTime, maxLateRuns)
	}
}

// TestPopularRequestIsServedBesideCrashers guards against failing a harmless request that
// runs everywhere and all the time, because two upstreams crash while they run it.
func TestPopularRequestIsServedBesideCrashers(t *testing.T) {
	const popular = 5
	f := newCrashFleet(t)
	elsewhere := f.run(f.nodes[2], popular)
	for _, n := range f.nodes[:2] {
		f.crash(n, crasherFingerprint, popular)
	}
	f.advance(HeartbeatInterval)
	f.nodes[2].WorkDone(f.now, elsewhere, time.Millisecond, RunSucceeded)
	f.advance(spreadTime)
	if got := f.blockedAt(popular); len(got) != 0 {
		t.Errorf("a request that completed after the crashes is blocked at %v, want at no node", got)
	}
	if got := f.blockedAt(crasherFingerprint); len(got) != len(f.nodes) {
		t.Errorf("the crashing request is blocked at %v, want at all nodes", got)
	}
}

// TestHarmlessRequestIsFreedAgain guards against failing a harmless request for as long as
// it is sent, because it ran at two upstreams that crashed and nowhere since.
func TestHarmlessRequestIsFreedAgain(t *testing.T) {
	const harmless = 5
	f := newCrashFleet(t)
	for _, n := range f.nodes[:2] {
		f.crash(n, crasherFingerprint, harmless)
	}
	served := false
	for end := f.now + time.Minute; f.now < end && !served; f.advance(HeartbeatInterval) {
		step, _ := f.send(f.nodes[3], harmless, false)
		served = step.Kind == StepDeliver
	}
	if !served {
		t.Error("not served within a minute of the crashes")
	}
	f.advance(spreadTime)
	if got := f.blockedAt(harmless); len(got) != 0 {
		t.Errorf("blocked at %v after it completed, want at no node", got)
	}
}
