package engine

import (
	"strconv"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/wire"
)

// leavingBound is how long after the stop was asked for an upstream may still
// get work that was not its own making.
const leavingBound = 2 * time.Second

// check asserts an invariant; a violation is counted and logged with the call.
func (n *Node) check(ok bool, name invariant.Name, c *call, detail string) bool {
	if n.checker.Check(ok, invariant.Violation{Name: name, Call: uint64(c.id), Detail: detail}) {
		return true
	}
	n.emit(&Log{Level: LogError, Message: "invariant broken", Fields: []Field{
		{"invariant", string(name)}, {"call", strconv.FormatUint(uint64(c.id), 10)}, {"detail", detail},
	}})
	n.emit(&Measurement{Metric: MetricViolation, Class: c.class, Count: 1})
	return false
}

// checkEnd asserts that a call is answered once and that a refusal is true.
func (n *Node) checkEnd(c *call, reply Reply) bool {
	if !n.check(n.calls[c.id] == c, invariant.OneReply, c, "answered twice") && !n.faults().AnswerTwice {
		return false
	}
	n.check(reply.Outcome != OutcomeNotRun || !c.mayHaveRun, invariant.NotRunIsKept, c, "refused as not run, but may have run")
	return true
}

// checkRepeat asserts that nothing is tried again that may have run and must
// not repeat, nor more often than there were tokens for. The owner of a key may
// be asked again: it is there to know.
func (n *Node) checkRepeat(c *call, stage Stage) {
	ok := !c.mayHaveRun || c.route.Idempotent || !n.cfg.Policy.Ownership || stage == StageOwn
	n.check(ok, invariant.AtMostOnce, c, "tried again though it may have run")
	within := !n.cfg.Policy.Budget || len(c.tried) <= c.tokens
	n.check(within, invariant.AttemptBudget, c, "more retries than tokens")
}

// checkDispatch asserts that the own upstream may get a now.
func (n *Node) checkDispatch(a *attempt) {
	c := a.call
	leaving := n.state >= wire.NodeLeaving && n.now-n.leavingSince > leavingBound && c.origin != OriginUpstream
	n.check(!leaving, invariant.LeavingNoWork, c, "new work to a leaving upstream")
	n.check(c.current == a, invariant.OneReply, c, "dispatched twice")
}

// checkAnswer asserts that an answer is to the attempt its call waits for.
func (n *Node) checkAnswer(a *attempt, reply Reply) {
	n.check(a.call.current == a, invariant.AnswerIsOwn, a.call, "answer to an abandoned attempt")
	own := reply.Answer == nil || !a.local || n.calls[a.call.id] == a.call
	n.check(own, invariant.AnswerIsOwn, a.call, "answer to a call that has ended")
}

// checkNothingOpen asserts that a graceful stop cuts nothing off.
func (n *Node) checkNothingOpen() {
	for _, id := range sortedKeys(n.calls) {
		n.check(false, invariant.InFlightIsKept, n.calls[id], "stopped with the call in flight")
	}
}

// refuseQueued gives the waiting calls of a leaving node back in time.
func (n *Node) refuseQueued(reason Reason) {
	for _, a := range n.openAttempts() {
		if a.waiting && a.call.origin != OriginUpstream {
			n.guard.Withdraw(uint64(a.id))
			n.closeAttempt(a)
			n.afterRefusal(a.call, reason)
		}
	}
}

// checkNewer asserts that the document in force never goes back.
func (n *Node) checkNewer(before, doc *document.Document) {
	ok := before == nil || doc.Version > before.Version
	n.check(ok, invariant.DocumentOrder, &call{}, "an older document would be put in force")
}
