package engine

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

// makeFirstAttempt makes the first attempt at c.
func (n *Node) makeFirstAttempt(c *call) {
	if n.divertIfSuspect(c) {
		return
	}
	if !n.payFirstAttemptIfRetry(c) {
		n.failCall(c, ReasonRetryBudget)
		return
	}
	peer := n.pickTarget(c)
	if peer == nil {
		n.failCall(c, n.noTargetReason(c))
		return
	}
	n.stateOfService(c.route.Service).retryLimiter.RecordFirstAttempt()
	n.attemptAt(c, peer)
}

// pickTarget chooses the target of the next attempt at c; it returns nil if no
// target accepts the call.
func (n *Node) pickTarget(c *call) *membership.Peer {
	options := balancer.Options{Exclude: n.excludedTargets(c), SelfLoad: n.loadWithLevel(n.admissionControl.Level()), Now: n.now}
	options.Retryable = c.route.Idempotent && n.canAfford(c, n.treeSize(c.route))
	if n.respectsLevels(c) {
		options.Rank = uint16(n.rankOf(c))
	}
	return n.balancer.Pick(c.route.Service, n.view.ServicePeers(c.route.Service), options)
}

// respectsLevels reports whether c avoids targets whose published level is
// below its rank. A call from deeper in the call tree is sent to them
// nevertheless until it has been refused once, because a refusal wastes the
// work already done above it.
func (n *Node) respectsLevels(c *call) bool {
	atEntry := c.parent == nil && c.origin != OriginPeer
	return n.cfg.Policy.AdmissionLevels && (atEntry || c.overloadRefusals > 0)
}

// noTargetReason returns the reason for which pickTarget found no target for c.
// It is overload if an untried target accepts work, because only its admission
// level can have excluded that target.
func (n *Node) noTargetReason(c *call) Reason {
	for _, p := range n.view.ServicePeers(c.route.Service) {
		if p.AcceptsWork() && !slices.Contains(c.tried, p.Target) {
			return ReasonOverload
		}
	}
	return ReasonNoTarget
}

// attemptAt makes an attempt at c on the given target, which may be this node.
func (n *Node) attemptAt(c *call, peer *membership.Peer) {
	if peer.Target == n.cfg.Self.Target {
		n.runHere(c)
		return
	}
	n.sendTo(c, peer.Target, StageRun)
}

// excludedTargets returns the targets on which c must not be attempted again.
// Without retry budgets, all targets are allowed again once c has made as many
// attempts as the service has targets.
func (n *Node) excludedTargets(c *call) []string {
	if !n.cfg.Policy.RetryBudget && len(c.tried) >= len(n.view.ServicePeers(c.route.Service)) {
		return nil
	}
	return c.tried
}

// sendTo makes an attempt at c by sending it to another node.
func (n *Node) sendTo(c *call, target string, stage Stage) {
	n.lastSendSequence++
	a := n.newAttempt(c, target, stage)
	a.send = wire.SendID{Node: n.cfg.Self, Sequence: n.lastSendSequence}
	a.lentTokens = n.lendTokens(c, stage)
	a.receiverStamp = n.stampFor(target)
	c.runAttempted = c.runAttempted || stage == StageRun
	n.balancer.AttemptStarted(n.now, target)
	n.emit(&SendCall{
		Attempt: a.id, Target: target, Request: c.request,
		Timeout: n.timeoutAfterHop(c), Stage: stage, Class: c.class, Priority: c.priority,
		RetryTokens: a.lentTokens, Depth: c.depth, Send: a.send, Rerun: c.rerun, ReceiverStamp: a.receiverStamp,
	})
}

// hopAllowance is subtracted from the remaining time for each hop, because the
// reply has to be back before this node's own deadline.
const hopAllowance = time.Millisecond

// timeoutAfterHop returns the time that the next node has for c. 0 sets no
// limit, so the minimum is one nanosecond.
func (n *Node) timeoutAfterHop(c *call) time.Duration {
	if !n.cfg.Policy.Deadlines {
		return 0
	}
	return max(c.deadline-n.now-hopAllowance, time.Nanosecond)
}

// lendTokens takes the tokens for a send from the pool of c. The owner of a key
// gets all of them, because it makes the further attempts.
func (n *Node) lendTokens(c *call, stage Stage) int {
	if stage == StageOwner {
		return c.pool.LendAll()
	}
	return c.pool.LendForSubtree(n.treeSize(c.route))
}

// newAttempt registers a new attempt at c.
func (n *Node) newAttempt(c *call, target string, stage Stage) *attempt {
	n.checkNewAttempt(c, stage)
	n.lastAttemptID++
	a := &attempt{id: n.lastAttemptID, call: c, target: target, stage: stage, started: n.now}
	n.attempts[a.id] = a
	c.current = a
	c.tried = append(c.tried, target)
	return a
}

// removeAttempt removes a from the node's indexes; its call stays open.
func (n *Node) removeAttempt(a *attempt) {
	delete(n.attempts, a.id)
	if a.call.current == a {
		a.call.current = nil
	}
}
