package route

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidTable marks a table that must not come into force.
var ErrInvalidTable = errors.New("invalid routing table")

// maxRoutes bounds the routes of a table.
const maxRoutes = 100_000

// Validate returns an error marked with ErrInvalidTable, which names the route, if a request
// could not be sent along one. A table that was decoded by other means than the adapter of the
// platform must be validated.
func (t *Table) Validate() error {
	if len(t.Routes) > maxRoutes {
		return tableError("%d routes, at most %d are allowed", len(t.Routes), maxRoutes)
	}
	for i, r := range t.Routes {
		switch {
		case r == nil:
			return tableError("route %d is missing", i)
		case !strings.HasPrefix(r.Prefix, "/"):
			return tableError("route %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
		case r.MaxAttempts < 1 || r.Timeout < 0 || r.Goal < 0:
			return tableError("route %q: attempts, timeout or latency goal out of range", r.Name)
		case len(r.Split) == 0:
			return tableError("route %q: no service", r.Name)
		}
		for _, s := range r.Split {
			if s.Service == "" || s.Weight < 0 {
				return tableError("route %q: service %q with weight %d", r.Name, s.Service, s.Weight)
			}
		}
	}
	return nil
}

func tableError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalidTable)
}
