package engine

import (
	"github.com/shallotspool/shallotspool/core/document"
)

func (n *Node) documentSeen(ev *DocumentSeen) {
	if n.doc != nil && ev.Version <= n.doc.Version && !n.faults().OlderDocument {
		return
	}
	doc, err := document.Parse(ev.Text)
	if err != nil {
		n.emit(&Log{Level: LogError, Message: "document refused", Fields: []Field{{"reason", err.Error()}}})
		return
	}
	before := n.doc
	n.checkNewer(before, doc)
	n.doc = doc
	n.levels.forgetRoutes()
	n.followDocument(before)
}
