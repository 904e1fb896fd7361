package engine

import (
	"strconv"
	"time"

	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/statechart"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// leavingGrace is how long a leaving node still accepts sends to run,
	// because peers may not know yet that it is leaving.
	leavingGrace = time.Second
	// minLeaveDuration is the minimum time that a leaving node keeps running,
	// so that late sends get a refusal instead of a broken connection.
	minLeaveDuration = 2 * time.Second
	// drainOverdueAfter is how long a drain may take before it is reported.
	drainOverdueAfter = 30 * time.Second
)

// The events and actions of the node's state chart, in the order of
// lifecycleChart.
const (
	eventDocumentInForce statechart.Event = iota
	eventStopRequested
	eventDrained
	eventDrainOverdue
)

const (
	actionAnnounce statechart.Action = iota
	actionWatchDrain
	actionReportDrain
	actionStop
)

var lifecycleChart = statechart.MustLoadBuiltIn("node", statechart.Names{
	Events:  []string{"document_in_force", "stop_requested", "drained", "drain_overdue"},
	Actions: []string{"announce", "watch_drain", "report_drain", "stop"},
})

// publishedStates maps the states of the chart to those that peers are told.
var publishedStates = map[statechart.State]wire.NodeState{
	lifecycleChart.MustState("starting"): wire.NodeStarting,
	lifecycleChart.MustState("serving"):  wire.NodeServing,
	lifecycleChart.MustState("leaving"):  wire.NodeLeaving,
	lifecycleChart.MustState("overdue"):  wire.NodeLeaving,
	lifecycleChart.MustState("left"):     wire.NodeLeft,
}

// fireLifecycle processes an event of the node's state chart.
func (n *Node) fireLifecycle(e statechart.Event) {
	actions := n.lifecycle.Fire(e)
	n.state = publishedStates[n.lifecycle.State()]
	n.view.SetOwnState(n.publishedState())
	for _, a := range actions {
		switch a {
		case actionAnnounce:
			n.announce()
		case actionWatchDrain:
			n.leavingSince = n.now
		case actionReportDrain:
			n.reportDrain()
		case actionStop:
			n.emit(&Stopped{})
		}
	}
}

// publishedState returns the state that peers are told.
func (n *Node) publishedState() wire.NodeState {
	if n.state == wire.NodeLeaving && n.injectedFaults().AcceptWorkWhileLeaving {
		return wire.NodeServing
	}
	return n.state
}

// startDrain begins the graceful shutdown: peers are told at once, new work is
// refused, and open calls complete.
func (n *Node) startDrain() { n.fireLifecycle(eventStopRequested) }

// refusedWhileLeaving reports whether c is refused because the node is leaving.
// Calls made by this node's upstream are always accepted, because the requests
// it works on have to complete. Sends to run here are accepted during
// leavingGrace. All other calls, which this node can route to other nodes, are
// accepted during minLeaveDuration.
func (n *Node) refusedWhileLeaving(c *call) bool {
	leavingFor := n.now - n.leavingSince
	switch {
	case n.state < wire.NodeLeaving || c.origin == OriginUpstream || n.injectedFaults().AcceptWorkWhileLeaving:
		return false
	case n.state == wire.NodeLeft:
		return true
	case c.origin == OriginPeer && c.stage == StageRun:
		return leavingFor >= leavingGrace
	}
	return leavingFor >= minLeaveDuration
}

// advanceDrain completes the drain once no call is open, and reports an overdue
// one.
func (n *Node) advanceDrain() {
	if n.state != wire.NodeLeaving {
		return
	}
	leavingFor := n.now - n.leavingSince
	if leavingFor >= leavingGrace && !n.injectedFaults().AcceptWorkWhileLeaving {
		n.refuseQueued(ReasonLeaving)
	}
	if leavingFor >= n.minLeavingTime() && (len(n.calls) == 0 || n.injectedFaults().StopWithOpenCalls) {
		n.checkNoOpenCalls()
		n.checker.Check(len(n.attempts) == 0, invariant.Violation{
			Name: invariant.InFlightCompletes, Detail: strconv.Itoa(len(n.attempts)) + " attempts open at shutdown",
		})
		n.fireLifecycle(eventDrained)
		return
	}
	if leavingFor >= drainOverdueAfter {
		n.fireLifecycle(eventDrainOverdue)
	}
}

// refuseQueued takes the queued calls of a leaving node out of the queue and
// retries them elsewhere or refuses them. Calls made by the upstream itself
// stay queued.
func (n *Node) refuseQueued(reason Reason) {
	for _, a := range n.openAttempts() {
		if a.queued && a.call.origin != OriginUpstream {
			n.admissionControl.Withdraw(uint64(a.id))
			n.removeAttempt(a)
			n.afterRefusal(a.call, reason)
		}
	}
}

// reportDrain logs that the drain is overdue.
func (n *Node) reportDrain() {
	n.emit(&Log{Level: LogWarn, Message: "drain does not end", Fields: []Field{
		{"calls", strconv.Itoa(len(n.calls))}, {"seconds", strconv.Itoa(int((n.now - n.leavingSince) / time.Second))},
	}})
}
