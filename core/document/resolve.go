package document

import "strings"

// Resolve returns the route of s for method and path, or nil. A literal segment
// wins over a "{name}" one.
func (s *Service) Resolve(method, path string) *Route {
	path, _, _ = strings.Cut(path, "?")
	var found *Route
	for _, r := range s.Routes {
		if r.Method != method || !r.matches(path) {
			continue
		}
		if found == nil || r.moreSpecific(found) {
			found = r
		}
	}
	return found
}

// matches walks path by hand: it runs for every call, and splitting allocates.
func (r *Route) matches(path string) bool {
	rest := strings.TrimPrefix(path, "/")
	for i, want := range r.segments {
		segment, tail, more := strings.Cut(rest, "/")
		if isParameter(want) {
			if segment == "" {
				return false
			}
		} else if segment != want {
			return false
		}
		if last := i == len(r.segments)-1; last {
			return !more
		}
		if !more {
			return false
		}
		rest = tail
	}
	return rest == ""
}

func (r *Route) moreSpecific(other *Route) bool {
	for i := range r.segments {
		a, b := isParameter(r.segments[i]), isParameter(other.segments[i])
		if a != b {
			return b
		}
	}
	return false
}

func isParameter(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}

func split(path string) []string {
	path = strings.TrimPrefix(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}
