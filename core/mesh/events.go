package mesh

import (
	"slices"
	"time"
)

// EventKind is a change of what a node believes of an instance.
type EventKind uint8

// The kinds of events.
const (
	// EventEjected and EventReadmitted are an upstream that this node stops to send
	// to, and one that it sends to again.
	EventEjected EventKind = iota + 1
	EventReadmitted
	// EventSilent and EventHeard are a node whose heartbeats stay away, and one that
	// is heard again.
	EventSilent
	EventHeard
	// EventFaulty and EventSound are an upstream whose share of faults passes the
	// bound from which work goes elsewhere.
	EventFaulty
	EventSound
)

// String is the message of the event in logs.
func (k EventKind) String() string {
	return [...]string{
		"none", "upstream ejected", "upstream readmitted", "node silent", "node heard", "upstream faulty", "upstream sound",
	}[k]
}

// Event is one such change with what it follows from.
type Event struct {
	Kind     EventKind
	Instance string
	// Reason is the last outcome, for upstreams that were ejected.
	Reason Reason
	// Faults is the share of faults that was told, and Age the time since the last
	// heartbeat.
	Faults float64
	Age    time.Duration
}

// maxEvents bounds the events that wait to be taken.
const maxEvents = 256

func (n *Node) event(e Event) {
	if len(n.events) < maxEvents {
		n.events = append(n.events, e)
	}
}

// Events returns what changed since it was last called.
func (n *Node) Events() []Event {
	out := n.events
	n.events = nil
	return out
}

// noteEjection notes a change by the end of one attempt.
func (n *Node) noteEjection(now time.Duration, p *peer, before bool, reason Reason) {
	if after := p.outlier.Ejected(); after != before {
		kind := EventReadmitted
		if after {
			kind = EventEjected
		}
		n.event(Event{Kind: kind, Instance: p.instance, Reason: reason, Faults: n.faultShare(p), Age: now - p.beatAt})
	}
}

// notePeers notes which instances fell silent or became faulty, and which did not
// stay so.
func (n *Node) notePeers(now time.Duration) {
	for _, instance := range n.known() {
		p := n.peers[instance]
		e := Event{Instance: instance, Faults: n.faultShare(p), Age: now - p.beatAt}
		if silent := p.silent(now); silent != p.noted.silent {
			p.noted.silent, e.Kind = silent, EventHeard
			if silent {
				e.Kind = EventSilent
			}
			n.event(e)
		}
		if faulty := e.Faults >= faultyFrom; faulty != p.noted.faulty {
			p.noted.faulty, e.Kind = faulty, EventSound
			if faulty {
				e.Kind = EventFaulty
			}
			n.event(e)
		}
	}
}

// known returns the instances that were heard of, in order.
func (n *Node) known() (out []string) {
	for instance, p := range n.peers {
		if p.beatAt > 0 || instance == n.cfg.Instance {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}
