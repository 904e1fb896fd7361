package replication

import (
	"slices"
	"time"
)

const (
	// requiredAnswers is the number of nodes with a document that must state
	// their version before the platform's document is accepted; in a smaller fleet
	// all other nodes must.
	requiredAnswers = 3
	// maxAnswers limits how many nodes of each kind are remembered as having
	// answered.
	maxAnswers = 64
	// extendedWaitFactor multiplies the waiting time while another node is known
	// to have a newer version than the platform.
	extendedWaitFactor = 4
)

// peerQuery collects what a node that starts without a document learns from
// others before it accepts the platform's.
type peerQuery struct {
	deadline time.Duration
	// withDocument are the target names of nodes that stated a version and
	// withoutDocument those of nodes that have none; newestVersion is the
	// highest version stated.
	withDocument    []string
	withoutDocument []string
	newestVersion   uint64
	// platformVersion and platformText are the document read from the platform;
	// the text is nil until one was read.
	platformVersion uint64
	platformText    []byte
}

// holdPlatformText keeps the platform's document until the query ends. A lower
// version does not replace a higher one.
func (q *peerQuery) holdPlatformText(version uint64, text []byte) {
	if q.platformText == nil || version >= q.platformVersion {
		q.platformVersion, q.platformText = version, text
	}
}

// recordAnswer records that a node stated its version. Nodes without a document
// know as little as this one, so they count only once every other node has
// answered.
func (q *peerQuery) recordAnswer(target string, version uint64) {
	q.newestVersion = max(q.newestVersion, version)
	targets := &q.withDocument
	if version == 0 {
		targets = &q.withoutDocument
	}
	if len(*targets) < maxAnswers && !slices.Contains(*targets, target) {
		*targets = append(*targets, target)
	}
}

// hasEnoughAnswers reports whether enough nodes answered; others is the number of
// nodes in the fleet without this one.
func (q *peerQuery) hasEnoughAnswers(others int) bool {
	answered := len(q.withDocument)
	if answered > 0 && answered >= min(requiredAnswers, others) {
		return true
	}
	return others > 0 && answered+len(q.withoutDocument) >= others
}

// checkPeerQuery ends the query once enough nodes answered or its time is over.
func (r *Replicator) checkPeerQuery() {
	if r.machine.State() != stateAsking {
		return
	}
	q := &r.query
	platformBehind := q.newestVersion > q.platformVersion
	deadline := q.deadline
	if platformBehind {
		deadline += (extendedWaitFactor - 1) * r.cfg.PeerQueryTimeout
	}
	switch {
	case !platformBehind && q.hasEnoughAnswers(r.view.Size()-1):
		r.fireEvent(eventPeersAnswered)
	case r.now >= deadline:
		r.fireEvent(eventAskExpired)
	}
}

// handleHeldText processes the platform's document that was held during the
// query.
func (r *Replicator) handleHeldText() {
	version, text := r.query.platformVersion, r.query.platformText
	r.query.platformText = nil
	if text != nil {
		r.handleText(version, text)
	}
}
