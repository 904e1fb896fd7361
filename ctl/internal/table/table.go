// Package table prints the status of nodes for a person.
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

// printer remembers the first error, so that a table reads as one piece.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// Status prints one row for each node, and below it what needs a look.
func Status(w io.Writer, answers []client.Answer, peers bool) error {
	tabs := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	p := &printer{w: tabs}
	p.line("ADDRESS\tTARGET\tDATA CENTRE\tSTATE\tDOCUMENT\tLIMIT\tIN FLIGHT\tQUEUED\tLEVEL\tREFUSED\tPEERS\tVIOLATIONS")
	for _, a := range answers {
		p.row(a)
	}
	for _, a := range answers {
		if a.Err == nil {
			p.details(a.Status, peers)
		}
	}
	if p.err != nil {
		return p.err
	}
	return tabs.Flush()
}

func (p *printer) row(a client.Answer) {
	if a.Err != nil {
		p.line("%s\t-\t-\tunreachable\t-\t-\t-\t-\t-\t-\t-\t-", a.Address)
		return
	}
	s := a.Status
	p.line("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\t%d/%d\t%d", a.Address, s.Target, s.DataCentre, s.State,
		s.Document.Version, s.Limit, s.InFlight, s.Queued, level(s.Level), total(s.Refused),
		linked(s.Peers), s.PeerCount, s.ViolationCount)
}

// details prints what a row has no room for; most nodes have nothing of it.
func (p *printer) details(s *status.Node, peers bool) {
	if s.Document.Refused > s.Document.Version {
		p.line("\n%s refused document %d: %s", s.Target, s.Document.Refused, s.Document.Reason)
	}
	if s.Claims == status.ClaimsUnhealthy {
		p.line("%s upstream says that it is unhealthy", s.Target)
	}
	for _, r := range s.Refused {
		p.line("%s refused\t%s\t%s\t%d", s.Target, r.Class, r.Reason, r.Count)
	}
	for _, c := range s.Charts {
		p.line("%s chart\t%s\t%s", s.Target, c.Name, c.State)
	}
	for _, x := range s.Suspects {
		p.line("%s suspect\t%s\tcrashes %d\tfor %s", s.Target, x.Fingerprint, x.Crashes,
			time.Duration(x.RemainingMS)*time.Millisecond)
	}
	for _, v := range s.Violations {
		p.line("%s VIOLATION\t%s\tcall %d\t%s", s.Target, v.Name, v.Call, v.Detail)
	}
	if peers {
		p.peers(s)
	}
}

func (p *printer) peers(s *status.Node) {
	for _, x := range s.Peers {
		p.line("%s peer\t%s\t%s\t%s\tdocument %d\tlinked %t\t%d/%d in flight", s.Target, x.Target,
			x.DataCentre, peerState(x), x.Document, x.Linked, x.InFlight, x.Limit)
	}
	if more := s.PeerCount - len(s.Peers); more > 0 {
		p.line("%s peer\tand %d more", s.Target, more)
	}
}

func peerState(x status.Peer) string {
	if x.Leaving && x.State == "serving" {
		return "leaving (listed)"
	}
	return x.State
}

// level names the class in the high byte and the position within it.
func level(l uint16) string {
	if l == 0xffff {
		return "all"
	}
	return strconv.Itoa(int(l>>8)) + "." + strconv.Itoa(int(l&0xff))
}

func total(refused []status.Refused) uint64 {
	var sum uint64
	for _, r := range refused {
		sum += r.Count
	}
	return sum
}

func linked(peers []status.Peer) int {
	n := 0
	for _, p := range peers {
		if p.Linked {
			n++
		}
	}
	return n
}
