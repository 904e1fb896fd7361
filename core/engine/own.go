package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/owner"
)

// maxKeyBytes is the length of the longest Idempotency-Key taken, in bytes.
const maxKeyBytes = 256

// own hands a call that is not idempotent to the owner of its key. A call that
// the own upstream makes on behalf of a dispatch is owned here: its parent runs
// at most once, and nobody else can send it.
func (n *Node) own(c *call) {
	if c.origin == OriginUpstream && c.parent != nil {
		n.ownChild(c)
		return
	}
	if c.request.Key == "" || len(c.request.Key) > maxKeyBytes {
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
		return
	}
	target := ownerOf(n.doc.Service(c.route.Service), c.request.Key)
	switch {
	case target == n.cfg.Self.Target:
		n.ownHere(c)
	case c.stage == StageOwn:
		n.refuse(c, ReasonNotOwner)
	case target == "":
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
	case n.view.Peer(target) == nil:
		n.refuse(c, ReasonOwnerUnreachable)
	default:
		n.sendTo(c, target, StageOwn)
	}
}

// ownerOf returns the target name that owns key: the one an issued key names,
// or the one a caller's own key hashes to. It is empty for an issued key that
// names no target of the service.
func ownerOf(service *document.Service, key string) string {
	issued, ok := owner.ParseIssued(key)
	if !ok {
		return owner.Of(service.Name, service.Targets, key)
	}
	for i := 1; i <= service.Targets; i++ {
		if owner.TargetName(service.Name, i) == issued.Target {
			return issued.Target
		}
	}
	return ""
}

func (n *Node) ownHere(c *call) {
	key := c.request.Key
	ask := owner.Ask{Key: key, Fingerprint: fingerprintOf(c.request), ClosedUntil: n.movedUntil(c)}
	if issued, ok := owner.ParseIssued(key); ok {
		if !n.keys.Knows(key) && !n.issuer.Takes(issued) {
			n.refuseAs(c, Reply{Reason: ReasonKeyExpired})
			return
		}
		ask.Issued = true
	}
	verdict, held := n.keys.Admit(n.now, ask)
	switch verdict {
	case owner.VerdictRun:
		c.owned = true
		n.owned[key] = c
		n.try(c)
	case owner.VerdictJoin:
		n.join(c, n.owned[key])
	case owner.VerdictHeld:
		n.end(c, held.(Reply))
	case owner.VerdictStarting:
		n.refuseAs(c, Reply{Reason: ReasonOwnerStarting, RetryAfter: n.keys.OpensIn(n.now, ask)})
	case owner.VerdictFull:
		n.refuse(c, ReasonTableFull)
	case owner.VerdictReused:
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonKeyReused})
	default:
		n.end(c, Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost})
	}
}

// join lets c wait for the answer of lead, which runs the same key.
func (n *Node) join(c, lead *call) {
	c.mayHaveRun = true
	lead.joined = append(lead.joined, c)
}

// settleOwner tells the key table how an owned call ended, and everyone who
// waits for it.
func (n *Node) settleOwner(c *call, reply Reply) {
	if c.parent != nil {
		n.settleChild(c, reply)
	}
	if c.owned {
		c.owned = false
		delete(n.owned, c.request.Key)
		n.keys.Finish(n.now, c.request.Key, ranOf(reply), heldOf(reply), sizeOf(reply))
	}
	joined := c.joined
	c.joined = nil
	for _, j := range joined {
		if n.calls[j.id] != j {
			continue
		}
		j.mayHaveRun = false
		n.end(j, reply)
	}
}

func ranOf(r Reply) bool {
	return r.Outcome != OutcomeNotRun && r.Outcome != OutcomeBadRequest
}

// heldOf returns what is held of a reply for resends: a whole answer, or nil.
func heldOf(r Reply) any {
	if r.Answer == nil {
		return nil
	}
	return r
}

func sizeOf(r Reply) int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body) + len(r.Answer.Header)
}

// answeredByOwner goes on with a call whose key belongs to another node.
func (n *Node) answeredByOwner(c *call, reply Reply) {
	switch reply.Outcome {
	case OutcomeNotRun:
		n.refuseAs(c, reply)
	case OutcomeUnknown:
		c.mayHaveRun = true
		n.end(c, Reply{Outcome: OutcomeUnknown, Reason: reply.Reason})
	default:
		n.end(c, reply)
	}
}

// refuseAs passes a refusal on, unless an earlier attempt may have run.
func (n *Node) refuseAs(c *call, reply Reply) {
	if c.mayHaveRun && !n.faults().LostIsNotRun {
		n.end(c, Reply{Outcome: OutcomeUnknown, Reason: reply.Reason})
		return
	}
	n.end(c, Reply{Outcome: OutcomeNotRun, Reason: reply.Reason, RetryAfter: reply.RetryAfter})
}

// keepsRunning tells whether c goes on though nobody waits for it: its answer
// is held for the caller's next send of the key.
func (n *Node) keepsRunning(c *call) bool {
	return c.owned && c.current != nil && !c.current.waiting
}

// IssueKey returns a new key that this node owns. A caller that uses it need
// not wait for the resend window after this node's start.
func (n *Node) IssueKey() string { return n.issuer.Issue(n.now) }

// followDocument makes the key table follow the document in force; before is
// the one it replaces, or nil.
func (n *Node) followDocument(before *document.Document) {
	cfg := owner.Config{
		Window:  n.doc.ResendWindow + windowSlack,
		MaxKeys: n.doc.Answers.Keys, MaxBytes: n.doc.Answers.Bytes,
	}
	if n.faults().ForgetKeys {
		cfg.Window = 1
	}
	if n.keys == nil {
		n.keys = n.newTable(cfg)
		return
	}
	n.keys.Configure(n.now, cfg)
	n.noteMoved(before)
}

func (n *Node) newTable(cfg owner.Config) *owner.Table {
	if n.faults().NoStartWait {
		return owner.NewTable(cfg, n.started-cfg.Window)
	}
	return owner.NewTable(cfg, n.started)
}

// forgetOld drops what need not be remembered any more.
func (n *Node) forgetOld() {
	n.receipts.Tick(n.now)
	n.suspects.Tick(n.now)
	n.forgetMoved()
	if n.keys != nil {
		n.keys.Tick(n.now)
		n.issuer.Tick(n.now, n.doc.ResendWindow)
	}
}

// windowSlack is added to the resend window: a send made at its very end may be
// as old as sends may be, and its caller's node may have been a little slow.
const windowSlack = owner.MaxSendAge + time.Second

// fingerprintOf identifies what a request asks for, whatever its key.
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
