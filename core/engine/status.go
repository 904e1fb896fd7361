package engine

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/status"
)

// reasonKey is the key under which replies that have a reason are counted.
type reasonKey struct {
	class  document.Class
	reason Reason
}

// countReason counts a reply that has a reason, for Status and the metrics.
// Other replies are ignored.
func (n *Node) countReason(c *call, reply Reply) {
	if reply.Reason == ReasonNone {
		return
	}
	class := c.class
	if c.route == nil {
		class = document.NoClass
	}
	n.reasonCounts[reasonKey{class, reply.Reason}]++
	n.emit(&Measurement{Metric: MetricRefused, Class: class, Reason: reply.Reason, Count: 1})
}

// Status returns the node's state for operators.
func (n *Node) Status() status.Node {
	s := status.Node{
		Target: n.cfg.Self.Target, Incarnation: n.cfg.Self.Incarnation,
		Service: n.cfg.Service, DataCentre: n.cfg.DataCentre, State: nodeStateName(n.state),
		Limit: n.admissionControl.Limit(), InFlight: n.admissionControl.InFlight(), Queued: n.admissionControl.Queued(),
		AdmissionLevel: uint16(n.admissionControl.Level()),
		Refusals:       n.statusRefusals(), Peers: n.statusPeers(),
		Suspects:       n.statusSuspects(),
		ReportedHealth: n.upstreamClaims.health, ReportedInFlight: n.upstreamClaims.inFlight,
		Violations: n.statusViolations(), ViolationCount: n.checker.Count(),
	}
	s.PeerCount = len(n.view.All())
	s.Document = n.statusDocument()
	s.Charts = []status.Chart{
		{Name: "node", State: n.lifecycle.StateName()}, {Name: "document", State: n.documents.StateName()},
	}
	return s
}

func (n *Node) statusDocument() status.Document {
	d := status.Document{Version: n.documents.Version(), Hash: strconv.FormatUint(n.documents.Hash(), 16)}
	d.RejectedVersion, d.RejectionReason = n.documents.Rejection()
	return d
}

func (n *Node) statusRefusals() []status.RefusalCount {
	keys := make([]reasonKey, 0, len(n.reasonCounts))
	for k := range n.reasonCounts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b reasonKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.reason, b.reason))
	})
	list := make([]status.RefusalCount, len(keys))
	for i, k := range keys {
		list[i] = status.RefusalCount{Class: n.ClassName(k.class), Reason: k.reason.String(), Count: n.reasonCounts[k]}
	}
	return list
}

// upstreamClaims is what the upstream last reported about itself, for Status
// only. It influences no decision: such reports are late and unreliable, and
// the node observes the upstream's work itself.
type upstreamClaims struct {
	health string
	// inFlight is nil until the upstream has reported it.
	inFlight *int
}

// healthClaim returns the status text for the upstream's reported health.
func healthClaim(healthy bool) string {
	if healthy {
		return status.ReportedHealthy
	}
	return status.ReportedUnhealthy
}

// ClassName returns the name of a class in the document in force.
func (n *Node) ClassName(c document.Class) string {
	if n.doc == nil {
		return "unknown"
	}
	return n.doc.ClassName(c)
}

func (n *Node) statusPeers() []status.Peer {
	list := []status.Peer{}
	for _, p := range n.view.All() {
		if len(list) == status.MaxPeers {
			break
		}
		list = append(list, statusPeer(p))
	}
	return list
}

func statusPeer(p *membership.Peer) status.Peer {
	return status.Peer{
		Target: p.Target, Incarnation: p.Incarnation, Service: p.Service, DataCentre: p.DataCentre,
		State: nodeStateName(p.State), Leaving: p.Leaving, Linked: p.Linked,
		InFlight: int(p.Load.InFlight), Limit: int(p.Load.Limit),
		DocumentVersion: p.DocumentVersion, RejectedVersion: p.RejectedVersion,
	}
}

func (n *Node) statusViolations() []status.Violation {
	list := []status.Violation{}
	for _, v := range n.checker.First() {
		list = append(list, status.Violation{Name: string(v.Name), Call: v.Call, Detail: v.Detail})
	}
	return list
}

func (n *Node) statusSuspects() []status.Suspect {
	list := []status.Suspect{}
	records := n.suspects.Records()
	for _, r := range records[max(0, len(records)-status.MaxSuspects):] {
		list = append(list, status.Suspect{
			Fingerprint: strconv.FormatUint(r.Fingerprint, 16), Crashes: r.TotalCrashes(),
			RemainingMS: (r.ExpiresAt - n.now).Milliseconds(),
		})
	}
	return list
}
