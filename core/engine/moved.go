package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
)

// movedKeys remembers that the keys of the own service were divided over
// another number of targets until lately.
type movedKeys struct {
	targets int
	until   time.Duration
}

// maxMoved is the number of past divisions remembered; with more, every new key
// waits.
const maxMoved = 8

// noteMoved remembers the division of keys that a new document ended.
func (n *Node) noteMoved(before *document.Document) {
	was, is := before.Service(n.cfg.Service), n.doc.Service(n.cfg.Service)
	if was == nil || is == nil || was.Targets == is.Targets {
		return
	}
	window := max(before.ResendWindow, n.doc.ResendWindow) + windowSlack
	n.moved = append(n.moved, movedKeys{targets: was.Targets, until: n.now + window})
}

// movedUntil returns until when the key of c may be remembered by the node that
// owned it under an earlier document; 0 if it was this node.
func (n *Node) movedUntil(c *call) time.Duration {
	var until time.Duration
	for _, m := range n.moved {
		past := &document.Service{Name: n.cfg.Service, Targets: m.targets}
		if len(n.moved) > maxMoved || ownerOf(past, c.request.Key) != n.cfg.Self.Target {
			until = max(until, m.until)
		}
	}
	return until
}

// forgetMoved drops the divisions that no key can be remembered from.
func (n *Node) forgetMoved() {
	for len(n.moved) > 0 && n.moved[0].until <= n.now {
		n.moved = n.moved[1:]
	}
}
