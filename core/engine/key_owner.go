package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/idempotency"
)

// maxKeyBytes is the maximum length of an Idempotency-Key, in bytes.
const maxKeyBytes = 256

// routeToOwner routes a non-idempotent call to the owner of its key. A call that
// the upstream makes during a dispatch is handled here by runChild: only this
// node can receive it.
func (n *Node) routeToOwner(c *call) {
	if c.origin == OriginUpstream && c.parent != nil {
		n.runChild(c)
		return
	}
	if c.request.Key == "" || len(c.request.Key) > maxKeyBytes {
		n.endCall(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
		return
	}
	owner := ownerOf(n.doc.Service(c.route.Service), c.request.Key)
	switch {
	case owner == n.cfg.Self.Target:
		n.admitKey(c)
	case c.stage == StageOwner:
		n.failCall(c, ReasonNotOwner)
	case owner == "":
		n.endCall(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
	case n.view.Peer(owner) == nil:
		n.failCall(c, ReasonOwnerUnreachable)
	default:
		n.sendTo(c, owner, StageOwner)
	}
}

// ownerOf returns the target that owns key: for an issued key the target that
// it names, for any other key the one that it hashes to. It returns the empty
// string for an issued key that names no target of the service.
func ownerOf(service *document.Service, key string) string {
	issued, ok := idempotency.ParseIssuedKey(key)
	if !ok {
		return idempotency.TargetForKey(service.Name, service.TargetCount, key)
	}
	for i := 1; i <= service.TargetCount; i++ {
		if idempotency.TargetName(service.Name, i) == issued.Target {
			return issued.Target
		}
	}
	return ""
}

// admitKey decides, as owner of the key, what to do with a call.
func (n *Node) admitKey(c *call) {
	key := c.request.Key
	request := idempotency.KeyRequest{Key: key, Fingerprint: fingerprintOf(c.request), NotBefore: n.heldElsewhereUntil(c)}
	if issued, ok := idempotency.ParseIssuedKey(key); ok {
		if !n.keyTable.Contains(key) && !n.keyIssuer.Accepts(issued) {
			n.failWith(c, Reply{Reason: ReasonKeyExpired})
			return
		}
		request.Issued = true
	}
	decision, stored := n.keyTable.Admit(n.now, request)
	switch decision {
	case idempotency.DecisionRun:
		c.holdsKey = true
		n.ownedCalls[key] = c
		n.makeFirstAttempt(c)
	case idempotency.DecisionJoin:
		n.joinCall(c, n.ownedCalls[key])
	case idempotency.DecisionReplay:
		n.endCall(c, stored.(Reply))
	case idempotency.DecisionTooEarly:
		n.failWith(c, Reply{Reason: ReasonOwnerStarting, RetryAfter: n.keyTable.WaitTime(n.now, request)})
	case idempotency.DecisionTableFull:
		n.failCall(c, ReasonTableFull)
	case idempotency.DecisionKeyReused:
		n.endCall(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonKeyReused})
	default: // idempotency.DecisionUnknown
		n.endCall(c, Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost})
	}
}

// joinCall makes c wait for the reply to first, an open call with the same key.
func (n *Node) joinCall(c, first *call) {
	c.mayHaveRun = true
	first.waiters = append(first.waiters, c)
}

// settleKey records the result of c under its key, if it has one, and answers
// the calls that joined c.
func (n *Node) settleKey(c *call, reply Reply) {
	if c.parent != nil {
		n.recordChildResult(c, reply)
	}
	if c.holdsKey {
		c.holdsKey = false
		delete(n.ownedCalls, c.request.Key)
		n.keyTable.Finish(n.now, c.request.Key, replyMayHaveRun(reply), storedResult(reply), resultSize(reply))
	}
	joined := c.waiters
	c.waiters = nil
	for _, waiter := range joined {
		if n.calls[waiter.id] != waiter {
			continue
		}
		// joinCall set it for the time of the wait; now the reply decides.
		waiter.mayHaveRun = false
		n.endCall(waiter, reply)
	}
}

// replyMayHaveRun reports whether a call that ended with r ran or may have run.
func replyMayHaveRun(r Reply) bool {
	return r.Outcome != OutcomeNotRun && r.Outcome != OutcomeBadRequest
}

// storedResult returns what the key table stores of r to answer resends: the
// reply if it has a complete response, or else nil.
func storedResult(r Reply) any {
	if r.Response == nil {
		return nil
	}
	return r
}

// resultSize returns the size of a stored reply in bytes.
func resultSize(r Reply) int {
	if r.Response == nil {
		return 0
	}
	return len(r.Response.Body) + len(r.Response.Header)
}

// afterOwnerReply ends a call with the reply of the node that owns its key.
func (n *Node) afterOwnerReply(c *call, reply Reply) {
	switch reply.Outcome {
	case OutcomeNotRun:
		n.failWith(c, reply)
	case OutcomeUnknown:
		c.mayHaveRun = true
		n.endCall(c, Reply{Outcome: OutcomeUnknown, Reason: reply.Reason})
	default:
		n.endCall(c, reply)
	}
}

// failWith ends c without a response, for the reason of reply. The outcome is
// not run, with the Retry-After of reply, or unknown if an attempt may have run.
func (n *Node) failWith(c *call, reply Reply) {
	if c.mayHaveRun && !n.injectedFaults().ReportLostAsNotRun {
		n.endCall(c, Reply{Outcome: OutcomeUnknown, Reason: reply.Reason})
		return
	}
	n.endCall(c, Reply{Outcome: OutcomeNotRun, Reason: reply.Reason, RetryAfter: reply.RetryAfter})
}

// runsWithoutCaller reports whether c continues although its caller is gone,
// because its result is stored for the caller's next send of the key.
func (n *Node) runsWithoutCaller(c *call) bool {
	return c.holdsKey && c.current != nil && !c.current.queued
}

// IssueKey returns a new key that this node owns. Unlike other keys, an issued
// key is accepted right after the node's start, without waiting for the resend
// window.
func (n *Node) IssueKey() string { return n.keyIssuer.Issue(n.now) }

// configureKeyTable applies the document in force to the key table. If it gives
// keys other owners, the former partition is recorded. before is the document
// that it replaces, or nil.
func (n *Node) configureKeyTable(before *document.Document) {
	cfg := idempotency.KeyTableConfig{
		Window:  n.doc.ResendWindow + resendWindowMargin,
		MaxKeys: n.doc.ResponseCache.Keys, MaxBytes: n.doc.ResponseCache.Bytes,
	}
	if n.injectedFaults().ForgetKeys {
		cfg.Window = 1 // nanosecond, over at the next tick
	}
	if n.keyTable == nil {
		n.keyTable = n.newKeyTable(cfg)
		return
	}
	n.keyTable.Configure(n.now, cfg)
	n.recordRepartition(before)
}

// newKeyTable returns the key table of a node that has just started. It refuses
// unknown keys for one resend window after the start, because an earlier run of
// the node may have accepted them.
func (n *Node) newKeyTable(cfg idempotency.KeyTableConfig) *idempotency.KeyTable {
	if n.injectedFaults().SkipStartWait {
		return idempotency.NewKeyTable(cfg, n.started-cfg.Window)
	}
	return idempotency.NewKeyTable(cfg, n.started)
}

// expireSendsKeysAndSuspects drops expired records of received sends, suspects,
// past key partitions and keys.
func (n *Node) expireSendsKeysAndSuspects() {
	n.receivedSends.Tick(n.now)
	n.suspects.Tick(n.now)
	n.expirePastKeyPartitions()
	if n.keyTable != nil {
		n.keyTable.Tick(n.now)
		n.keyIssuer.Tick(n.now, n.doc.ResendWindow)
	}
}

// resendWindowMargin extends the resend window: a send made at its very end may
// take idempotency.MaxSendAge to arrive, and the clock of the sending node may
// run a little slower.
const resendWindowMargin = idempotency.MaxSendAge + time.Second

// fingerprintOf returns a hash of the service, method, path and body of r.
func fingerprintOf(r *Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{r.Service, r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
