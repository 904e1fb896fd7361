package engine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/owner"
)

// own hands a call that is not idempotent to the owner of its key. A call that
// the own upstream makes on behalf of a dispatch is owned here: its parent runs
// at most once, and nobody else can send it.
func (n *Node) own(c *call) {
	if c.origin == OriginUpstream && c.parent != nil {
		n.try(c)
		return
	}
	if c.request.Key == "" {
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
		return
	}
	service := n.doc.Service(c.route.Service)
	target := owner.Of(service.Name, service.Targets, c.request.Key)
	if target == n.cfg.Self.Target {
		n.ownHere(c)
		return
	}
	if c.stage == StageOwn {
		n.refuse(c, ReasonNotOwner)
		return
	}
	if n.view.Peer(target) == nil {
		n.refuse(c, ReasonOwnerUnreachable)
		return
	}
	n.sendTo(c, target, StageOwn)
}

func (n *Node) ownHere(c *call) {
	verdict, held := n.keys.Admit(n.now, c.request.Key, c.send, fingerprintOf(c.request))
	switch verdict {
	case owner.VerdictRun:
		c.owned = true
		n.try(c)
	case owner.VerdictHeld:
		n.end(c, held.(Reply))
	case owner.VerdictStarting:
		n.refuse(c, ReasonOwnerStarting)
	case owner.VerdictFull:
		n.refuse(c, ReasonTableFull)
	case owner.VerdictReused:
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonKeyReused})
	case owner.VerdictNotRun:
		n.refuse(c, ReasonCancelled)
	default:
		n.end(c, Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost})
	}
}

// settleOwner tells the key table how an owned call ended.
func (n *Node) settleOwner(c *call, reply Reply) {
	if !c.owned {
		return
	}
	c.owned = false
	ran := reply.Outcome != OutcomeNotRun && reply.Outcome != OutcomeBadRequest
	if reply.Answer == nil {
		n.keys.Finish(n.now, c.request.Key, ran, nil, 0)
		return
	}
	n.keys.Finish(n.now, c.request.Key, ran, reply, len(reply.Answer.Body))
}

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
