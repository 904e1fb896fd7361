package document

import "strings"

// checkRoutes refuses routes of one service that one request could fit alike.
func (b *builder) checkRoutes(d *Document) {
	for _, s := range d.Services {
		for i, r := range s.Routes {
			for _, other := range s.Routes[:i] {
				if r.Method == other.Method && ambiguous(r, other) {
					b.report(b.sources[r].pathAt, b.sources[r].path+".path", "",
						"%s %s is ambiguous with route %s: a request can fit both alike", r.Method, r.Path, other.Name)
				}
			}
			if !r.Idempotent && r.Wait > d.ResendWindow && d.ResendWindow > 0 {
				b.report(b.sources[r].waitAt, b.sources[r].path+".wait", "",
					"%s is longer than resend_window, %s: the key would be forgotten while the call still runs", r.Wait, d.ResendWindow)
			}
		}
	}
}

// ambiguous tells whether a path fits both patterns with neither more specific
// throughout.
func ambiguous(a, b *Route) bool {
	if len(a.segments) != len(b.segments) {
		return false
	}
	aWins, bWins := false, false
	for i := range a.segments {
		pa, pb := isParameter(a.segments[i]), isParameter(b.segments[i])
		switch {
		case !pa && !pb && a.segments[i] != b.segments[i]:
			return false
		case pa && !pb:
			bWins = true
		case pb && !pa:
			aWins = true
		}
	}
	return aWins == bWins
}

// graph walks the calls between routes, each route once.
type graph struct {
	b      *builder
	routes map[string]*Route
	names  []string
	// services holds the route names of each service.
	services     map[string][]string
	serviceNames []string
	// depth is the number of services in the longest chain from a route; 0
	// until known, walking while the walk is inside it.
	depth map[*Route]int
}

const walking = -1

// checkCalls refuses calls of unknown routes, cycles, chains that are too deep,
// and calls that contradict what their caller promises.
func (b *builder) checkCalls(d *Document) {
	g := &graph{b: b, routes: map[string]*Route{}, services: map[string][]string{}, depth: map[*Route]int{}}
	for _, s := range d.Services {
		g.serviceNames = append(g.serviceNames, s.Name)
		g.services[s.Name] = []string{}
		for _, r := range s.Routes {
			name := s.Name + "." + r.Name
			g.routes[name] = r
			g.names = append(g.names, name)
			g.services[s.Name] = append(g.services[s.Name], r.Name)
		}
	}
	for _, name := range g.names {
		if g.depth[g.routes[name]] == 0 {
			g.walk(g.routes[name])
		}
	}
}

// walk returns the depth of the chain that begins at r.
func (g *graph) walk(r *Route) int {
	g.depth[r] = walking
	deepest := 0
	for _, c := range g.b.sources[r].calls {
		callee := g.routes[c.value]
		switch {
		case callee == nil:
			g.unknown(r, c)
		case g.depth[callee] == walking:
			g.b.report(c.at, g.b.sources[r].path+".calls", "", "%s calls back to here: calls must have no cycle", c.value)
		default:
			g.checkCall(r, callee, c)
			if g.depth[callee] == 0 {
				g.walk(callee)
			}
			deepest = max(deepest, g.depth[callee])
		}
	}
	g.depth[r] = deepest + 1
	if g.depth[r] == MaxDepth+1 {
		g.b.report(g.b.sources[r].at, g.b.sources[r].path, "", "the chain of calls from here is deeper than %d", MaxDepth)
	}
	return g.depth[r]
}

func (g *graph) unknown(r *Route, c item) {
	service, route, dotted := strings.Cut(c.value, ".")
	suggestion := "write service.route"
	switch known := g.services[service]; {
	case len(g.b.problems.List) > MaxProblems:
		suggestion = ""
	case dotted && known != nil:
		suggestion = didYouMean(route, known)
	case dotted:
		suggestion = didYouMean(service, g.serviceNames)
	}
	g.b.report(c.at, g.b.sources[r].path+".calls", suggestion, "no route %q", clip(c.value))
}

func (g *graph) checkCall(r, callee *Route, c item) {
	path := g.b.sources[r].path + ".calls"
	if r.Idempotent && !callee.Idempotent {
		g.b.report(c.at, path, "set idempotent: false here, or do not call it",
			"the route is idempotent and calls %s, which is not: a retry here would repeat it", c.value)
	}
	if callee.Wait > r.Wait && r.Wait > 0 {
		g.b.report(c.at, path, "", "%s waits %s, longer than its caller, %s", c.value, callee.Wait, r.Wait)
	}
}
