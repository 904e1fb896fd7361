package engine

import (
	"github.com/shallotspool/shallotspool/core/wire"
)

func (n *Node) stop() {
	if n.state < wire.NodeLeaving {
		n.state = wire.NodeLeaving
		n.leftAt = n.now
		n.sendStates()
		n.refuseQueued(ReasonLeaving)
	}
	n.checkStopped()
}

func (n *Node) checkStopped() {
	if n.faults().WorkWhileLeaving && n.now-n.leftAt < 2*leavingBound {
		return
	}
	if n.state == wire.NodeLeaving && (len(n.calls) == 0 || n.faults().CutOnStop) {
		n.checkNothingOpen()
		n.state = wire.NodeLeft
		n.sendStates()
		n.emit(&Stopped{})
	}
}
