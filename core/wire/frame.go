// Package wire holds the frames that nodes send each other over their links,
// and the identifiers that travel with calls. All durations on the wire are
// remaining time, never instants: two instances share no clock.
package wire

import "time"

// ProtocolVersion is the version in Hello; a node refuses a link whose version
// it does not know.
const ProtocolVersion = 1

// NodeID names one run of one node: its target name and the incarnation drawn
// when the process started.
type NodeID struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// SendID names one send of one call by one node. A send that was fenced never
// runs, a new send of the same key may.
type SendID struct {
	Node     NodeID `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Stamp is one instant of one run of a node, as that node counts time. Nodes
// hand their stamps out and get them back with each send, so a receiver knows
// how old a send can be at most without sharing a clock with anybody.
type Stamp struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Clock is the time since the stamping node started, in milliseconds.
	Clock uint64 `cbor:"2,keyasint"`
}

// NodeState is what a node says of itself.
type NodeState uint8

// The states of a node, in the order of its life.
const (
	NodeStarting NodeState = iota + 1
	NodeServing
	NodeLeaving
	NodeLeft
)

// Frame is one message on a link; exactly one field is set.
type Frame struct {
	Hello    *Hello    `cbor:"1,keyasint,omitempty"`
	State    *State    `cbor:"2,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"3,keyasint,omitempty"`
	Fence    *Fence    `cbor:"4,keyasint,omitempty"`
	Fenced   *Fenced   `cbor:"5,keyasint,omitempty"`
	Digest   *Digest   `cbor:"6,keyasint,omitempty"`
	Pull     *Pull     `cbor:"7,keyasint,omitempty"`
	Document *Document `cbor:"8,keyasint,omitempty"`
	Suspect  *Suspect  `cbor:"9,keyasint,omitempty"`
	Member   *Member   `cbor:"10,keyasint,omitempty"`
}

// Hello opens a link.
type Hello struct {
	Version    uint16 `cbor:"1,keyasint"`
	Node       NodeID `cbor:"2,keyasint"`
	Service    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
}

// State is a heartbeat: the sender's life, document and load.
type State struct {
	State    NodeState `cbor:"1,keyasint"`
	Document uint64    `cbor:"2,keyasint"`
	Load     Load      `cbor:"3,keyasint"`
	// Stamp is the sender's time now.
	Stamp Stamp `cbor:"4,keyasint"`
	// NextMS is when the sender's next State on this link is due, in
	// milliseconds; 0 means that it makes no promise.
	NextMS uint32 `cbor:"5,keyasint,omitempty"`
}

// Load is what a node says of its upstream; it also travels with each answer.
type Load struct {
	// InFlight is the number of calls the upstream runs now.
	InFlight uint32 `cbor:"1,keyasint"`
	// Limit is the number it can run without queueing, as the node learnt it.
	Limit uint32 `cbor:"2,keyasint"`
	// Level is the highest admission rank that is still admitted.
	Level uint16 `cbor:"3,keyasint"`
}

// Cancel asks the receiver to stop working for a send.
type Cancel struct {
	Send SendID `cbor:"1,keyasint"`
}

// Fence asks the receiver never to run a send it has not yet run.
type Fence struct {
	Send SendID `cbor:"1,keyasint"`
	// Heard is the stamp that went with the send.
	Heard Stamp `cbor:"2,keyasint"`
}

// Fenced answers Fence.
type Fenced struct {
	Send SendID `cbor:"1,keyasint"`
	// Ran is true when the send may have run before the fence came.
	Ran bool `cbor:"2,keyasint"`
}

// Digest tells the version of the document in force at the sender and a hash
// of its text.
type Digest struct {
	Version uint64 `cbor:"1,keyasint"`
	Hash    uint64 `cbor:"2,keyasint"`
	// Refused is the highest version the sender refused, 0 if none.
	Refused uint64 `cbor:"3,keyasint,omitempty"`
	// Reason is why, empty if none was refused.
	Reason string `cbor:"4,keyasint,omitempty"`
	// RefusedLeftMS is how long the refusal is still to be shown, in
	// milliseconds; only readers of the platform renew it.
	RefusedLeftMS uint32 `cbor:"5,keyasint,omitempty"`
	// ReadAgeMS is how long ago a reader of the sender's data centre last read
	// the platform, in milliseconds.
	ReadAgeMS uint32 `cbor:"6,keyasint,omitempty"`
}

// Pull asks for the text of the document, if the receiver's is newer than Have.
type Pull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Document carries the text of a document. Encode packs a long text and Decode
// unpacks it, so users of a Frame see Text only.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	// Packed is Text compressed with DEFLATE; it is set on the wire only.
	Packed []byte `cbor:"3,keyasint,omitempty"`
}

// Member passes on what is known of one run of a node, so that nodes without a
// link to it learn of its coming and leaving while the platform's list lags.
type Member struct {
	Node        NodeID    `cbor:"1,keyasint"`
	Service     string    `cbor:"2,keyasint"`
	DataCentre  string    `cbor:"3,keyasint"`
	PeerAddress string    `cbor:"4,keyasint"`
	LinkAddress string    `cbor:"5,keyasint"`
	State       NodeState `cbor:"6,keyasint"`
}

// Suspect tells that upstreams crashed while they ran requests with this
// fingerprint.
type Suspect struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes is the number of upstreams of the service lost to it.
	Crashes uint8 `cbor:"2,keyasint"`
	// Remaining is how long the suspicion still lasts.
	Remaining time.Duration `cbor:"3,keyasint"`
}
