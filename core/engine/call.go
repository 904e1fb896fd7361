package engine

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

// call is one request that this node has to answer, from its arrival to its
// reply.
type call struct {
	id      CallID
	origin  Origin
	stage   Stage
	request *Request
	route   *document.Route
	class   document.Class
	// priority is the priority within the class, drawn at the entry.
	priority uint16
	// depth is the depth of the call in its call tree, 0 at the entry.
	depth   int
	arrived time.Duration
	// deadline is when the call expires; while it waits for the answer to a
	// fence, that is when the fence times out.
	deadline time.Duration
	// pool holds the retry tokens of the call that are not lent out.
	pool budget.Pool
	// send identifies the send that created the call, for OriginPeer.
	send wire.SendID
	// parent is the dispatch during which the node's own upstream made the
	// call; lentTokens is the number of tokens it lent to the call.
	parent     *attempt
	lentTokens int
	// holdsKey is true while the key table waits for the result of this call.
	holdsKey bool
	// current is the open attempt, nil between attempts.
	current *attempt
	// tried holds the targets of the attempts so far, in order.
	tried []string
	// mayHaveRun is true once some attempt may have run, and while the call
	// waits for the reply to another one with the same key.
	mayHaveRun bool
	// attemptTime is the total duration of the finished attempts.
	attemptTime time.Duration
	// firstAttemptIsRetry is true if the first attempt at this call counts as a
	// retry: an earlier send of the same request was already attempted, or the
	// parent's call may have run before.
	firstAttemptIsRetry bool
	// rerun is true if the call may have run before, so that the calls made on
	// its behalf count as retries.
	rerun bool
	// runAttempted is true once a StageRun send was made or a dispatch has
	// ended. Waiting in this node's queue does not count, nor does a send to the
	// owner of the key.
	runAttempted bool
	// budgetAcquired is true while the call holds the tokens of the request's
	// retry budget, which is stored under budgetKey and has to be released.
	budgetAcquired bool
	budgetKey      budget.RequestKey
	// overloadRefusals counts the attempts refused for overload.
	overloadRefusals int
	// heapIndex is the call's index in Node.deadlines, -1 if it is not there.
	heapIndex int
	// initialTokens is the number of retry tokens the call started with.
	initialTokens int
	// receiverStamp is this node's own stamp that came back with a peer's send.
	receiverStamp wire.Stamp
	// waiters are calls with the same key that wait for this call's reply.
	waiters []*call
	// childRecord is the parent's record of this call if the call is
	// non-idempotent and has a key.
	childRecord *childRecord
	// pendingFence is the unanswered fence that this node sent for the call.
	// fencedBy is the node whose fence for this call is answered when the call
	// ends.
	pendingFence *pendingFence
	fencedBy     wire.NodeID
	// stampRepeats counts the sends repeated with a newer stamp.
	stampRepeats int
	// cachedFingerprint is 0 until the fingerprint is first needed.
	cachedFingerprint uint64
}

// attempt is one try to execute a call: a dispatch to the node's own upstream
// or a send to another node.
type attempt struct {
	id     AttemptID
	call   *call
	target string
	stage  Stage
	local  bool
	// queued is true while a local attempt waits in the admission queue.
	queued  bool
	started time.Duration
	send    wire.SendID
	// receiverStamp is the receiver's stamp that went with a send.
	receiverStamp wire.Stamp
	// childRecords holds the non-idempotent calls that the upstream made during
	// this dispatch, by key.
	childRecords map[string]*childRecord
	// lentTokens is the number of retry tokens that the call lent to the
	// attempt.
	lentTokens int
	// pool holds the tokens for calls that the upstream makes during this
	// dispatch.
	pool budget.Pool
	// childCount is the number of calls that the upstream made during this
	// dispatch.
	childCount int
	// children are the open calls among them. childSince is when the current
	// period with at least one open child began; childTime is the total length
	// of the earlier periods.
	children   []*call
	childSince time.Duration
	childTime  time.Duration
}

// selfTime returns the time that the upstream spent on a up to now, without the
// completed periods during which calls that it made were open.
func (a *attempt) selfTime(now time.Duration) time.Duration {
	return now - a.started - a.childTime
}

// childStarted adds a call that the upstream made during a.
func (a *attempt) childStarted(now time.Duration, child *call) {
	if len(a.children) == 0 {
		a.childSince = now
	}
	a.children = append(a.children, child)
	a.childCount++
}

// childEnded removes an open child and accounts for the time it was open.
func (a *attempt) childEnded(now time.Duration, child *call) {
	i := slices.Index(a.children, child)
	a.children = slices.Delete(a.children, i, i+1)
	if len(a.children) == 0 {
		a.childTime += now - a.childSince
	}
}
