package registry

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalidUpstream marks a registration that describes no usable upstream.
var ErrInvalidUpstream = errors.New("invalid registration")

const (
	// maxNameBytes bounds the length of IDs and names.
	maxNameBytes = 256
	// maxSlots bounds the slots that one upstream may register.
	maxSlots = 1_000_000
	// maxWarmUp bounds the time that an upstream may say it needs to warm up.
	maxWarmUp = time.Hour
)

// Validate returns an error marked with ErrInvalidUpstream if no request can be sent to the
// upstream. ColdUntil must be the remaining time. It is the one rule for a registration,
// whether it was read from the store or taken over from another node.
func (u *Upstream) Validate() error {
	for _, name := range [...]struct{ field, value string }{{"ID", u.ID}, {"service", u.Service}, {"data centre", u.DataCentre}} {
		if name.value == "" || len(name.value) > maxNameBytes {
			return u.invalid("%s has %d bytes, 1 to %d are allowed", name.field, len(name.value), maxNameBytes)
		}
	}
	address, instance, err := ParseAddress(u.Address)
	switch {
	case err != nil:
		return u.invalid("%v", err)
	case address != u.Address || instance != u.Instance:
		return u.invalid("address %.64q is not that of instance %.64q in its usual spelling", u.Address, u.Instance)
	case u.Slots <= 0 || u.Slots > maxSlots:
		return u.invalid("%d slots, 1 to %d are allowed", u.Slots, maxSlots)
	case u.ColdUntil < 0 || u.ColdUntil > maxWarmUp:
		return u.invalid("time to warm up is below 0 or above %v", maxWarmUp)
	case u.Born < 0 || u.Sequence < 0:
		return u.invalid("start %d or sequence %d is below 0", u.Born, u.Sequence)
	}
	return nil
}

// ParseAddress returns an address, IP:port, in its usual spelling, and its IP part. The error is
// marked with ErrInvalidUpstream.
func ParseAddress(text string) (address, instance string, err error) {
	parsed, err := netip.ParseAddrPort(text)
	ip := parsed.Addr().Unmap()
	if err != nil || parsed.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return "", "", errors.Mark(errors.Newf("address %.64q is not IP:port", text), ErrInvalidUpstream)
	}
	return netip.AddrPortFrom(ip, parsed.Port()).String(), ip.String(), nil
}

func (u *Upstream) invalid(format string, args ...any) error {
	return errors.Mark(errors.Wrapf(errors.Newf(format, args...), "upstream %.64q", u.ID), ErrInvalidUpstream)
}
