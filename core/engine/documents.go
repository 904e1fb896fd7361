package engine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

// documentRuntime lets the spreading of documents act through the node.
type documentRuntime struct{ n *Node }

var _ spread.Runtime = documentRuntime{}

func (r documentRuntime) Send(to wire.NodeID, f wire.Frame) {
	r.n.emit(&SendFrame{To: to, Frame: f})
}

func (r documentRuntime) ReadDocument() {
	r.n.emit(&ReadPlatform{Resource: ResourceDocument, Have: document.Version(r.n.documents.Version())})
}

func (r documentRuntime) Check(version uint64, text []byte) bool {
	if r.n.cfg.CheckApart {
		r.n.emit(&CheckDocument{Version: document.Version(version), Text: text})
	}
	return r.n.cfg.CheckApart
}

func (r documentRuntime) InForce(d *document.Document) { r.n.documentInForce(d) }

func (r documentRuntime) Refused(version uint64, reason string) {
	r.n.emit(&Log{Level: LogError, Message: "document refused", Fields: []Field{
		{"version", strconv.FormatUint(version, 10)}, {"reason", reason},
	}})
}

func (r documentRuntime) Alone() {
	r.n.emit(&Log{Level: LogWarn, Message: "no other node told its document, the platform's counts"})
}

// documentSeen takes what the platform gave; whether it counts is decided with
// what other nodes say.
func (n *Node) documentSeen(ev *DocumentSeen) {
	if n.faults().OlderDocument {
		n.takeOlder(ev.Text)
		return
	}
	n.documents.PlatformRead(n.now, uint64(ev.Version), ev.Text)
}

// documentChecked takes the result of a CheckDocument.
func (n *Node) documentChecked(ev *DocumentChecked) {
	n.documents.Checked(n.now, uint64(ev.Version), ev.Text, ev.Document, ev.Err)
}

// documentInForce follows a document that came into force.
func (n *Node) documentInForce(d *document.Document) {
	before := n.doc
	n.checkNewer(before, d)
	n.doc = d
	n.callees = calleesOf(d, n.cfg.Service)
	n.levels.forgetRoutes()
	n.guard.SetClasses(n.classes())
	n.followDocument(before)
	n.emit(&Log{Level: LogInfo, Message: "document in force", Fields: []Field{
		{"version", strconv.FormatUint(uint64(d.Version), 10)},
	}})
	n.live(lifeDocumentInForce)
}

// calleesOf returns the services that the named one calls, sorted.
func calleesOf(d *document.Document, service string) []string {
	s := d.Service(service)
	if s == nil {
		return nil
	}
	var names []string
	for _, r := range s.Routes {
		for _, call := range r.Calls {
			name, _, _ := strings.Cut(call, ".")
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
