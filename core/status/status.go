// Package status defines the status report of a node. The admin listener serves a
// Node as JSON, and shallotctl decodes it into the same types. Long lists are cut
// at the limits below; PeerCount and ViolationCount include the omitted entries.
package status

// The maximum lengths of the lists in a Node.
const (
	MaxPeers      = 256
	MaxSuspects   = 64
	MaxViolations = 64
)

// Node is a snapshot of the state of one node.
type Node struct {
	Target string `json:"target"`
	// Incarnation identifies the run of the node. It is encoded as a JSON string,
	// because many JSON decoders lose the precision of 64-bit numbers.
	Incarnation uint64 `json:"incarnation,string"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	// State is starting, serving, leaving or left.
	State    string   `json:"state"`
	Document Document `json:"document"`
	// Limit, InFlight and Queued are the concurrency limit and the current numbers
	// of running and waiting calls of the node's own upstream.
	Limit    int `json:"limit"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// AdmissionLevel is the highest admission rank that is currently admitted.
	AdmissionLevel uint16 `json:"level"`
	// ReportedHealth is the last result of the upstream's health endpoint, empty if it
	// is not polled. It is shown to operators only and influences no decision.
	ReportedHealth string `json:"upstream_claims,omitempty"`
	// ReportedInFlight is the number of running calls that the upstream's load
	// endpoint last reported, nil if it is not polled.
	ReportedInFlight *int `json:"upstream_claims_in_flight,omitempty"`
	// Refusals holds the numbers of refused calls since the node started.
	Refusals []RefusalCount `json:"refused"`
	Peers    []Peer         `json:"peers"`
	// PeerCount is the number of all known peers; Peers has at most MaxPeers.
	PeerCount  int         `json:"peer_count"`
	Charts     []Chart     `json:"charts"`
	Suspects   []Suspect   `json:"suspects"`
	Violations []Violation `json:"violations"`
	// ViolationCount is the number of all invariant violations; Violations lists
	// only the first ones.
	ViolationCount int `json:"violation_count"`
}

// The values of Node.ReportedHealth.
const (
	ReportedHealthy   = "healthy"
	ReportedUnhealthy = "unhealthy"
)

// Document describes the configuration document in force and the rejected one with
// the highest version.
type Document struct {
	// Version is the version of the document in force, 0 if there is none.
	Version uint64 `json:"version"`
	// Hash is a 64-bit hash of the text in force, in hexadecimal.
	Hash string `json:"hash"`
	// RejectedVersion is the highest rejected version, 0 if there is none.
	RejectedVersion uint64 `json:"refused"`
	// RejectionReason is why that version was rejected.
	RejectionReason string `json:"reason"`
}

// RefusalCount is the number of calls of one class that were refused for one reason.
type RefusalCount struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Peer is what the node knows about another node.
type Peer struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation,string"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	// State is the state that the peer reports.
	State string `json:"state"`
	// Leaving is true if the platform's member list marks the peer as leaving.
	Leaving bool `json:"leaving"`
	// Linked is true while there is a connection to the peer.
	Linked bool `json:"linked"`
	// InFlight and Limit are the load that the peer last reported.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	// DocumentVersion is the version in force at the peer, 0 while unknown;
	// RejectedVersion is the highest version that the peer reports as rejected.
	DocumentVersion uint64 `json:"document"`
	RejectedVersion uint64 `json:"refused"`
}

// Chart is the current state of one state chart.
type Chart struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Suspect is a fingerprint of requests during which upstreams crashed.
type Suspect struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of crashes that count against the fingerprint.
	Crashes int `json:"crashes"`
	// RemainingMS is how long the fingerprint stays under suspicion, in
	// milliseconds.
	RemainingMS int64 `json:"remaining_ms"`
}

// Violation is one violation of an invariant.
type Violation struct {
	// Name is one of the names in package invariant.
	Name string `json:"name"`
	// Call is the number of the call concerned, 0 if there is none.
	Call   uint64 `json:"call"`
	Detail string `json:"detail"`
}
