package route

import (
	"math"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidTable marks a table that must not come into force.
var ErrInvalidTable = errors.New("invalid routing table")

const (
	// maxRoutes bounds the routes of a table.
	maxRoutes = 100_000
	// maxHostBytes bounds the length of a host name.
	maxHostBytes = 255
	// maxWeight bounds the weight of one service, so that the sums of weights do not overflow.
	maxWeight = math.MaxInt32
)

// Validate returns an error marked with ErrInvalidTable, which names the route, if a request
// could not be sent along one. It is the one rule for a table, whether it was read from the
// store or taken over from another node.
func (t *Table) Validate() error {
	switch {
	case t.Version == 0:
		return tableError("version is missing")
	case len(t.Routes) > maxRoutes:
		return tableError("%d routes, at most %d are allowed", len(t.Routes), maxRoutes)
	}
	for i, r := range t.Routes {
		if r == nil {
			return tableError("route %d is missing", i)
		}
		if err := r.validate(t.Services); err != nil {
			return err
		}
	}
	return nil
}

// validate is Table.Validate for one route. services are those of the table.
func (r *Route) validate(services map[string]Service) error {
	switch {
	case len(r.Host) > maxHostBytes:
		return tableError("route %.64q: host has %d bytes, at most %d are allowed", r.Name, len(r.Host), maxHostBytes)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return tableError("route %.64q: prefix %.64q does not begin and end with a slash", r.Name, r.Prefix)
	case r.MaxAttempts < 1 || r.Timeout < 0 || r.Goal < 0:
		return tableError("route %.64q: attempts, timeout or latency goal out of range", r.Name)
	case len(r.Split) == 0:
		return tableError("route %.64q: no service", r.Name)
	}
	for _, s := range r.Split {
		if s.Weight < 0 || s.Weight > maxWeight {
			return tableError("route %.64q: weight %d of %.64q is below 0 or above %d", r.Name, s.Weight, s.Service, maxWeight)
		}
		if _, known := services[s.Service]; !known || s.Service == "" {
			return tableError("route %.64q: service %.64q is not listed", r.Name, s.Service)
		}
	}
	return nil
}

func tableError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalidTable)
}
