// Package table prints the status of nodes as text tables.
package table

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/shallotspool/shallotspool/core/status"
	"github.com/shallotspool/shallotspool/ctl/internal/client"
)

// printer writes lines and keeps the first write error; after an error it writes
// nothing more. Callers check the error once at the end.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// WriteStatus prints a table with one row per node, followed by the details of each
// reachable node: a rejected document, health, refusals, state charts, crash
// suspects and violated invariants. If peers is set, it lists the peers of each
// node as well.
func WriteStatus(w io.Writer, results []client.Result, peers bool) error {
	tabs := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	p := &printer{w: tabs}
	p.printLine("ADDRESS\tTARGET\tDATA CENTRE\tSTATE\tDOCUMENT\tLIMIT\tIN FLIGHT\tQUEUED\tLEVEL\tREFUSED\tPEERS\tVIOLATIONS")
	for _, r := range results {
		p.printRow(r)
	}
	for _, r := range results {
		if r.Err == nil {
			p.printDetails(r.Status, peers)
		}
	}
	if p.err != nil {
		return p.err
	}
	return tabs.Flush()
}

func (p *printer) printRow(r client.Result) {
	if r.Err != nil {
		p.printLine("%s\t-\t-\tunreachable\t-\t-\t-\t-\t-\t-\t-\t-", r.Address)
		return
	}
	s := r.Status
	p.printLine("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\t%d/%d\t%d", r.Address, s.Target, s.DataCentre, s.State,
		s.Document.Version, s.Limit, s.InFlight, s.Queued, formatLevel(s.AdmissionLevel), totalRefusals(s.Refusals),
		countLinked(s.Peers), s.PeerCount, s.ViolationCount)
}

// printDetails prints the status fields that are not part of the table row.
func (p *printer) printDetails(s *status.Node, peers bool) {
	if s.Document.RejectedVersion > s.Document.Version {
		p.printLine("\n%s refused document %d: %s", s.Target, s.Document.RejectedVersion, s.Document.RejectionReason)
	}
	if s.ReportedHealth == status.ReportedUnhealthy {
		p.printLine("%s upstream says that it is unhealthy", s.Target)
	}
	for _, r := range s.Refusals {
		p.printLine("%s refused\t%s\t%s\t%d", s.Target, r.Class, r.Reason, r.Count)
	}
	for _, c := range s.Charts {
		p.printLine("%s chart\t%s\t%s", s.Target, c.Name, c.State)
	}
	for _, suspect := range s.Suspects {
		p.printLine("%s suspect\t%s\tcrashes %d\tfor %s", s.Target, suspect.Fingerprint, suspect.Crashes,
			time.Duration(suspect.RemainingMS)*time.Millisecond)
	}
	for _, v := range s.Violations {
		p.printLine("%s VIOLATION\t%s\tcall %d\t%s", s.Target, v.Name, v.Call, v.Detail)
	}
	if peers {
		p.printPeers(s)
	}
}

func (p *printer) printPeers(s *status.Node) {
	for _, peer := range s.Peers {
		p.printLine("%s peer\t%s\t%s\t%s\tdocument %d\tlinked %t\t%d/%d in flight", s.Target, peer.Target,
			peer.DataCentre, peerState(peer), peer.DocumentVersion, peer.Linked, peer.InFlight, peer.Limit)
	}
	if more := s.PeerCount - len(s.Peers); more > 0 {
		p.printLine("%s peer\tand %d more", s.Target, more)
	}
}

// peerState returns the state that the peer reports, or "leaving (listed)" if only
// the platform's member list marks the peer as leaving.
func peerState(peer status.Peer) string {
	if peer.Leaving && peer.State == "serving" {
		return "leaving (listed)"
	}
	return peer.State
}

// formatLevel formats an admission level as CLASS.POSITION. The high byte is the
// class, the low byte the position within the class. The highest level admits all
// requests.
func formatLevel(level uint16) string {
	if level == 0xffff {
		return "all"
	}
	return strconv.Itoa(int(level>>8)) + "." + strconv.Itoa(int(level&0xff))
}

func totalRefusals(refusals []status.RefusalCount) uint64 {
	var sum uint64
	for _, r := range refusals {
		sum += r.Count
	}
	return sum
}

func countLinked(peers []status.Peer) int {
	n := 0
	for _, p := range peers {
		if p.Linked {
			n++
		}
	}
	return n
}
