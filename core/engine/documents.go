package engine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/wire"
)

// documentAdapter implements replication.Runtime on top of a node.
type documentAdapter struct{ n *Node }

var _ replication.Runtime = documentAdapter{}

func (a documentAdapter) Send(to wire.NodeID, f wire.Frame) {
	a.n.emit(&SendFrame{To: to, Frame: f})
}

func (a documentAdapter) ReadDocument() {
	a.n.emit(&ReadPlatform{Resource: ResourceDocument, CurrentVersion: document.Version(a.n.documents.Version())})
}

func (a documentAdapter) ParseAsync(version uint64, text []byte) bool {
	if a.n.cfg.AsyncParsing {
		a.n.emit(&ParseDocument{Version: document.Version(version), Text: text})
	}
	return a.n.cfg.AsyncParsing
}

func (a documentAdapter) DocumentInForce(d *document.Document) { a.n.documentInForce(d) }

func (a documentAdapter) DocumentRejected(version uint64, reason string) {
	a.n.emit(&Log{Level: LogError, Message: "document refused", Fields: []Field{
		{"version", strconv.FormatUint(version, 10)}, {"reason", reason},
	}})
}

func (a documentAdapter) PeerQueryExpired() {
	a.n.emit(&Log{Level: LogWarn, Message: "no other node told its document, the platform's counts"})
}

// documentRead processes a document that was read from the platform. The
// replicator decides, together with what peers report, whether it comes into
// force.
func (n *Node) documentRead(ev *DocumentRead) {
	if n.injectedFaults().AcceptOlderDocument {
		n.activateUnordered(ev.Text)
		return
	}
	n.documents.HandlePlatformRead(n.now, uint64(ev.Version), ev.Text)
}

// documentParsed processes the result of a ParseDocument action.
func (n *Node) documentParsed(ev *DocumentParsed) {
	n.documents.HandleParsed(n.now, uint64(ev.Version), ev.Text, ev.Document, ev.Err)
}

// documentInForce applies a document that came into force.
func (n *Node) documentInForce(d *document.Document) {
	before := n.doc
	n.checkDocumentOrder(before, d)
	n.doc = d
	n.callees = calleesOf(d, n.cfg.Service)
	n.admissionLevels.reset()
	n.admissionControl.SetClassCount(n.classCount())
	n.configureKeyTable(before)
	n.emit(&Log{Level: LogInfo, Message: "document in force", Fields: []Field{
		{"version", strconv.FormatUint(uint64(d.Version), 10)},
	}})
	n.fireLifecycle(eventDocumentInForce)
}

// calleesOf returns the services that the named service calls, sorted.
func calleesOf(d *document.Document, service string) []string {
	s := d.Service(service)
	if s == nil {
		return nil
	}
	var names []string
	for _, r := range s.Routes {
		for _, callee := range r.Callees {
			name, _, _ := strings.Cut(callee, ".")
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
