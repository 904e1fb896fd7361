package document

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// The fields that each kind of mapping may have, and the accepted methods.
var (
	documentFields      = []string{"version", "name", "classes", "resend_window", "answers", "groups", "services"}
	responseCacheFields = []string{"bytes", "keys"}
	serviceFields       = []string{"targets", "routes"}
	routeFields         = []string{"method", "path", "class", "idempotent", "wait", "retries", "retry_on", "calls"}
	methods             = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

// The values of the field retry_on.
const (
	retryOnNotRun = "not_run"
	retryOnLost   = "lost"
)

// builder turns the YAML syntax tree into a Document. It records the positions of
// each route's fields for the checks that run on the finished document.
type builder struct {
	yamlReader
	sources map[*Route]*routeSource
}

// routeSource holds where a route and its fields are defined in the text.
type routeSource struct {
	// fieldPath is the path of the route, as in Problem.Path.
	fieldPath          string
	position           position
	pathPosition       position
	waitPosition       position
	idempotentPosition position
	calls              []listItem
}

// readDocument reads the whole document; it returns nil if root is not a mapping.
func (b *builder) readDocument(root ast.Node) *Document {
	m := b.readMapping(root, "", documentFields)
	if m == nil {
		return nil
	}
	d := &Document{
		Version:       Version(m.integer("version", 1, MaxVersion, true)),
		Name:          b.readName(m, "name"),
		Classes:       m.nameList("classes", 1, MaxClasses, true),
		ResendWindow:  m.duration("resend_window", MinResendWindow, MaxResendWindow),
		ResponseCache: b.readResponseCacheLimits(m),
		Groups:        m.nameList("groups", 0, MaxGroups, false),
	}
	b.readServices(d, m)
	return d
}

// readName returns the value of a required field that holds a name.
func (b *builder) readName(m *mapping, field string) string {
	name := m.text(field, true)
	if name != "" && (len(name) > maxNameBytes || !namePattern.MatchString(name)) {
		b.report(m.positionOf(field), joinPath(m.path, field), "", "%q is not a valid name: use a lower-case letter followed by lower-case letters, digits, - or _", truncate(name))
	}
	return name
}

func (b *builder) readResponseCacheLimits(m *mapping) ResponseCacheLimits {
	node := m.field("answers", true)
	if node == nil {
		return ResponseCacheLimits{}
	}
	a := b.readMapping(node, "answers", responseCacheFields)
	if a == nil {
		return ResponseCacheLimits{}
	}
	return ResponseCacheLimits{
		Bytes: a.integer("bytes", MinResponseCacheBytes, MaxResponseCacheBytes, true),
		Keys:  int(a.integer("keys", 1, MaxResponseCacheKeys, true)),
	}
}

// readServices adds the services to d, sorted by name.
func (b *builder) readServices(d *Document, m *mapping) {
	node := m.field("services", true)
	if node == nil {
		return
	}
	services := b.readMapping(node, "services", nil)
	if services == nil {
		return
	}
	if len(services.fieldNames) > MaxServices {
		b.report(services.position, services.path, "", "has %d services, more than %d", len(services.fieldNames), MaxServices)
		return
	}
	for _, name := range slices.Sorted(slices.Values(services.fieldNames)) {
		d.Services = append(d.Services, b.readService(d, services, name))
	}
}

// readService reads the named entry of services; the routes are sorted by name.
func (b *builder) readService(d *Document, services *mapping, name string) *Service {
	s := &Service{Name: name}
	m := b.readMapping(services.values[name], joinPath(services.path, name), serviceFields)
	if m == nil {
		return s
	}
	s.TargetCount = int(m.integer("targets", 1, MaxTargets, true))
	node := m.field("routes", true)
	if node == nil {
		return s
	}
	routes := b.readMapping(node, joinPath(m.path, "routes"), nil)
	if routes == nil {
		return s
	}
	if len(routes.fieldNames) == 0 || len(routes.fieldNames) > MaxRoutesPerService {
		b.report(routes.position, routes.path, "", "has %d routes, outside 1 to %d", len(routes.fieldNames), MaxRoutesPerService)
		return s
	}
	for _, routeName := range slices.Sorted(slices.Values(routes.fieldNames)) {
		if r := b.readRoute(d, routes, routeName); r != nil {
			s.Routes = append(s.Routes, r)
		}
	}
	return s
}

// readRoute reads the named entry of routes; it returns nil if that is not a mapping.
func (b *builder) readRoute(d *Document, routes *mapping, name string) *Route {
	m := b.readMapping(routes.values[name], joinPath(routes.path, name), routeFields)
	if m == nil {
		return nil
	}
	r := &Route{
		Name: name, Method: m.text("method", true), Path: m.text("path", true),
		Class: b.readClass(d, m), Idempotent: m.boolean("idempotent"),
		Timeout: m.duration("wait", MinTimeout, MaxTimeout), RetryBudget: int(m.integer("retries", 0, MaxRetryBudget, false)),
	}
	source := &routeSource{
		fieldPath: m.path, position: routes.keyPositions[name], pathPosition: m.positionOf("path"), waitPosition: m.positionOf("wait"),
		idempotentPosition: m.positionOf("idempotent"), calls: m.list("calls", 0, MaxCalleesPerRoute, false),
	}
	for _, c := range source.calls {
		r.Callees = append(r.Callees, c.value)
	}
	b.sources[r] = source
	b.checkMethod(r, m)
	b.readRetryOn(r, m)
	b.checkPath(r, m)
	return r
}

// readClass returns the class that the field class names, 0 after reporting a
// problem.
func (b *builder) readClass(d *Document, m *mapping) Class {
	name := m.text("class", true)
	i := slices.Index(d.Classes, name)
	if i < 0 {
		if name != "" {
			b.report(m.positionOf("class"), joinPath(m.path, "class"), didYouMean(name, d.Classes), "unknown class %q", truncate(name))
		}
		return 0
	}
	return Class(i)
}

// checkMethod reports an unknown HTTP method.
func (b *builder) checkMethod(r *Route, m *mapping) {
	if r.Method != "" && !contains(methods, r.Method) {
		b.report(m.positionOf("method"), joinPath(m.path, "method"), didYouMean(r.Method, methods), "unknown method %q", truncate(r.Method))
	}
}

// readRetryOn sets which failed attempts of a route may be retried. Without the
// field retry_on, attempts that may have run are retried exactly if the route is
// idempotent.
func (b *builder) readRetryOn(r *Route, m *mapping) {
	r.RetryOnLost = r.Idempotent
	value := m.text("retry_on", false)
	path, pos := joinPath(m.path, "retry_on"), m.positionOf("retry_on")
	switch {
	case value == "":
	case value == retryOnNotRun:
		r.RetryOnLost = false
	case value != retryOnLost:
		b.report(pos, path, didYouMean(value, []string{retryOnNotRun, retryOnLost}), "unknown value %q", truncate(value))
	case !r.Idempotent:
		b.report(pos, path, "write not_run or omit the field",
			"an attempt whose response was lost may have run, and the route is not idempotent")
	}
}

// checkPath reports an invalid path pattern.
func (b *builder) checkPath(r *Route, m *mapping) {
	if r.Path == "" {
		return
	}
	reason := pathPatternError(r.Path)
	if reason != "" {
		b.report(m.positionOf("path"), joinPath(m.path, "path"), "for example /lists/{reader}", "%s", reason)
	}
}

// pathPatternError returns what is wrong with a path pattern, or "" if it is
// valid.
func pathPatternError(path string) string {
	switch {
	case len(path) > maxPathBytes:
		return "the path is too long"
	case !strings.HasPrefix(path, "/"):
		return "a path must begin with /"
	case strings.ContainsAny(path, "?#% \t"):
		return "a path must not contain a query, fragment, escape or space"
	}
	for _, segment := range splitPath(path) {
		unbraced := strings.TrimSuffix(strings.TrimPrefix(segment, "{"), "}")
		switch {
		case segment == "":
			return "a path must not contain an empty segment"
		case strings.ContainsAny(unbraced, "{}"), isParameter(segment) != (unbraced != segment), unbraced == "":
			return "a parameter must fill a whole segment, such as {name}"
		}
	}
	return ""
}
