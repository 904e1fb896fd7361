package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/outlier"
)

const (
	// maxMissed is the number of heartbeats that an instance may miss before it
	// gets no new work.
	maxMissed = 4
	// leavingTime is how long a node that said it leaves gets no new work unless
	// it says otherwise: the grace of a stop and a restart.
	leavingTime = 8 * time.Second
	// maxPeers bounds the instances remembered; see registry.
	maxPeers = 10_000
)

// peer is what this node knows of another instance, or of its own upstream.
type peer struct {
	instance string
	// inFlight is the number of this node's open attempts there.
	inFlight int
	// load is the last load it told, heardAt when that was, and base what
	// inFlight was then.
	load    Load
	heardAt time.Duration
	base    int
	// beatSent is when this node last sent it a heartbeat, wholeSent when it sent
	// one that said everything.
	beatSent, wholeSent time.Duration
	// beatAt is when its last heartbeat came, 0 if none did.
	beatAt      time.Duration
	beat        Heartbeat
	leavingTill time.Duration
	outlier     outlier.Target
	// noted is what the last events said of it.
	noted struct{ silent, faulty bool }
}

func (n *Node) peer(instance string) *peer {
	p := n.peers[instance]
	if p == nil {
		if len(n.peers) >= maxPeers {
			n.forgetPeers()
		}
		p = &peer{instance: instance}
		n.peers[instance] = p
	}
	return p
}

// forgetPeers drops the instances that nothing is open with.
func (n *Node) forgetPeers() {
	for instance, p := range n.peers {
		if p.inFlight == 0 {
			delete(n.peers, instance)
		}
	}
}

// hear takes in the load that came with an answer or a heartbeat.
func (p *peer) hear(now time.Duration, l Load) {
	p.load, p.heardAt, p.base = l, now, p.inFlight
}

// silent tells whether a peer that sent heartbeats stopped doing so.
func (p *peer) silent(now time.Duration) bool {
	return p.beatAt > 0 && now-p.beatAt > maxMissed*max(p.beat.Interval, HeartbeatInterval)
}

func (p *peer) leaving(now time.Duration) bool { return now < p.leavingTill }

// calls is the number of requests at its upstream, as far as this node knows.
func (p *peer) calls() int {
	return max(p.load.Running+p.load.Queued+p.inFlight-p.base, p.inFlight)
}
