package engine

import (
	"github.com/shallotspool/shallotspool/core/wire"
)

func (n *Node) stop() {
	if n.state < wire.NodeLeaving {
		n.state = wire.NodeLeaving
		n.sendStates()
	}
	n.checkStopped()
}

func (n *Node) checkStopped() {
	if n.state == wire.NodeLeaving && len(n.calls) == 0 {
		n.state = wire.NodeLeft
		n.sendStates()
		n.emit(&Stopped{})
	}
}
