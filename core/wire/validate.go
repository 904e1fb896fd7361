package wire

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The limits of the fields in a frame.
const (
	// MaxNameBytes is the maximum length in bytes of a network address and of the
	// name of a target, service or data centre.
	MaxNameBytes = 128
	// MaxReasonBytes is the maximum length in bytes of
	// DocumentDigest.RejectionReason.
	MaxReasonBytes = 512
	// MaxSuspicion is the maximum of Suspect.Remaining.
	MaxSuspicion = time.Hour
)

// message is implemented by the type of every field of Frame.
type message interface{ validate() error }

// validate checks that exactly one field of f is set and that the message in it is
// valid.
func (f *Frame) validate() error {
	var found message
	count := 0
	for _, field := range f.messages() {
		if field.isSet {
			found = field.message
			count++
		}
	}
	if count != 1 {
		return errors.Wrapf(ErrMessageCount, "holds %d", count)
	}
	return found.validate()
}

// messageField is one field of a Frame.
type messageField struct {
	isSet   bool
	message message
}

// messages returns all fields of f.
func (f *Frame) messages() [10]messageField {
	return [...]messageField{
		{f.Hello != nil, f.Hello}, {f.Heartbeat != nil, f.Heartbeat}, {f.Cancel != nil, f.Cancel},
		{f.Fence != nil, f.Fence}, {f.FenceReply != nil, f.FenceReply}, {f.Digest != nil, f.Digest},
		{f.DocumentRequest != nil, f.DocumentRequest}, {f.Document != nil, f.Document}, {f.Suspect != nil, f.Suspect},
		{f.Member != nil, f.Member},
	}
}

// checkRange returns an ErrOutOfRange for the named field unless ok is true.
func checkRange(ok bool, field string) error {
	if ok {
		return nil
	}
	return errors.Wrap(ErrOutOfRange, field)
}

func (id NodeID) validate(field string) error {
	return errors.CombineErrors(
		checkRange(id.Target != "" && len(id.Target) <= MaxNameBytes, field+".target"),
		checkRange(id.Incarnation > 0, field+".incarnation"))
}

func (id SendID) validate() error { return id.Node.validate("send.node") }

func (h *Hello) validate() error {
	if h.Version != ProtocolVersion {
		return errors.Wrapf(ErrUnknownVersion, "sender speaks %d, this node %d", h.Version, ProtocolVersion)
	}
	if err := h.Node.validate("hello.node"); err != nil {
		return err
	}
	if err := checkRange(h.Service != "" && len(h.Service) <= MaxNameBytes, "hello.service"); err != nil {
		return err
	}
	return checkRange(h.DataCentre != "" && len(h.DataCentre) <= MaxNameBytes, "hello.data_centre")
}

func (h *Heartbeat) validate() error {
	return checkRange(h.State >= NodeStarting && h.State <= NodeLeft, "state.state")
}

func (c *Cancel) validate() error { return c.Send.validate() }

func (f *Fence) validate() error { return f.Send.validate() }

func (f *FenceReply) validate() error { return f.Send.validate() }

func (d *DocumentDigest) validate() error {
	return checkRange(len(d.RejectionReason) <= MaxReasonBytes, "digest.reason")
}

func (r *DocumentRequest) validate() error { return nil }

func (d *Document) validate() error {
	if err := checkRange(d.Version > 0, "document.version"); err != nil {
		return err
	}
	return checkRange(len(d.Text) > 0 && len(d.Text) <= MaxDocumentBytes, "document.text")
}

func (s *Suspect) validate() error {
	return checkRange(s.Remaining >= 0 && s.Remaining <= MaxSuspicion, "suspect.remaining")
}

func (m *Member) validate() error {
	if err := m.Node.validate("member.node"); err != nil {
		return err
	}
	for _, name := range [...]string{m.Service, m.DataCentre} {
		if err := checkRange(name != "" && len(name) <= MaxNameBytes, "member.service and data_centre"); err != nil {
			return err
		}
	}
	for _, address := range [...]string{m.PeerAddress, m.LinkAddress} {
		if err := checkRange(len(address) <= MaxNameBytes, "member addresses"); err != nil {
			return err
		}
	}
	return checkRange(m.State >= NodeStarting && m.State <= NodeLeft, "member.state")
}
