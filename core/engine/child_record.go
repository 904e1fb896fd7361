package engine

// maxChildRecords is the number of keys remembered for one dispatch.
const maxChildRecords = 64

// childRecord is what a dispatch remembers of a non-idempotent call that its
// upstream made with a key. call is nil once reply is known.
type childRecord struct {
	fingerprint uint64
	call        *call
	reply       Reply
}

// runChild runs a non-idempotent call that this node's upstream makes during a
// dispatch. Calls with the same key run once per dispatch; calls without a key
// are all distinct. Such calls are not allowed during a dispatch of an
// idempotent route, because that dispatch may be repeated.
func (n *Node) runChild(c *call) {
	key, parent := c.request.Key, c.parent
	if parent.call.route.Idempotent {
		n.endCall(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonNoKey})
		return
	}
	if key == "" {
		n.makeFirstAttempt(c)
		return
	}
	known := parent.childRecords[key]
	switch {
	case known == nil && len(parent.childRecords) >= maxChildRecords:
		n.failCall(c, ReasonTableFull)
	case known == nil:
		n.startChild(c)
	case known.fingerprint != fingerprintOf(c.request):
		n.endCall(c, Reply{Outcome: OutcomeBadRequest, Reason: ReasonKeyReused})
	case known.call != nil:
		n.joinCall(c, known.call)
	default:
		n.endCall(c, known.reply)
	}
}

// startChild records the key of c and makes the first attempt.
func (n *Node) startChild(c *call) {
	parent := c.parent
	if parent.childRecords == nil {
		parent.childRecords = map[string]*childRecord{}
	}
	c.childRecord = &childRecord{fingerprint: fingerprintOf(c.request), call: c}
	parent.childRecords[c.request.Key] = c.childRecord
	n.makeFirstAttempt(c)
}

// recordChildResult keeps the reply to a keyed child until the dispatch that
// made it ends. A child that did not run is forgotten, so that its key can be
// used again.
func (n *Node) recordChildResult(c *call, reply Reply) {
	if c.childRecord == nil {
		return
	}
	if !replyMayHaveRun(reply) {
		delete(c.parent.childRecords, c.request.Key)
		return
	}
	c.childRecord.call, c.childRecord.reply = nil, reply
}
