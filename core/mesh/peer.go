package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/outlier"
)

const (
	// maxMissedHeartbeats is the number of consecutive heartbeats that an instance may
	// miss before it gets no new work.
	maxMissedHeartbeats = 4
	// leavingHold is how long a node that announced its stop gets no new work, unless
	// a later heartbeat says otherwise. It covers the grace period of a stop and a
	// restart.
	leavingHold = 8 * time.Second
	// maxPeers bounds the instances for which state is kept. It equals the bound on
	// registrations in package registry.
	maxPeers = 10_000
)

// peer is the state this node keeps of another instance, or of its local upstream.
type peer struct {
	instance string
	// inFlight is the number of this node's open attempts at the instance.
	inFlight int
	// load is the last reported load, loadAt the time of the report, and
	// inFlightAtLoad the value of inFlight at that time.
	load           Load
	loadAt         time.Duration
	inFlightAtLoad int
	// heartbeatSentAt is the time of the last heartbeat to the instance, fullSentAt
	// that of the last full one.
	heartbeatSentAt, fullSentAt time.Duration
	// crashPage is the page of crash records in the last heartbeat to the instance.
	crashPage int
	// heartbeatAt is the time of the last heartbeat from the instance, or of the last news of
	// it from a relay, 0 if there was none.
	heartbeatAt time.Duration
	heartbeat   Heartbeat
	// directAt is the time of the last heartbeat that came from the instance itself, and
	// relayedAt that of the last state that a relay told; 0 if there is none. reportedSilent is
	// set while relays say that the node is silent.
	directAt, relayedAt time.Duration
	reportedSilent      bool
	// legacyAt is the time of the last heartbeat in the format of LegacyHeartbeat, 0 if the
	// node has sent others since.
	legacyAt     time.Duration
	leavingUntil time.Duration
	// stateRetryAt is when the store state of the instance may be fetched again after a failure.
	stateRetryAt time.Duration
	outlier      outlier.Target
	notice       upstreamNotice
	// reported is the state given in the last events on the instance.
	reported struct{ silent, faulty bool }
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

// forgetPeers drops the state of the instances without open attempts.
func (n *Node) forgetPeers() {
	for instance, p := range n.peers {
		if p.inFlight == 0 {
			delete(n.peers, instance)
		}
	}
}

// recordLoad records the load reported with an answer or a heartbeat.
func (p *peer) recordLoad(now time.Duration, l Load) {
	p.load, p.loadAt, p.inFlightAtLoad = l, now, p.inFlight
}

// silent reports whether an instance that sent heartbeats has stopped sending them.
func (p *peer) silent(now time.Duration) bool {
	return p.heartbeatAt > 0 && (p.reportedSilent || now-p.heartbeatAt > maxMissedHeartbeats*max(p.heartbeat.Interval, HeartbeatInterval))
}

// reportsDirectly reports whether heartbeats of the instance itself arrive here.
func (p *peer) reportsDirectly(now time.Duration) bool {
	return p.directAt > 0 && now-p.directAt <= maxMissedHeartbeats*max(p.heartbeat.Interval, HeartbeatInterval)
}

// legacyMemory is how long a node counts as one that knows no relays after its last
// heartbeat in the old format.
const legacyMemory = 10 * time.Second

// legacy reports whether the node of the instance knows no relays.
func (p *peer) legacy(now time.Duration) bool {
	return p.legacyAt > 0 && now-p.legacyAt <= legacyMemory
}

func (p *peer) leaving(now time.Duration) bool { return now < p.leavingUntil }

// requests returns the estimated number of requests at the instance's upstream: the
// last reported ones plus the attempts this node has opened since.
func (p *peer) requests() int {
	return max(p.load.Running+p.load.Queued+p.inFlight-p.inFlightAtLoad, p.inFlight)
}
