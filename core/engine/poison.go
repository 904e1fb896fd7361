package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/core/poison"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// suspicionLasts is how long a crash is held against a request.
	suspicionLasts = 10 * time.Minute
	// maxSuspects is the number of fingerprints held against requests.
	maxSuspects = 4096
	// maxAccused is the number of requests that one crash is held against; the
	// rest of what was in flight is let off.
	maxAccused = 256
)

// fingerprint identifies the content of c's request.
func (c *call) fingerprint() uint64 {
	if c.print == 0 {
		c.print = fingerprintOf(c.request) | 1
	}
	return c.print
}

// upstreamCrashed takes the end of the own upstream: what it ran is lost and
// suspect. Suspicions are told before anything is tried again.
func (n *Node) upstreamCrashed() {
	var lost []*attempt
	for _, a := range n.openAttempts() {
		if a.local && !a.waiting {
			lost = append(lost, a)
		}
	}
	if n.cfg.Policy.Poison && !n.faults().NoSuspicion {
		n.accuse(lost[:min(len(lost), maxAccused)])
	}
	n.freeTrials()
	for _, a := range lost {
		if n.attempts[a.id] == a {
			n.crashed(a)
		}
	}
	n.drainQueue()
}

func (n *Node) crashed(a *attempt) {
	c := a.call
	n.endAttempt(a, balancer.ResultFailed, 0)
	c.mayHaveRun = true
	n.afterLossFor(c, ReasonUpstreamCrashed)
}

func (n *Node) accuse(lost []*attempt) {
	for _, a := range lost {
		f := a.call.fingerprint()
		crashes := n.suspects.Crashed(n.now, n.cfg.Self.Target, f)
		n.tellSuspect(f, crashes)
		n.recallSuspects(f)
		n.emit(&Log{Level: LogWarn, Message: "request suspected of a crash", Fields: []Field{
			{"service", a.call.route.Service}, {"route", a.call.route.Name},
			{"fingerprint", strconv.FormatUint(f, 16)},
			{"crashes_here", strconv.Itoa(int(crashes))},
		}})
	}
}

// tellSuspect tells the linked peers how often f was in flight at a crash of
// the own upstream; 0 tells that it completed.
func (n *Node) tellSuspect(f uint64, crashes uint8) {
	m := &wire.Suspect{Fingerprint: f, Crashes: crashes, Remaining: suspicionLasts}
	for _, p := range n.view.Linked() {
		to := wire.NodeID{Target: p.Target, Incarnation: p.Incarnation}
		n.emit(&SendFrame{To: to, Frame: wire.Frame{Suspect: m}})
	}
}

// greet tells a node that a link opened to what crashed the own upstream: it
// may have started since.
func (n *Node) greet(peer wire.NodeID) {
	records := n.suspects.Records()
	for _, r := range records[max(0, len(records)-maxAccused):] {
		crashes := r.Crashes[n.cfg.Self.Target]
		if crashes == 0 {
			continue
		}
		m := &wire.Suspect{Fingerprint: r.Fingerprint, Crashes: crashes, Remaining: r.Expires - n.now}
		n.emit(&SendFrame{To: peer, Frame: wire.Frame{Suspect: m}})
	}
}

// suspectHeard takes a peer's word.
func (n *Node) suspectHeard(from wire.NodeID, m *wire.Suspect) {
	if n.faults().NoSuspicion {
		return
	}
	n.suspects.Heard(n.now, from.Target, m.Fingerprint, m.Crashes, m.Remaining)
	if m.Crashes > 0 {
		n.recallSuspects(m.Fingerprint)
	}
}

// recallSuspects takes the calls that became suspect out of the queue, to be
// tried as such.
func (n *Node) recallSuspects(f uint64) {
	for _, a := range n.openAttempts() {
		t := n.trials[f]
		if !a.waiting || a.call.fingerprint() != f || t != nil && t.attempt == a.id {
			continue
		}
		n.guard.Withdraw(uint64(a.id))
		n.closeAttempt(a)
		n.runHere(a.call)
	}
}

// learnCrash notes that the node a call was sent to lost its upstream to it.
func (n *Node) learnCrash(a *attempt, reply Reply) {
	if a.local || a.stage != StageRun || reply.Reason != ReasonUpstreamCrashed || !n.cfg.Policy.Poison || n.faults().NoSuspicion {
		return
	}
	n.suspects.Heard(n.now, a.target, a.call.fingerprint(), 1, suspicionLasts)
}

// Suspects returns what is held against requests, for operators to see.
func (n *Node) Suspects() []poison.Record { return n.suspects.Records() }

// trialTarget is the one target of c's service that runs it while it is
// suspect. All nodes agree on it, so no two upstreams run a suspect at once.
func (n *Node) trialTarget(c *call) string {
	service := n.doc.Service(c.route.Service)
	return owner.Of(service.Name, service.Targets, strconv.FormatUint(c.fingerprint(), 16))
}

// tryPoison takes a call over that something is held against; it reports
// whether it did.
func (n *Node) tryPoison(c *call) bool {
	switch n.standing(c) {
	case poison.Condemned:
		n.refuseAs(c, Reply{Reason: ReasonPoison})
	case poison.Suspect:
		n.tryTrial(c)
	default:
		return false
	}
	return true
}

// retryPoison makes a further attempt at a call over that something is held
// against; it reports whether it did.
func (n *Node) retryPoison(c *call) bool {
	if n.standing(c) == poison.Clear {
		return false
	}
	if n.cfg.Policy.Budget {
		c.pool.Spend()
	}
	return n.tryPoison(c)
}

// standing returns what is held against the request of c.
func (n *Node) standing(c *call) poison.Standing {
	if !n.cfg.Policy.Poison || n.suspects.Len() == 0 {
		return poison.Clear
	}
	return n.suspects.Standing(n.now, c.fingerprint())
}

// trialLater is when a caller may come back whose suspect request cannot be
// tried now.
const trialLater = time.Second

func (n *Node) tryTrial(c *call) {
	target := n.trialTarget(c)
	switch {
	case slices.Contains(c.tried, target):
		n.refuseAs(c, Reply{Reason: ReasonPoison, RetryAfter: trialLater})
	case target == n.cfg.Self.Target:
		n.runTrial(c)
	case c.origin == OriginPeer && c.stage == StageRun:
		n.refuseAs(c, Reply{Reason: ReasonPoison, RetryAfter: trialLater})
	case n.view.Peer(target) == nil || !n.view.Peer(target).Takes():
		n.refuseAs(c, Reply{Reason: ReasonPoison, RetryAfter: trialLater})
	default:
		n.sendTo(c, target, StageRun)
	}
}

// maxTrialWaiters is the number of calls that wait for one trial.
const maxTrialWaiters = 64

// trial is the one run of a suspect request.
type trial struct {
	attempt AttemptID
	waiting []*call
}

// runTrial runs c unless a request like it is being tried, whose end it awaits.
func (n *Node) runTrial(c *call) {
	t := n.trials[c.fingerprint()]
	if t == nil {
		t = &trial{}
		n.trials[c.fingerprint()] = t
		n.offerHere(c)
		if c.current != nil {
			t.attempt = c.current.id
		} else if n.trials[c.fingerprint()] == t {
			n.endTrial(c)
		}
		return
	}
	if len(t.waiting) >= maxTrialWaiters {
		n.refuseAs(c, Reply{Reason: ReasonPoison, RetryAfter: trialLater})
		return
	}
	t.waiting = append(t.waiting, c)
}

// settleTrial clears a suspect that its upstream ran to the end.
func (n *Node) settleTrial(a *attempt, completed bool) {
	if !a.local || n.suspects.Len() == 0 && len(n.trials) == 0 {
		return
	}
	c := a.call
	if completed && n.suspects.Cleared(c.fingerprint()) {
		n.tellSuspect(c.fingerprint(), 0)
	}
	if t := n.trials[c.fingerprint()]; t != nil && t.attempt == a.id {
		n.endTrial(c)
	}
}

// endTrial lets the calls go on that waited for a trial like c.
func (n *Node) endTrial(c *call) {
	t := n.trials[c.fingerprint()]
	delete(n.trials, c.fingerprint())
	n.release(t)
}

// freeTrials ends all trials: the upstream is gone.
func (n *Node) freeTrials() {
	for _, f := range sortedKeys(n.trials) {
		t := n.trials[f]
		delete(n.trials, f)
		n.release(t)
	}
}

func (n *Node) release(t *trial) {
	for _, c := range t.waiting {
		if n.calls[c.id] == c && c.current == nil {
			n.runHere(c)
		}
	}
}
