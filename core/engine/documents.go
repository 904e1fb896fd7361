package engine

import (
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/owner"
)

func (n *Node) documentSeen(ev *DocumentSeen) {
	if n.doc != nil && ev.Version <= n.doc.Version {
		return
	}
	doc, err := document.Parse(ev.Text)
	if err != nil {
		n.emit(&Log{Level: LogError, Message: "document refused", Fields: []Field{{"reason", err.Error()}}})
		return
	}
	n.doc = doc
	n.levels.forgetRoutes()
	n.guard.SetClasses(n.classes())
	n.levels.forgetRoutes()
	if n.keys == nil {
		n.keys = owner.NewTable(owner.Config{
			Window: doc.ResendWindow, MaxKeys: doc.Answers.Keys, MaxBytes: doc.Answers.Bytes,
		}, n.now)
	}
}
