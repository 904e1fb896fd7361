// Package status holds what a node tells operators of itself. The admin
// listener serves a Node as JSON, and shallotctl reads the same types. Sizes
// are bounded: lists are cut at the limits below, the totals beside them are
// not.
package status

// Limits of the lists in a Node.
const (
	MaxPeers      = 256
	MaxSuspects   = 64
	MaxViolations = 64
)

// Node is the state of one node at one moment.
type Node struct {
	Target string `json:"target"`
	// Incarnation is a 64-bit number in a JSON string.
	Incarnation uint64 `json:"incarnation,string"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	// State is starting, serving, leaving or left.
	State    string   `json:"state"`
	Document Document `json:"document"`
	// Limit, InFlight and Queued count calls to the node's own upstream.
	Limit    int `json:"limit"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Level is the highest admission rank that is admitted now.
	Level uint16 `json:"level"`
	// Claims is what the upstream's health endpoint last said, empty if it is not
	// asked. Nothing follows from it.
	Claims string `json:"upstream_claims,omitempty"`
	// ClaimsInFlight is what its load endpoint last said, nil if it is not asked.
	ClaimsInFlight *int `json:"upstream_claims_in_flight,omitempty"`
	// Refused counts refusals since the node started.
	Refused    []Refused   `json:"refused"`
	Peers      []Peer      `json:"peers"`
	PeerCount  int         `json:"peer_count"`
	Charts     []Chart     `json:"charts"`
	Suspects   []Suspect   `json:"suspects"`
	Violations []Violation `json:"violations"`
	// ViolationCount counts all broken invariants; Violations are the first.
	ViolationCount int `json:"violation_count"`
}

// What an upstream says of itself.
const (
	ClaimsHealthy   = "healthy"
	ClaimsUnhealthy = "unhealthy"
)

// Document tells which document is in force and which was refused last.
type Document struct {
	// Version is 0 while there is none.
	Version uint64 `json:"version"`
	// Hash is of the document's text, in hexadecimal.
	Hash string `json:"hash"`
	// Refused is the highest version refused, 0 if none was.
	Refused uint64 `json:"refused"`
	Reason  string `json:"reason"`
}

// Refused counts the refusals of one class for one reason.
type Refused struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Peer is what the node knows of another.
type Peer struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation,string"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	// State is what the peer says of itself.
	State string `json:"state"`
	// Leaving is what the platform's list says.
	Leaving  bool `json:"leaving"`
	Linked   bool `json:"linked"`
	InFlight int  `json:"in_flight"`
	Limit    int  `json:"limit"`
	// Document is the version in force there, 0 while unknown; Refused is the
	// highest version it refused.
	Document uint64 `json:"document"`
	Refused  uint64 `json:"refused"`
}

// Chart is the current state of one state chart.
type Chart struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Suspect is a fingerprint of requests that upstreams crashed on.
type Suspect struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	RemainingMS int64  `json:"remaining_ms"`
}

// Violation is one broken invariant.
type Violation struct {
	Name   string `json:"name"`
	Call   uint64 `json:"call"`
	Detail string `json:"detail"`
}
