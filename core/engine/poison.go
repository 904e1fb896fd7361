package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/poison"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// suspicionTTL is how long a request stays suspect after a crash.
	suspicionTTL = 10 * time.Minute
	// maxSuspects is the maximum number of suspect fingerprints.
	maxSuspects = 4096
	// maxSuspectsPerCrash is the number of requests that become suspect by one
	// crash; others that were in flight do not.
	maxSuspectsPerCrash = 256
)

// fingerprint returns fingerprintOf the request, changed so that it is never 0.
func (c *call) fingerprint() uint64 {
	if c.cachedFingerprint == 0 {
		c.cachedFingerprint = fingerprintOf(c.request) | 1
	}
	return c.cachedFingerprint
}

// upstreamCrashed handles a crash of this node's upstream: its running requests
// are lost and become suspect. Peers are told the suspects before any retry is
// sent.
func (n *Node) upstreamCrashed() {
	var lost []*attempt
	for _, a := range n.openAttempts() {
		if a.local && !a.queued {
			lost = append(lost, a)
		}
	}
	if n.cfg.Policy.PoisonProtection && !n.injectedFaults().IgnoreCrashSuspects {
		n.recordSuspects(lost[:min(len(lost), maxSuspectsPerCrash)])
	}
	n.endAllTrials()
	for _, a := range lost {
		if n.attempts[a.id] == a {
			n.afterCrash(a)
		}
	}
	n.processQueue()
}

// afterCrash ends an attempt that was running when the upstream crashed.
func (n *Node) afterCrash(a *attempt) {
	c := a.call
	n.endAttempt(a, balancer.ResultFailed, 0)
	c.mayHaveRun = true
	n.afterLossWithReason(c, ReasonUpstreamCrashed)
}

// recordSuspects marks the requests of the lost attempts as suspect.
func (n *Node) recordSuspects(lost []*attempt) {
	for _, a := range lost {
		fingerprint := a.call.fingerprint()
		crashes := n.suspects.RecordCrash(n.now, n.cfg.Self.Target, fingerprint)
		n.broadcastSuspect(fingerprint, crashes)
		n.rerouteQueuedSuspects(fingerprint)
		n.emit(&Log{Level: LogWarn, Message: "request suspected of a crash", Fields: []Field{
			{"service", a.call.route.Service}, {"route", a.call.route.Name},
			{"fingerprint", strconv.FormatUint(fingerprint, 16)},
			{"crashes_here", strconv.Itoa(int(crashes))},
		}})
	}
}

// broadcastSuspect tells linked peers how many crashes of this node's upstream
// happened with a request of this fingerprint in flight; 0 reports that the
// request has completed since.
func (n *Node) broadcastSuspect(fingerprint uint64, crashes uint8) {
	m := &wire.Suspect{Fingerprint: fingerprint, Crashes: crashes, Remaining: suspicionTTL}
	for _, p := range n.view.LinkedPeers() {
		to := wire.NodeID{Target: p.Target, Incarnation: p.Incarnation}
		n.emit(&SendFrame{To: to, Frame: wire.Frame{Suspect: m}})
	}
}

// sendSuspects tells a newly linked node, which may just have started, which
// requests were in flight when this node's upstream crashed.
func (n *Node) sendSuspects(peer wire.NodeID) {
	records := n.suspects.Records()
	for _, r := range records[max(0, len(records)-maxSuspectsPerCrash):] {
		crashes := r.Crashes[n.cfg.Self.Target]
		if crashes == 0 {
			continue
		}
		m := &wire.Suspect{Fingerprint: r.Fingerprint, Crashes: crashes, Remaining: r.ExpiresAt - n.now}
		n.emit(&SendFrame{To: peer, Frame: wire.Frame{Suspect: m}})
	}
}

// suspectReceived processes a peer's report of a suspect.
func (n *Node) suspectReceived(from wire.NodeID, m *wire.Suspect) {
	if n.injectedFaults().IgnoreCrashSuspects {
		return
	}
	n.suspects.MergeReport(n.now, from.Target, m.Fingerprint, m.Crashes, m.Remaining)
	if m.Crashes > 0 {
		n.rerouteQueuedSuspects(m.Fingerprint)
	}
}

// rerouteQueuedSuspects takes queued calls with the given fingerprint, except a
// queued trial, out of the admission queue and handles them as suspects.
func (n *Node) rerouteQueuedSuspects(fingerprint uint64) {
	for _, a := range n.openAttempts() {
		t := n.trials[fingerprint]
		if !a.queued || a.call.fingerprint() != fingerprint || t != nil && t.attempt == a.id {
			continue
		}
		n.admissionControl.Withdraw(uint64(a.id))
		n.removeAttempt(a)
		n.runHere(a.call)
	}
}

// recordRemoteCrash marks the request of a as suspect if the receiver's
// upstream crashed while it ran a.
func (n *Node) recordRemoteCrash(a *attempt, reply Reply) {
	if a.local || a.stage != StageRun || reply.Reason != ReasonUpstreamCrashed || !n.cfg.Policy.PoisonProtection || n.injectedFaults().IgnoreCrashSuspects {
		return
	}
	n.suspects.MergeReport(n.now, a.target, a.call.fingerprint(), 1, suspicionTTL)
}

// Suspects returns the suspect requests, for operators.
func (n *Node) Suspects() []poison.Record { return n.suspects.Records() }

// trialTarget returns the one target of the service that may run c while it is
// suspect. All nodes compute the same target, so no two upstreams run a suspect
// request at the same time.
func (n *Node) trialTarget(c *call) string {
	service := n.doc.Service(c.route.Service)
	return idempotency.TargetForKey(service.Name, service.TargetCount, strconv.FormatUint(c.fingerprint(), 16))
}

// divertIfSuspect refuses c or runs it as a trial if its request is suspect. It
// returns false, and does nothing, if it is not.
func (n *Node) divertIfSuspect(c *call) bool {
	switch n.poisonStatus(c) {
	case poison.Blocked:
		n.failWith(c, Reply{Reason: ReasonPoison})
	case poison.Suspect:
		n.routeToTrial(c)
	default:
		return false
	}
	return true
}

// retrySuspect spends a retry token on c and diverts it if its request is
// suspect. It returns false, and does nothing, if it is not.
func (n *Node) retrySuspect(c *call) bool {
	if n.poisonStatus(c) == poison.Clear {
		return false
	}
	if n.cfg.Policy.RetryBudget {
		c.pool.Spend()
	}
	return n.divertIfSuspect(c)
}

// poisonStatus tells whether c's request is clear, suspect or blocked.
func (n *Node) poisonStatus(c *call) poison.Status {
	if !n.cfg.Policy.PoisonProtection || n.suspects.Len() == 0 {
		return poison.Clear
	}
	return n.suspects.Status(n.now, c.fingerprint())
}

// trialRetryAfter is the Retry-After of a suspect request that cannot run now.
const trialRetryAfter = time.Second

// routeToTrial runs a suspect request on its trial target, or refuses it if
// that target has been tried or does not accept work, or if another node sent
// the request to be run here.
func (n *Node) routeToTrial(c *call) {
	target := n.trialTarget(c)
	switch {
	case slices.Contains(c.tried, target):
		n.failWith(c, Reply{Reason: ReasonPoison, RetryAfter: trialRetryAfter})
	case target == n.cfg.Self.Target:
		n.runTrial(c)
	case c.origin == OriginPeer && c.stage == StageRun:
		n.failWith(c, Reply{Reason: ReasonPoison, RetryAfter: trialRetryAfter})
	case n.view.Peer(target) == nil || !n.view.Peer(target).AcceptsWork():
		n.failWith(c, Reply{Reason: ReasonPoison, RetryAfter: trialRetryAfter})
	default:
		n.sendTo(c, target, StageRun)
	}
}

// maxTrialWaiters is the maximum number of calls that wait for one trial.
const maxTrialWaiters = 64

// trial is the isolated run of a suspect request. Calls with the same
// fingerprint wait until it ends.
type trial struct {
	attempt AttemptID
	waiters []*call
}

// runTrial runs c as a trial, or makes it wait for the trial of a request with
// the same fingerprint.
func (n *Node) runTrial(c *call) {
	t := n.trials[c.fingerprint()]
	if t == nil {
		t = &trial{}
		n.trials[c.fingerprint()] = t
		n.offerToAdmission(c)
		if c.current != nil {
			t.attempt = c.current.id
		} else if n.trials[c.fingerprint()] == t { // c was refused.
			n.endTrial(c)
		}
		return
	}
	if len(t.waiters) >= maxTrialWaiters {
		n.failWith(c, Reply{Reason: ReasonPoison, RetryAfter: trialRetryAfter})
		return
	}
	t.waiters = append(t.waiters, c)
}

// settleTrial clears the suspicion of a request that completed, and ends the
// trial that a belongs to.
func (n *Node) settleTrial(a *attempt, completed bool) {
	if !a.local || n.suspects.Len() == 0 && len(n.trials) == 0 {
		return
	}
	c := a.call
	if completed && n.suspects.RecordSuccess(c.fingerprint()) {
		n.broadcastSuspect(c.fingerprint(), 0)
	}
	if t := n.trials[c.fingerprint()]; t != nil && t.attempt == a.id {
		n.endTrial(c)
	}
}

// endTrial removes the trial of c's request and resumes the calls that waited.
func (n *Node) endTrial(c *call) {
	t := n.trials[c.fingerprint()]
	delete(n.trials, c.fingerprint())
	n.resumeWaiters(t)
}

// endAllTrials ends all trials because the upstream that ran them is gone.
func (n *Node) endAllTrials() {
	for _, fingerprint := range sortedKeys(n.trials) {
		t := n.trials[fingerprint]
		delete(n.trials, fingerprint)
		n.resumeWaiters(t)
	}
}

// resumeWaiters runs the calls that waited for t and are still open.
func (n *Node) resumeWaiters(t *trial) {
	for _, c := range t.waiters {
		if n.calls[c.id] == c && c.current == nil {
			n.runHere(c)
		}
	}
}
