// Package directory knows where the other nodes are: the last good list of
// instances that the platform gave. Listeners and links accept only these.
package directory

import (
	"net/netip"
	"sync/atomic"

	"github.com/shallotspool/shallotspool/core/member"
)

type snapshot struct {
	byTarget  map[string]member.Instance
	addresses map[netip.Addr]struct{}
}

// Directory holds one list; its methods may be called from any goroutine.
type Directory struct{ current atomic.Pointer[snapshot] }

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{}
	d.Replace(nil)
	return d
}

// Replace puts a new list in place of the old one.
func (d *Directory) Replace(list []member.Instance) {
	s := &snapshot{
		byTarget:  make(map[string]member.Instance, len(list)),
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

// Instance returns the named instance.
func (d *Directory) Instance(target string) (member.Instance, bool) {
	inst, ok := d.current.Load().byTarget[target]
	return inst, ok
}

// KnowsAddress tells whether some instance has this IP address.
func (d *Directory) KnowsAddress(ip netip.Addr) bool {
	_, ok := d.current.Load().addresses[ip.Unmap()]
	return ok
}

// Matches tells whether target is an instance with this IP address.
func (d *Directory) Matches(target string, ip netip.Addr) bool {
	inst, ok := d.Instance(target)
	if !ok {
		return false
	}
	ap, err := netip.ParseAddrPort(inst.PeerAddress)
	return err == nil && ap.Addr() == ip.Unmap()
}
