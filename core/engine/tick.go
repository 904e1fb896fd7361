package engine

import "time"

// controlInterval is how often the parts are run that need not be as exact as
// the ticks: documents, members and links.
const controlInterval = 100 * time.Millisecond

// tick passes time to every part that waits for it.
func (n *Node) tick() {
	n.expire()
	n.guard.Tick(n.now)
	n.drainQueue()
	n.forgetOld()
	if n.now >= n.controlAt {
		n.controlAt = n.now + controlInterval
		n.control()
	}
	if n.now >= n.heartbeat {
		n.heartbeat = n.now + heartbeatInterval
		n.sendStates()
	}
	n.checkDrain()
}

// control passes time to documents, members and links.
func (n *Node) control() {
	n.view.Tick(n.now)
	n.documents.Tick(n.now)
	n.readMembers()
	n.openLinks()
	n.passNews()
}
