package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// firstListInterval is how often the list is read until it names another
	// node; it doubles up to maxListInterval.
	firstListInterval = 2 * time.Second
	maxListInterval   = 32 * time.Second
	// newsFanOut is the number of linked nodes that news of a member are passed
	// on to.
	newsFanOut = 6
	// newsPerControl bounds the news passed on in each control interval, and
	// maxNews those that wait.
	newsPerControl = 4
	maxNews        = 256
)

// membersSeen takes the platform's list in.
func (n *Node) membersSeen(ev *MembersSeen) {
	n.view.Merge(n.now, ev.List)
	n.openLinks()
}

// readMembers asks for the platform's list. In a large fleet that is rare:
// nodes tell each other of comings and leavings long before the list does.
func (n *Node) readMembers() {
	if n.now < n.listAt {
		return
	}
	interval := spread.ReadInterval(n.view.Size())
	if n.view.Size() == 1 {
		n.listWait = min(max(2*n.listWait, firstListInterval), maxListInterval)
		interval = n.listWait
	}
	n.listAt = n.now + interval*3/4 + time.Duration(n.spreadOut.Int64N(int64(interval/2)))
	n.emit(&ReadPlatform{Resource: ResourceMembers})
}

// memberTold takes what another node passed on about a member.
func (n *Node) memberTold(m *wire.Member) {
	if n.view.Told(n.now, m) && len(n.news) < maxNews {
		n.news = append(n.news, m)
	}
}

// passNews tells some linked nodes of members that were news to this one.
func (n *Node) passNews() {
	count := min(newsPerControl, len(n.news))
	linked := n.view.Linked()
	for _, m := range n.news[:count] {
		for range min(newsFanOut, len(linked)) {
			to := linked[n.spreadOut.IntN(len(linked))]
			n.emit(&SendFrame{To: to.ID(), Frame: wire.Frame{Member: m}})
		}
	}
	n.news = n.news[count:]
}
