package engine

import "time"

// maintenanceInterval is how often documents, members and links are processed,
// which need less precision than TickInterval.
const maintenanceInterval = 100 * time.Millisecond

// tick runs all time-based work that is due.
func (n *Node) tick() {
	n.expireCalls()
	n.admissionControl.Tick(n.now)
	n.processQueue()
	n.expireSendsKeysAndSuspects()
	if n.now >= n.nextMaintenance {
		n.nextMaintenance = n.now + maintenanceInterval
		n.runMaintenance()
	}
	if n.now >= n.nextHeartbeat {
		n.nextHeartbeat = n.now + heartbeatInterval
		n.sendHeartbeats()
	}
	n.advanceDrain()
}

// runMaintenance runs the time-based work of documents, members and links.
func (n *Node) runMaintenance() {
	n.view.Tick(n.now)
	n.documents.Tick(n.now)
	n.requestMembers()
	n.openLinks()
	n.gossipMembers()
}
