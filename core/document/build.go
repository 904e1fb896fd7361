package document

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// The fields of each kind of object.
var (
	documentFields = []string{"version", "name", "classes", "resend_window", "answers", "groups", "services"}
	answersFields  = []string{"bytes", "keys"}
	serviceFields  = []string{"targets", "routes"}
	routeFields    = []string{"method", "path", "class", "idempotent", "wait", "retries", "retry_on", "calls"}
	methods        = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

// The values of retry_on.
const (
	retryOnNotRun = "not_run"
	retryOnLost   = "lost"
)

// builder turns the YAML tree into a Document. It remembers where each route's
// fields stand for the checks that come after.
type builder struct {
	reader
	sources map[*Route]*routeSource
}

type routeSource struct {
	path       string
	at         position
	pathAt     position
	waitAt     position
	idempotent position
	calls      []item
}

func (b *builder) document(root ast.Node) *Document {
	o := b.object(root, "", documentFields)
	if o == nil {
		return nil
	}
	d := &Document{
		Version:      Version(o.integer("version", 1, MaxVersion, true)),
		Name:         b.name(o, "name"),
		Classes:      o.nameList("classes", 1, MaxClasses, true),
		ResendWindow: o.duration("resend_window", MinResendWindow, MaxResendWindow),
		Answers:      b.answers(o),
		Groups:       o.nameList("groups", 0, MaxGroups, false),
	}
	b.services(d, o)
	return d
}

func (b *builder) name(o *object, field string) string {
	name := o.text(field, true)
	if name != "" && (len(name) > maxNameBytes || !namePattern.MatchString(name)) {
		b.report(o.positionOf(field), join(o.path, field), "", "%q is not a name: a lower-case letter, then letters, digits, - or _", clip(name))
	}
	return name
}

func (b *builder) answers(o *object) AnswerLimits {
	node := o.field("answers", true)
	if node == nil {
		return AnswerLimits{}
	}
	a := b.object(node, "answers", answersFields)
	if a == nil {
		return AnswerLimits{}
	}
	return AnswerLimits{
		Bytes: a.integer("bytes", MinAnswerBytes, MaxAnswerBytes, true),
		Keys:  int(a.integer("keys", 1, MaxAnswerKeys, true)),
	}
}

func (b *builder) services(d *Document, o *object) {
	node := o.field("services", true)
	if node == nil {
		return
	}
	list := b.object(node, "services", nil)
	if list == nil {
		return
	}
	if len(list.names) > MaxServices {
		b.report(list.at, list.path, "", "has %d services, more than %d", len(list.names), MaxServices)
		return
	}
	for _, name := range slices.Sorted(slices.Values(list.names)) {
		d.Services = append(d.Services, b.service(d, list, name))
	}
}

func (b *builder) service(d *Document, list *object, name string) *Service {
	s := &Service{Name: name}
	o := b.object(list.fields[name], join(list.path, name), serviceFields)
	if o == nil {
		return s
	}
	s.Targets = int(o.integer("targets", 1, MaxTargets, true))
	node := o.field("routes", true)
	if node == nil {
		return s
	}
	routes := b.object(node, join(o.path, "routes"), nil)
	if routes == nil {
		return s
	}
	if len(routes.names) == 0 || len(routes.names) > MaxRoutesPerService {
		b.report(routes.at, routes.path, "", "has %d routes, outside 1 to %d", len(routes.names), MaxRoutesPerService)
		return s
	}
	for _, routeName := range slices.Sorted(slices.Values(routes.names)) {
		if r := b.route(d, routes, routeName); r != nil {
			s.Routes = append(s.Routes, r)
		}
	}
	return s
}

func (b *builder) route(d *Document, list *object, name string) *Route {
	o := b.object(list.fields[name], join(list.path, name), routeFields)
	if o == nil {
		return nil
	}
	r := &Route{
		Name: name, Method: o.text("method", true), Path: o.text("path", true),
		Class: b.class(d, o), Idempotent: o.boolean("idempotent"),
		Wait: o.duration("wait", MinWait, MaxWait), Retries: int(o.integer("retries", 0, MaxRetries, false)),
	}
	source := &routeSource{
		path: o.path, at: list.keys[name], pathAt: o.positionOf("path"), waitAt: o.positionOf("wait"),
		idempotent: o.positionOf("idempotent"), calls: o.list("calls", 0, MaxCallsPerRoute, false),
	}
	for _, c := range source.calls {
		r.Calls = append(r.Calls, c.value)
	}
	b.sources[r] = source
	b.method(r, o)
	b.retryOn(r, o)
	b.path(r, o)
	return r
}

func (b *builder) class(d *Document, o *object) Class {
	name := o.text("class", true)
	i := slices.Index(d.Classes, name)
	if i < 0 {
		if name != "" {
			b.report(o.positionOf("class"), join(o.path, "class"), didYouMean(name, d.Classes), "unknown class %q", clip(name))
		}
		return 0
	}
	return Class(i)
}

func (b *builder) method(r *Route, o *object) {
	if r.Method != "" && !contains(methods, r.Method) {
		b.report(o.positionOf("method"), join(o.path, "method"), didYouMean(r.Method, methods), "unknown method %q", clip(r.Method))
	}
}

// retryOn reads which attempts the tokens of a route may repeat. Without the
// field it follows from idempotent.
func (b *builder) retryOn(r *Route, o *object) {
	r.RetryLost = r.Idempotent
	value := o.text("retry_on", false)
	path, at := join(o.path, "retry_on"), o.positionOf("retry_on")
	switch {
	case value == "":
	case value == retryOnNotRun:
		r.RetryLost = false
	case value != retryOnLost:
		b.report(at, path, didYouMean(value, []string{retryOnNotRun, retryOnLost}), "unknown value %q", clip(value))
	case !r.Idempotent:
		b.report(at, path, "write not_run, or leave the field out",
			"an attempt whose answer was lost may have run, and the route is not idempotent")
	}
}

func (b *builder) path(r *Route, o *object) {
	if r.Path == "" {
		return
	}
	reason := pathFault(r.Path)
	if reason != "" {
		b.report(o.positionOf("path"), join(o.path, "path"), "as /lists/{reader}", "%s", reason)
	}
}

// pathFault tells what is wrong with a path pattern; empty when nothing is.
func pathFault(path string) string {
	switch {
	case len(path) > maxPathBytes:
		return "the path is too long"
	case !strings.HasPrefix(path, "/"):
		return "a path begins with /"
	case strings.ContainsAny(path, "?#% \t"):
		return "a path holds no query, fragment, escape or space"
	}
	for _, segment := range split(path) {
		inner := strings.TrimSuffix(strings.TrimPrefix(segment, "{"), "}")
		switch {
		case segment == "":
			return "a path has no empty segment"
		case strings.ContainsAny(inner, "{}"), isParameter(segment) != (inner != segment), inner == "":
			return "a parameter is a whole segment, as {name}"
		}
	}
	return ""
}
