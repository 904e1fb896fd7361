package engine

import (
	"strconv"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/wire"
)

// maxWorkAfterStop is how long after the stop request a call may still be
// dispatched to the upstream. Calls that the upstream itself makes are exempt.
const maxWorkAfterStop = 2 * time.Second

// check asserts an invariant and returns ok. It counts and logs a violation,
// naming the call.
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

// checkReply asserts that a call is answered only once and that one refused as
// not run cannot have run. It returns false if the reply must not be sent.
func (n *Node) checkReply(c *call, reply Reply) bool {
	if !n.check(n.calls[c.id] == c, invariant.SingleReplyAndAttempt, c, "answered twice") && !n.injectedFaults().ReplyTwice {
		return false
	}
	n.check(reply.Outcome != OutcomeNotRun || !c.mayHaveRun, invariant.NotRunIsTrue, c, "refused as not run, but may have run")
	return true
}

// checkNewAttempt asserts that a non-idempotent call is not repeated after it
// may have run, and that no more retries are made than there are tokens. Sends
// to the owner of the key may be repeated, because the owner prevents a second
// run.
func (n *Node) checkNewAttempt(c *call, stage Stage) {
	ok := !c.mayHaveRun || c.route.Idempotent || !n.cfg.Policy.KeyOwnership || stage == StageOwner
	n.check(ok, invariant.AtMostOnce, c, "retried although it may have run")
	within := !n.cfg.Policy.RetryBudget || len(c.tried) <= c.initialTokens
	n.check(within, invariant.RetryBudget, c, "more retries than retry tokens")
}

// checkDispatch asserts that a may be dispatched to this node's upstream now.
func (n *Node) checkDispatch(a *attempt) {
	c := a.call
	leaving := n.state >= wire.NodeLeaving && n.now-n.leavingSince > maxWorkAfterStop && c.origin != OriginUpstream
	n.check(!leaving, invariant.NoNewWorkWhileLeaving, c, "new work dispatched to a leaving upstream")
	n.check(c.current == a, invariant.SingleReplyAndAttempt, c, "dispatched twice")
}

// checkAttemptReply asserts that a reply belongs to the attempt that its call
// waits for.
func (n *Node) checkAttemptReply(a *attempt, reply Reply) {
	n.check(a.call.current == a, invariant.ResponseMatchesCall, a.call, "reply to an abandoned attempt")
	open := reply.Response == nil || !a.local || n.calls[a.call.id] == a.call
	n.check(open, invariant.ResponseMatchesCall, a.call, "reply to a call that has ended")
}

// checkNoOpenCalls asserts that a graceful shutdown drops no open call.
func (n *Node) checkNoOpenCalls() {
	for _, id := range sortedKeys(n.calls) {
		n.check(false, invariant.InFlightCompletes, n.calls[id], "stopped with the call in flight")
	}
}

// checkDocumentOrder asserts that the version of the document in force
// increases.
func (n *Node) checkDocumentOrder(before, doc *document.Document) {
	ok := before == nil || doc.Version > before.Version
	n.check(ok, invariant.DocumentVersionNeverDecreases, &call{}, "an older document would be put in force")
}
