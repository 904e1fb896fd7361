package engine

// maxChildKeys is the number of keys remembered for one dispatch.
const maxChildKeys = 64

// child is what a dispatch remembers of a call that its upstream made under a
// key of its own.
type child struct {
	fingerprint uint64
	call        *call
	reply       Reply
}

// ownChild runs a call that is not idempotent on behalf of the dispatch that
// the own upstream makes it for. Without a key, a second call is another call.
func (n *Node) ownChild(c *call) {
	key, parent := c.request.Key, c.parent
	if parent.call.route.Idempotent {
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
		return
	}
	if key == "" {
		n.try(c)
		return
	}
	known := parent.childKeys[key]
	switch {
	case known == nil && len(parent.childKeys) >= maxChildKeys:
		n.refuse(c, ReasonTableFull)
	case known == nil:
		n.runChild(c)
	case known.fingerprint != fingerprintOf(c.request):
		n.end(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonKeyReused})
	case known.call != nil:
		n.join(c, known.call)
	default:
		n.end(c, known.reply)
	}
}

func (n *Node) runChild(c *call) {
	parent := c.parent
	if parent.childKeys == nil {
		parent.childKeys = map[string]*child{}
	}
	c.keyed = &child{fingerprint: fingerprintOf(c.request), call: c}
	parent.childKeys[c.request.Key] = c.keyed
	n.try(c)
}

// settleChild holds the result of a child for as long as its dispatch lives.
func (n *Node) settleChild(c *call, reply Reply) {
	if c.keyed == nil {
		return
	}
	if !ranOf(reply) {
		delete(c.parent.childKeys, c.request.Key)
		return
	}
	c.keyed.call, c.keyed.reply = nil, reply
}
