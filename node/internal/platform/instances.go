package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/member"
)

// Limits of the list.
const (
	maxListed = 20000
	maxName   = 64
)

// instanceText is one entry of the list.
type instanceText struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	LinkAddress string `json:"link_address"`
	Leaving     bool   `json:"leaving"`
}

// ParseInstances reads and checks a list of instances. A list with one bad
// entry is refused whole; the error is marked ErrRead and names the entry.
func ParseInstances(text []byte) ([]member.Instance, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var entries []instanceText
	if err := decoder.Decode(&entries); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "instances"), ErrRead)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Wrap(ErrRead, "instances: something follows the list")
	}
	if len(entries) > maxListed {
		return nil, errors.Wrapf(ErrRead, "instances: %d entries, more than %d", len(entries), maxListed)
	}
	list := make([]member.Instance, len(entries))
	seen := make(map[string]bool, len(entries))
	for i := range entries {
		if detail := entries[i].check(); detail != "" {
			return nil, errors.Wrapf(ErrRead, "instances[%d]: %s", i, detail)
		}
		if seen[entries[i].Target] {
			return nil, errors.Wrapf(ErrRead, "instances[%d]: target %q is listed twice", i, entries[i].Target)
		}
		seen[entries[i].Target] = true
		list[i] = member.Instance(entries[i])
	}
	return list, nil
}

// check returns what is wrong with e, empty if nothing is.
func (e *instanceText) check() string {
	names := [...]struct{ field, value string }{
		{"target", e.Target}, {"service", e.Service}, {"data_centre", e.DataCentre},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxName {
			return n.field + " is empty or longer than 64"
		}
	}
	addresses := [...]struct{ field, value string }{
		{"peer_address", e.PeerAddress}, {"link_address", e.LinkAddress},
	}
	for _, a := range addresses {
		if ap, err := netip.ParseAddrPort(a.value); err != nil || ap.Port() == 0 {
			return a.field + " is not IP:port"
		}
	}
	return ""
}
