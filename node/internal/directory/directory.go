// Package directory holds the last valid list of instances that was read from
// the platform. The peer listener and the links accept only these instances.
package directory

import (
	"net/netip"
	"sync/atomic"

	"github.com/shallotspool/shallotspool/core/membership"
)

// snapshot is one immutable list of instances, indexed by target and by IP
// address.
type snapshot struct {
	byTarget  map[string]membership.Instance
	addresses map[netip.Addr]struct{}
}

// Directory holds the current list of instances. Its methods may be called from
// any goroutine.
type Directory struct{ current atomic.Pointer[snapshot] }

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{}
	d.Replace(nil)
	return d
}

// Replace replaces the list of instances.
func (d *Directory) Replace(list []membership.Instance) {
	s := &snapshot{
		byTarget:  make(map[string]membership.Instance, len(list)),
		addresses: make(map[netip.Addr]struct{}, len(list)),
	}
	for _, inst := range list {
		s.byTarget[inst.Target] = inst
		for _, text := range [...]string{inst.PeerAddress, inst.LinkAddress} {
			if ap, err := netip.ParseAddrPort(text); err == nil {
				s.addresses[ap.Addr()] = struct{}{}
			}
		}
	}
	d.current.Store(s)
}

// Instance returns the instance with the given target name.
func (d *Directory) Instance(target string) (membership.Instance, bool) {
	inst, ok := d.current.Load().byTarget[target]
	return inst, ok
}

// ContainsAddress reports whether any instance has the given IP address.
func (d *Directory) ContainsAddress(ip netip.Addr) bool {
	_, ok := d.current.Load().addresses[ip.Unmap()]
	return ok
}

// MatchesAddress reports whether target is an instance whose peer address has the
// given IP address.
func (d *Directory) MatchesAddress(target string, ip netip.Addr) bool {
	inst, ok := d.Instance(target)
	if !ok {
		return false
	}
	ap, err := netip.ParseAddrPort(inst.PeerAddress)
	return err == nil && ap.Addr() == ip.Unmap()
}
