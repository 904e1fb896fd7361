package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/membership"
)

// The limits of the list of instances.
const (
	maxInstances = 20000
	maxNameBytes = 64
)

// instanceEntry is the JSON form of one instance.
type instanceEntry struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	LinkAddress string `json:"link_address"`
	Leaving     bool   `json:"leaving"`
}

// ParseInstances parses and validates a list of instances. One invalid entry
// makes the whole list invalid; the error is marked ErrReadFailed and contains the
// index of the entry.
func ParseInstances(text []byte) ([]membership.Instance, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var entries []instanceEntry
	if err := decoder.Decode(&entries); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "instances"), ErrReadFailed)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Wrap(ErrReadFailed, "instances: unexpected data after the list")
	}
	if len(entries) > maxInstances {
		return nil, errors.Wrapf(ErrReadFailed, "instances: %d entries, more than %d", len(entries), maxInstances)
	}
	list := make([]membership.Instance, len(entries))
	seen := make(map[string]bool, len(entries))
	for i := range entries {
		if problem := entries[i].validate(); problem != "" {
			return nil, errors.Wrapf(ErrReadFailed, "instances[%d]: %s", i, problem)
		}
		if seen[entries[i].Target] {
			return nil, errors.Wrapf(ErrReadFailed, "instances[%d]: target %q is listed twice", i, entries[i].Target)
		}
		seen[entries[i].Target] = true
		list[i] = membership.Instance(entries[i])
	}
	return list, nil
}

// validate returns a description of the first invalid field, or "" if e is valid.
func (e *instanceEntry) validate() string {
	names := [...]struct{ field, value string }{
		{"target", e.Target}, {"service", e.Service}, {"data_centre", e.DataCentre},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameBytes {
			return n.field + " is empty or longer than 64 bytes"
		}
	}
	addresses := [...]struct{ field, value string }{
		{"peer_address", e.PeerAddress}, {"link_address", e.LinkAddress},
	}
	for _, a := range addresses {
		if ap, err := netip.ParseAddrPort(a.value); err != nil || ap.Port() == 0 {
			return a.field + " is not an IP:port"
		}
	}
	return ""
}
