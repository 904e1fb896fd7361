package wire

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The limits of the fields of a frame.
const (
	// MaxNameBytes bounds the name of a target, service or data centre.
	MaxNameBytes = 128
	// MaxReasonBytes bounds the reason of a refused document.
	MaxReasonBytes = 512
	// MaxRemaining is the longest time a frame may state.
	MaxRemaining = time.Hour
)

// message is one kind of message that a frame holds.
type message interface{ validate() error }

// validate checks that f holds one message with every field in its range.
func (f *Frame) validate() error {
	var found message
	count := 0
	for _, m := range f.messages() {
		if m.set {
			found = m.message
			count++
		}
	}
	if count != 1 {
		return errors.Wrapf(ErrKind, "holds %d", count)
	}
	return found.validate()
}

type held struct {
	set     bool
	message message
}

func (f *Frame) messages() [10]held {
	return [...]held{
		{f.Hello != nil, f.Hello}, {f.State != nil, f.State}, {f.Cancel != nil, f.Cancel},
		{f.Fence != nil, f.Fence}, {f.Fenced != nil, f.Fenced}, {f.Digest != nil, f.Digest},
		{f.Pull != nil, f.Pull}, {f.Document != nil, f.Document}, {f.Suspect != nil, f.Suspect},
		{f.Member != nil, f.Member},
	}
}

func inRange(ok bool, field string) error {
	if ok {
		return nil
	}
	return errors.Wrap(ErrValue, field)
}

func (id NodeID) validate(field string) error {
	return errors.CombineErrors(
		inRange(id.Target != "" && len(id.Target) <= MaxNameBytes, field+".target"),
		inRange(id.Incarnation > 0, field+".incarnation"))
}

func (id SendID) validate() error { return id.Node.validate("send.node") }

func (h *Hello) validate() error {
	if h.Version != ProtocolVersion {
		return errors.Wrapf(ErrVersion, "sender speaks %d, this node %d", h.Version, ProtocolVersion)
	}
	if err := h.Node.validate("hello.node"); err != nil {
		return err
	}
	if err := inRange(h.Service != "" && len(h.Service) <= MaxNameBytes, "hello.service"); err != nil {
		return err
	}
	return inRange(h.DataCentre != "" && len(h.DataCentre) <= MaxNameBytes, "hello.data_centre")
}

func (s *State) validate() error {
	return inRange(s.State >= NodeStarting && s.State <= NodeLeft, "state.state")
}

func (c *Cancel) validate() error { return c.Send.validate() }

func (f *Fence) validate() error { return f.Send.validate() }

func (f *Fenced) validate() error { return f.Send.validate() }

func (d *Digest) validate() error {
	return inRange(len(d.Reason) <= MaxReasonBytes, "digest.reason")
}

func (p *Pull) validate() error { return nil }

func (d *Document) validate() error {
	if err := inRange(d.Version > 0, "document.version"); err != nil {
		return err
	}
	return inRange(len(d.Text) > 0 && len(d.Text) <= MaxTextBytes, "document.text")
}

func (s *Suspect) validate() error {
	return inRange(s.Remaining >= 0 && s.Remaining <= MaxRemaining, "suspect.remaining")
}

func (m *Member) validate() error {
	if err := m.Node.validate("member.node"); err != nil {
		return err
	}
	for _, name := range [...]string{m.Service, m.DataCentre} {
		if err := inRange(name != "" && len(name) <= MaxNameBytes, "member.service and data_centre"); err != nil {
			return err
		}
	}
	for _, address := range [...]string{m.PeerAddress, m.LinkAddress} {
		if err := inRange(len(address) <= MaxNameBytes, "member addresses"); err != nil {
			return err
		}
	}
	return inRange(m.State >= NodeStarting && m.State <= NodeLeft, "member.state")
}
