package document

import "strings"

// checkRoutes reports routes of one service whose patterns match the same request
// with equal specificity. It also reports non-idempotent routes that wait longer
// than the resend window: the idempotency key would be forgotten during the call.
func (b *builder) checkRoutes(d *Document) {
	for _, s := range d.Services {
		for i, r := range s.Routes {
			for _, other := range s.Routes[:i] {
				if r.Method == other.Method && ambiguous(r, other) {
					b.report(b.sources[r].pathPosition, b.sources[r].fieldPath+".path", "",
						"%s %s is ambiguous with route %s: a request can match both equally well", r.Method, r.Path, other.Name)
				}
			}
			if !r.Idempotent && r.Timeout > d.ResendWindow && d.ResendWindow > 0 {
				b.report(b.sources[r].waitPosition, b.sources[r].fieldPath+".wait", "",
					"%s is longer than resend_window, %s: the key would be forgotten while the call is still running", r.Timeout, d.ResendWindow)
			}
		}
	}
}

// ambiguous reports whether a path can match both patterns while neither is the
// more specific one. A pattern is more specific if it has a literal segment
// wherever the two differ in kind.
func ambiguous(a, b *Route) bool {
	if len(a.segments) != len(b.segments) {
		return false
	}
	aMoreSpecific, bMoreSpecific := false, false
	for i := range a.segments {
		aParam, bParam := isParameter(a.segments[i]), isParameter(b.segments[i])
		switch {
		case !aParam && !bParam && a.segments[i] != b.segments[i]:
			return false
		case aParam && !bParam:
			bMoreSpecific = true
		case bParam && !aParam:
			aMoreSpecific = true
		}
	}
	return aMoreSpecific == bMoreSpecific
}

// callGraph checks the calls between routes by a depth-first search that visits
// each route once.
type callGraph struct {
	builder    *builder
	routes     map[string]*Route
	routeNames []string // full names, in the order of the document
	// routesByService holds the short route names of each service.
	routesByService map[string][]string
	serviceNames    []string
	// depth is the number of routes in the longest call chain that starts at a
	// route: 0 if not visited yet, inProgress while the search is below it.
	depth map[*Route]int
}

// inProgress marks a route on the current search path in callGraph.depth.
const inProgress = -1

// checkCalls reports calls to unknown routes, cycles, chains that are too deep, and
// calls that are incompatible with the route that makes them: an idempotent route
// must not call one that is not, and no callee may wait longer than its caller.
func (b *builder) checkCalls(d *Document) {
	g := &callGraph{builder: b, routes: map[string]*Route{}, routesByService: map[string][]string{}, depth: map[*Route]int{}}
	for _, s := range d.Services {
		g.serviceNames = append(g.serviceNames, s.Name)
		g.routesByService[s.Name] = []string{}
		for _, r := range s.Routes {
			name := s.Name + "." + r.Name
			g.routes[name] = r
			g.routeNames = append(g.routeNames, name)
			g.routesByService[s.Name] = append(g.routesByService[s.Name], r.Name)
		}
	}
	for _, name := range g.routeNames {
		if g.depth[g.routes[name]] == 0 {
			g.visit(g.routes[name])
		}
	}
}

// visit checks the calls of r and of all routes below it. It records and returns the
// depth of r. A chain that is too deep is reported only at the first route of it that
// exceeds the limit, not again at the callers of that route.
func (g *callGraph) visit(r *Route) int {
	g.depth[r] = inProgress
	deepest := 0
	for _, c := range g.builder.sources[r].calls {
		callee := g.routes[c.value]
		switch {
		case callee == nil:
			g.reportUnknownRoute(r, c)
		case g.depth[callee] == inProgress:
			g.builder.report(c.position, g.builder.sources[r].fieldPath+".calls", "", "%s leads back to this route: calls must not form a cycle", c.value)
		default:
			g.checkCall(r, callee, c)
			if g.depth[callee] == 0 {
				g.visit(callee)
			}
			deepest = max(deepest, g.depth[callee])
		}
	}
	g.depth[r] = deepest + 1
	if g.depth[r] == MaxCallDepth+1 {
		g.builder.report(g.builder.sources[r].position, g.builder.sources[r].fieldPath, "", "the call chain from here is deeper than %d", MaxCallDepth)
	}
	return g.depth[r]
}

// reportUnknownRoute reports a call to a route that does not exist. Beyond
// MaxProblems problems it skips the costly search for a suggestion.
func (g *callGraph) reportUnknownRoute(r *Route, c listItem) {
	service, route, hasDot := strings.Cut(c.value, ".")
	suggestion := "write service.route"
	switch knownRoutes := g.routesByService[service]; {
	case len(g.builder.problems.List) > MaxProblems:
		suggestion = ""
	case hasDot && knownRoutes != nil:
		suggestion = didYouMean(route, knownRoutes)
	case hasDot:
		suggestion = didYouMean(service, g.serviceNames)
	}
	g.builder.report(c.position, g.builder.sources[r].fieldPath+".calls", suggestion, "unknown route %q", truncate(c.value))
}

// checkCall reports a call from r to callee that r's own settings rule out.
func (g *callGraph) checkCall(r, callee *Route, c listItem) {
	path := g.builder.sources[r].fieldPath + ".calls"
	if r.Idempotent && !callee.Idempotent {
		g.builder.report(c.position, path, "set idempotent: false here or remove the call",
			"the route is idempotent and calls %s, which is not: a retry here would repeat it", c.value)
	}
	if callee.Timeout > r.Timeout && r.Timeout > 0 {
		g.builder.report(c.position, path, "", "%s has wait %s, longer than its caller's wait %s", c.value, callee.Timeout, r.Timeout)
	}
}
