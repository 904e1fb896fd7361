package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// While this node knows no other node, it reads the platform's list at
	// intervals that double from minMembersReadInterval to
	// maxMembersReadInterval.
	minMembersReadInterval = 2 * time.Second
	maxMembersReadInterval = 32 * time.Second
	// gossipFanOut is the number of linked nodes to which a member update is
	// passed on.
	gossipFanOut = 6
	// maxGossipPerInterval bounds the member updates passed on in each
	// maintenance interval, and maxPendingMembers those that wait for it.
	maxGossipPerInterval = 4
	maxPendingMembers    = 256
)

// membersRead merges the platform's list of instances.
func (n *Node) membersRead(ev *MembersRead) {
	n.view.MergeList(n.now, ev.Instances)
	n.openLinks()
}

// requestMembers requests the platform's list when it is due. In a large fleet
// this is rare, because nodes tell each other about joining and leaving nodes
// long before the list does. Each interval is randomised by up to 25 % in
// either direction.
func (n *Node) requestMembers() {
	if n.now < n.nextMembersRead {
		return
	}
	interval := replication.ReadInterval(n.view.Size())
	if n.view.Size() == 1 {
		n.membersReadInterval = min(max(2*n.membersReadInterval, minMembersReadInterval), maxMembersReadInterval)
		interval = n.membersReadInterval
	}
	n.nextMembersRead = n.now + interval*3/4 + time.Duration(n.gossipRandom.Int64N(int64(interval/2)))
	n.emit(&ReadPlatform{Resource: ResourceMembers})
}

// memberReceived merges a member update from another node and queues it for
// gossip if it is new.
func (n *Node) memberReceived(m *wire.Member) {
	if n.view.MergeGossip(n.now, m) && len(n.pendingMembers) < maxPendingMembers {
		n.pendingMembers = append(n.pendingMembers, m)
	}
}

// gossipMembers passes pending member updates on to randomly chosen linked
// nodes.
func (n *Node) gossipMembers() {
	count := min(maxGossipPerInterval, len(n.pendingMembers))
	linked := n.view.LinkedPeers()
	for _, m := range n.pendingMembers[:count] {
		for range min(gossipFanOut, len(linked)) {
			to := linked[n.gossipRandom.IntN(len(linked))]
			n.emit(&SendFrame{To: to.ID(), Frame: wire.Frame{Member: m}})
		}
	}
	n.pendingMembers = n.pendingMembers[count:]
}
