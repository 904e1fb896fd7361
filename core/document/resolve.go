package document

import "strings"

// MatchRoute returns the route of s that matches method and path, or nil if none
// does. A query in path is ignored. If several patterns match, the one with a literal
// segment where the other has a parameter is chosen, compared from left to right.
func (s *Service) MatchRoute(method, path string) *Route {
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

// matches reports whether path matches the pattern of r. It runs for every call and
// does not use strings.Split, which allocates.
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

// moreSpecific reports whether r has a literal segment and other a parameter at the
// first position where they differ in kind. Both must match the same path.
func (r *Route) moreSpecific(other *Route) bool {
	for i := range r.segments {
		a, b := isParameter(r.segments[i]), isParameter(other.segments[i])
		if a != b {
			return b
		}
	}
	return false
}

// isParameter reports whether a pattern's segment is a "{name}" parameter.
func isParameter(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}

// splitPath returns the segments of path; the path "/" has none.
func splitPath(path string) []string {
	path = strings.TrimPrefix(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}
