package engine

import (
	"strconv"
	"time"

	"github.com/shallotspool/shallotspool/core/chart"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// leavingGrace is how long a leaving node still takes what others sent
	// before they could know.
	leavingGrace = time.Second
	// leavingLinger is how long it stays at least, so that later sends are
	// answered instead of cut.
	leavingLinger = 2 * time.Second
	// drainOverdue is how long a drain takes before operators are told.
	drainOverdue = 30 * time.Second
)

// The events and actions of the chart of a node's life, in the order of
// lifeChart.
const (
	lifeDocumentInForce chart.Event = iota
	lifeStopRequested
	lifeDrained
	lifeDrainOverdue
)

const (
	lifeAnnounce chart.Action = iota
	lifeWatchDrain
	lifeReportDrain
	lifeStop
)

var lifeChart = chart.MustBuiltIn("node", chart.Names{
	Events:  []string{"document_in_force", "stop_requested", "drained", "drain_overdue"},
	Actions: []string{"announce", "watch_drain", "report_drain", "stop"},
})

// nodeStates gives what others are told in each state of the chart.
var nodeStates = map[chart.State]wire.NodeState{
	lifeChart.State("starting"): wire.NodeStarting,
	lifeChart.State("serving"):  wire.NodeServing,
	lifeChart.State("leaving"):  wire.NodeLeaving,
	lifeChart.State("overdue"):  wire.NodeLeaving,
	lifeChart.State("left"):     wire.NodeLeft,
}

// live takes one event of the node's life.
func (n *Node) live(e chart.Event) {
	actions := n.life.Fire(e)
	n.state = nodeStates[n.life.State()]
	n.view.SetSelf(n.state)
	for _, a := range actions {
		switch a {
		case lifeAnnounce:
			n.announce()
		case lifeWatchDrain:
			n.leavingSince = n.now
		case lifeReportDrain:
			n.reportDrain()
		case lifeStop:
			n.emit(&Stopped{})
		}
	}
}

// stop begins the graceful stop: others are told at once, no new work is taken,
// and what is in flight completes.
func (n *Node) stop() { n.live(lifeStopRequested) }

// refusesNew tells whether c is refused because the node is leaving. The own
// upstream may always call: what it works on has to complete. What others sent
// to be run here is taken until they can know. Everything else still passes on
// to other nodes until the node is about to stop.
func (n *Node) refusesNew(c *call) bool {
	since := n.now - n.leavingSince
	switch {
	case n.state < wire.NodeLeaving || c.origin == OriginUpstream || n.faults().WorkWhileLeaving:
		return false
	case n.state == wire.NodeLeft:
		return true
	case c.origin == OriginPeer && c.stage == StageRun:
		return since >= leavingGrace
	}
	return since >= leavingLinger
}

// checkDrain ends the drain once nothing is in flight.
func (n *Node) checkDrain() {
	if n.state != wire.NodeLeaving {
		return
	}
	since := n.now - n.leavingSince
	if since >= leavingGrace && !n.faults().WorkWhileLeaving {
		n.refuseQueued(ReasonLeaving)
	}
	if since >= n.linger() && (len(n.calls) == 0 || n.faults().CutOnStop) {
		n.checkNothingOpen()
		n.checker.Check(len(n.attempts) == 0, invariant.Violation{
			Name: invariant.InFlightIsKept, Detail: strconv.Itoa(len(n.attempts)) + " attempts open at the stop",
		})
		n.live(lifeDrained)
		return
	}
	if since >= drainOverdue {
		n.live(lifeDrainOverdue)
	}
}

func (n *Node) reportDrain() {
	n.emit(&Log{Level: LogWarn, Message: "drain does not end", Fields: []Field{
		{"calls", strconv.Itoa(len(n.calls))}, {"seconds", strconv.Itoa(int((n.now - n.leavingSince) / time.Second))},
	}})
}
