package engine

import (
	"time"
)

// readInterval is how often a node reads the platform.
const readInterval = 2 * time.Second

// tick passes time to every part that waits for it.
func (n *Node) tick() {
	n.expire()
	n.guard.Tick(n.now)
	n.drainQueue()
	n.forgetOld()
	if n.now >= n.readAt {
		n.readAt = n.now + readInterval
		n.emit(&ReadPlatform{Resource: ResourceMembers})
		n.emit(&ReadPlatform{Resource: ResourceDocument})
	}
	if n.now >= n.heartbeat {
		n.heartbeat = n.now + heartbeatInterval
		n.sendStates()
	}
	n.checkStopped()
}
