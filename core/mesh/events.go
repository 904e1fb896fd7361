package mesh

import (
	"slices"
	"time"
)

// EventKind is the kind of a change in the observed state of an instance.
type EventKind uint8

// The kinds of events.
const (
	// EventUpstreamEjected means that this node stops sending to an upstream.
	EventUpstreamEjected EventKind = iota + 1
	// EventUpstreamReadmitted means that this node sends to an ejected upstream again.
	EventUpstreamReadmitted
	// EventNodeSilent means that the heartbeats of a node are missing.
	EventNodeSilent
	// EventNodeHeard means that the heartbeats of a silent node arrive again.
	EventNodeHeard
	// EventUpstreamFaulty means that the fault share of an upstream has reached
	// faultyThreshold.
	EventUpstreamFaulty
	// EventUpstreamHealthy means that the fault share of a faulty upstream has fallen
	// below faultyThreshold.
	EventUpstreamHealthy
	// EventLimitNamed means that the local upstream began to name a rate limit.
	EventLimitNamed
	// EventLimitLifted means that the local upstream no longer names a rate limit.
	EventLimitLifted
	// EventUpstreamLeaving means that an upstream says in an answer that it is about to
	// leave.
	EventUpstreamLeaving
	// EventRequestBlocked means that a request has crashed so many upstreams that it is
	// no longer run.
	EventRequestBlocked
	// EventRequestCleared means that a request that was blocked may run again.
	EventRequestCleared
	// EventRelayFollowed means that what is told of a data centre is taken from another
	// instance than before.
	EventRelayFollowed
)

// String returns the log message of the event.
func (k EventKind) String() string {
	return [...]string{
		"none", "upstream ejected", "upstream readmitted", "node silent", "node heard", "upstream faulty", "upstream sound",
		"upstream named limit", "upstream lifted limit", "upstream leaving",
		"request blocked", "request cleared", "relay followed",
	}[k]
}

// Event is a change in the observed state of an instance, with the values that caused
// it.
type Event struct {
	Kind     EventKind
	Instance string
	// Reason is the reason of the last attempt, for ejections and readmissions.
	Reason Reason
	// FaultShare is the reported fault share of the upstream.
	FaultShare float64
	// RateLimit is the limit that the local upstream named, in requests per second.
	RateLimit float64
	// HeartbeatAge is the time since the last heartbeat of the instance.
	HeartbeatAge time.Duration
	// Fingerprint identifies the request that was blocked or cleared; Crashes is the
	// number of crashes recorded for it.
	Fingerprint uint64
	Crashes     int
	// DataCentre is the data centre of which a relay tells.
	DataCentre string
}

// maxEvents bounds the buffered events. Further ones are dropped.
const maxEvents = 256

func (n *Node) recordEvent(e Event) {
	if len(n.events) < maxEvents {
		n.events = append(n.events, e)
	}
}

// TakeEvents returns the events since the previous call and clears the buffer.
func (n *Node) TakeEvents() []Event {
	out := n.events
	n.events = nil
	return out
}

// recordEjection records an event if the end of an attempt changed whether p is
// ejected.
func (n *Node) recordEjection(now time.Duration, p *peer, wasEjected bool, reason Reason) {
	if ejected := p.outlier.Ejected(); ejected != wasEjected {
		kind := EventUpstreamReadmitted
		if ejected {
			kind = EventUpstreamEjected
		}
		n.recordEvent(Event{Kind: kind, Instance: p.instance, Reason: reason, FaultShare: n.faultShare(p), HeartbeatAge: now - p.heartbeatAt})
	}
}

// recordPeerChanges records events for the instances that became silent or faulty, or
// stopped being so.
func (n *Node) recordPeerChanges(now time.Duration) {
	for _, instance := range n.knownInstances() {
		p := n.peers[instance]
		e := Event{Instance: instance, FaultShare: n.faultShare(p), HeartbeatAge: now - p.heartbeatAt}
		if silent := p.silent(now); silent != p.reported.silent {
			p.reported.silent, e.Kind = silent, EventNodeHeard
			if silent {
				e.Kind = EventNodeSilent
			}
			n.recordEvent(e)
		}
		if faulty := e.FaultShare >= faultyThreshold; faulty != p.reported.faulty {
			p.reported.faulty, e.Kind = faulty, EventUpstreamHealthy
			if faulty {
				e.Kind = EventUpstreamFaulty
			}
			n.recordEvent(e)
		}
	}
}

// knownInstances returns the instances from which heartbeats arrived and the local
// one, sorted.
func (n *Node) knownInstances() (out []string) {
	for instance, p := range n.peers {
		if p.heartbeatAt > 0 || instance == n.cfg.Instance {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}
