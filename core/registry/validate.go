package registry

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// ErrInvalidUpstream marks a registration that describes no usable upstream.
var ErrInvalidUpstream = errors.New("invalid registration")

// maxSlots bounds the slots that one upstream may register.
const maxSlots = 1_000_000

// Validate returns an error marked with ErrInvalidUpstream if no request can be sent to the
// upstream.
func (u *Upstream) Validate() error {
	address, err := netip.ParseAddrPort(u.Address)
	switch {
	case err != nil || address.Addr().String() != u.Instance:
		return errors.Mark(errors.Newf("upstream %q: address %q is not IP:port of instance %q", u.ID, u.Address, u.Instance), ErrInvalidUpstream)
	case u.ID == "" || u.Service == "" || u.DataCentre == "":
		return errors.Mark(errors.Newf("upstream %q: ID, service or data centre is missing", u.ID), ErrInvalidUpstream)
	case u.Slots <= 0 || u.Slots > maxSlots || u.ColdUntil < 0:
		return errors.Mark(errors.Newf("upstream %q: slots or time to warm up out of range", u.ID), ErrInvalidUpstream)
	}
	return nil
}
