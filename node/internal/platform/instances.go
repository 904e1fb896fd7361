package platform

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/registry"
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

// ParseInstances parses a list of instances. An invalid entry names no instance to use and does
// not affect the others; invalid tells why, with the index of the entry. Text that is no list,
// and a list without any valid entry that is not empty, are errors. All errors are marked
// ErrReadFailed.
func ParseInstances(text []byte) (list []membership.Instance, invalid []error, err error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "instances"), ErrReadFailed)
	}
	switch {
	case raw == nil:
		return nil, nil, errors.Wrap(ErrReadFailed, "instances: no list")
	case len(raw) > maxInstances:
		return nil, nil, errors.Wrapf(ErrReadFailed, "instances: %d entries, more than %d", len(raw), maxInstances)
	}
	list = make([]membership.Instance, 0, len(raw))
	seen := make(map[string]bool, len(raw))
	for i := range raw {
		entry, err := parseInstance(raw[i])
		if err == nil && seen[entry.Target] {
			err = errors.Newf("target %q is listed twice", entry.Target)
		}
		if err != nil {
			invalid = append(invalid, errors.Mark(errors.Wrapf(err, "instances[%d]", i), ErrReadFailed))
			continue
		}
		seen[entry.Target] = true
		list = append(list, membership.Instance(entry))
	}
	if len(list) == 0 && len(invalid) > 0 {
		return nil, nil, errors.Wrap(invalid[0], "no valid entry")
	}
	return list, invalid, nil
}

func parseInstance(raw json.RawMessage) (entry instanceEntry, err error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil {
		return entry, err
	}
	if problem := entry.validate(); problem != "" {
		return entry, errors.New(problem)
	}
	return entry, nil
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
		if _, _, err := registry.ParseAddress(a.value); err != nil {
			return a.field + " is not an IP:port"
		}
	}
	return ""
}
