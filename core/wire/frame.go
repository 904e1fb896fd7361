// Package wire defines the frames that nodes exchange over their links, their CBOR
// encoding, and the identifiers that travel with calls. Times are sent as remaining
// durations or ages, because no two instances share a clock. Only a Stamp is a point
// in time; it is returned to the node that issued it and compared with that node's
// clock.
package wire

import "time"

// ProtocolVersion is the version sent in Hello. A node rejects a link with any
// other version.
const ProtocolVersion = 1

// NodeID identifies one run of a node: its target name and the incarnation, a
// non-zero number chosen at process start.
type NodeID struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// SendID identifies one transmission of a call from one node to another. A send
// that is fenced, see Fence, before it has started never runs; a later send with the same
// idempotency key may.
type SendID struct {
	Node     NodeID `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Stamp is a point in time on the clock of one run of a node. A node gives its
// stamps to its peers, which return the latest one with each send. The receiver
// thereby knows an upper bound on the age of a send without synchronized clocks.
type Stamp struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// UptimeMS is the time since the node of the stamp started, in milliseconds.
	UptimeMS uint64 `cbor:"2,keyasint"`
}

// NodeState is the life cycle state that a node reports.
type NodeState uint8

// The states of a node, in the order in which it passes through them.
const (
	NodeStarting NodeState = iota + 1
	NodeServing
	NodeLeaving
	NodeLeft
)

// Frame is one message on a link; exactly one field is set.
type Frame struct {
	Hello           *Hello           `cbor:"1,keyasint,omitempty"`
	Heartbeat       *Heartbeat       `cbor:"2,keyasint,omitempty"`
	Cancel          *Cancel          `cbor:"3,keyasint,omitempty"`
	Fence           *Fence           `cbor:"4,keyasint,omitempty"`
	FenceReply      *FenceReply      `cbor:"5,keyasint,omitempty"`
	Digest          *DocumentDigest  `cbor:"6,keyasint,omitempty"`
	DocumentRequest *DocumentRequest `cbor:"7,keyasint,omitempty"`
	Document        *Document        `cbor:"8,keyasint,omitempty"`
	Suspect         *Suspect         `cbor:"9,keyasint,omitempty"`
	Member          *Member          `cbor:"10,keyasint,omitempty"`
}

// Hello is the first frame on a link and introduces the sender.
type Hello struct {
	Version    uint16 `cbor:"1,keyasint"`
	Node       NodeID `cbor:"2,keyasint"`
	Service    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
}

// Heartbeat reports the sender's life cycle state, document version, load and clock.
type Heartbeat struct {
	State NodeState `cbor:"1,keyasint"`
	// DocumentVersion is the version of the document in force at the sender, 0 if
	// there is none.
	DocumentVersion uint64 `cbor:"2,keyasint"`
	Load            Load   `cbor:"3,keyasint"`
	// Stamp is the sender's current time.
	Stamp Stamp `cbor:"4,keyasint"`
	// NextHeartbeatMS is the time until the sender's next Heartbeat on this link, in
	// milliseconds; 0 announces none.
	NextHeartbeatMS uint32 `cbor:"5,keyasint,omitempty"`
}

// Load describes the load of a node's upstream. It is sent in heartbeats and with
// each reply to a call.
type Load struct {
	// InFlight is the number of calls that the upstream is running.
	InFlight uint32 `cbor:"1,keyasint"`
	// Limit is the node's estimate of how many calls the upstream can run without
	// queueing.
	Limit uint32 `cbor:"2,keyasint"`
	// AdmissionLevel is the highest admission rank that the node still admits.
	AdmissionLevel uint16 `cbor:"3,keyasint"`
}

// Cancel asks the receiver to stop working on a send, because its result is no
// longer needed.
type Cancel struct {
	Send SendID `cbor:"1,keyasint"`
}

// Fence asks the receiver not to run a send unless it has already started it, and
// to report in a FenceReply whether the send may have run. It is used for a send that
// ended without a reply.
type Fence struct {
	Send SendID `cbor:"1,keyasint"`
	// ReceiverStamp is the receiver's stamp that was returned with the send.
	ReceiverStamp Stamp `cbor:"2,keyasint"`
}

// FenceReply is the reply to Fence.
type FenceReply struct {
	Send SendID `cbor:"1,keyasint"`
	// MayHaveRun is true if the send may have run before the fence arrived. If it is
	// false, the send has not run and never will.
	MayHaveRun bool `cbor:"2,keyasint"`
}

// DocumentDigest announces the version of the document in force at the sender and a
// hash of its text, so that the receiver can detect a newer or different one.
type DocumentDigest struct {
	Version uint64 `cbor:"1,keyasint"`
	Hash    uint64 `cbor:"2,keyasint"`
	// RejectedVersion is the highest document version that the sender rejected or
	// learned from another node to be rejected, 0 if there is none.
	RejectedVersion uint64 `cbor:"3,keyasint,omitempty"`
	// RejectionReason is why that version was rejected, empty if there is none.
	RejectionReason string `cbor:"4,keyasint,omitempty"`
	// RejectionRemainingMS is how long the rejection is still to be reported to
	// operators, in milliseconds. Only nodes that read the platform extend it.
	RejectionRemainingMS uint32 `cbor:"5,keyasint,omitempty"`
	// PlatformReadAgeMS is the time since any node in the sender's data centre last
	// read the platform, in milliseconds, as far as the sender knows.
	PlatformReadAgeMS uint32 `cbor:"6,keyasint,omitempty"`
}

// DocumentRequest requests the text of the receiver's document if its version is
// greater than KnownVersion.
type DocumentRequest struct {
	KnownVersion uint64 `cbor:"1,keyasint"`
}

// Document carries the text of a document. Encode compresses a long text and Decode
// decompresses it, so that users of a Frame only see Text.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	// Compressed is Text compressed with DEFLATE. It is set only in encoded frames,
	// instead of Text.
	Compressed []byte `cbor:"3,keyasint,omitempty"`
}

// Member forwards what the sender knows about one run of a node. Nodes without a
// link to it thereby learn that it joined or is leaving before the platform's
// member list shows it.
type Member struct {
	Node        NodeID    `cbor:"1,keyasint"`
	Service     string    `cbor:"2,keyasint"`
	DataCentre  string    `cbor:"3,keyasint"`
	PeerAddress string    `cbor:"4,keyasint"`
	LinkAddress string    `cbor:"5,keyasint"`
	State       NodeState `cbor:"6,keyasint"`
}

// Suspect reports that the sender's upstream crashed while it ran requests with this
// fingerprint.
type Suspect struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes is the number of such crashes; 0 reports that such a request has
	// completed since.
	Crashes uint8 `cbor:"2,keyasint"`
	// Remaining is how long the fingerprint stays under suspicion, encoded in
	// nanoseconds.
	Remaining time.Duration `cbor:"3,keyasint"`
}
