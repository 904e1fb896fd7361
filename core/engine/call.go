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
	depth    int
	arrived  time.Duration
	deadline time.Duration
	pool     budget.Pool
	// send is the sending node's name for it, for OriginPeer.
	send wire.SendID
	// parent is the dispatch on whose behalf the own upstream calls, and loan
	// the tokens it lent.
	parent *attempt
	loan   int
	// owned is true while the node's key table waits for the result.
	owned bool
	// current is the open attempt, nil between attempts.
	current *attempt
	// tried holds the targets of the attempts so far.
	tried []string
	// mayHaveRun is true once any attempt's fate is not certain.
	mayHaveRun bool
	// attempted is the time of the finished attempts.
	attempted time.Duration
	// again is true when an attempt at c was made before c arrived, so that its
	// first attempt here is a repeat.
	again bool
	// rerun is true when c may have run before, so that the calls made on its
	// behalf are repeats.
	rerun bool
	// launched is true once an attempt at c left this node's queue.
	launched bool
	// remembered is true when the allotment of this key has to be settled.
	remembered bool
	allotment  budget.RequestKey
	// overloads counts the refusals for overload.
	overloads int
	heapIndex int
	// tokens is the number of tokens the call began with.
	tokens int
	// heard is the stamp of this node that came with another node's send.
	heard wire.Stamp
	// joined are the calls that wait for this one's answer.
	joined []*call
	// keyed is what the parent remembers of the call.
	keyed *child
	// fence is the open question about a send, and fencedBy the node that waits
	// to learn what became of this call.
	fence    *fence
	fencedBy wire.NodeID
	restamps int
	// print is the fingerprint, 0 until it is needed.
	print uint64
}

// attempt is one try to have a call run: by the own upstream, or by a send to
// another node.
type attempt struct {
	id     AttemptID
	call   *call
	target string
	stage  Stage
	local  bool
	// waiting is true while a local attempt is in the admission queue.
	waiting bool
	started time.Duration
	send    wire.SendID
	// heard is the receiver's stamp that went with a send.
	heard wire.Stamp
	// childKeys are the keys of calls that are not idempotent, made meanwhile.
	childKeys map[string]*child
	// loan is the tokens that went with a send.
	loan int
	// pool holds the tokens for calls the own upstream makes meanwhile.
	pool budget.Pool
	// made counts the calls that the own upstream made meanwhile.
	made int
	// children are the open calls of the own upstream, childSince is when the
	// first of them began, and childTime is the time at least one was open.
	children   []*call
	childSince time.Duration
	childTime  time.Duration
}

// ownTime is the time the upstream spent on a itself by now.
func (a *attempt) ownTime(now time.Duration) time.Duration {
	return now - a.started - a.childTime
}

func (a *attempt) childStarted(now time.Duration, child *call) {
	if len(a.children) == 0 {
		a.childSince = now
	}
	a.children = append(a.children, child)
	a.made++
}

func (a *attempt) childEnded(now time.Duration, child *call) {
	i := slices.Index(a.children, child)
	a.children = slices.Delete(a.children, i, i+1)
	if len(a.children) == 0 {
		a.childTime += now - a.childSince
	}
}
