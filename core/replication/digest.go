package replication

import (
	"time"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// pullTimeout is how long an unanswered pull blocks another pull of the same or
	// an older version.
	pullTimeout = time.Second
	// While nothing changes, digestFanOut linked nodes receive a digest every
	// digestInterval.
	digestInterval = time.Second
	digestFanOut   = 2
	// announceFanOut limits how many linked nodes are told of a change directly;
	// they pass it on.
	announceFanOut = 16
)

// pendingPull is the one outstanding request for a document text; version is 0
// if there is none.
type pendingPull struct {
	version   uint64
	startedAt time.Duration
}

// HandlePeerVersion handles the document version stated in a heartbeat of p.
func (r *Replicator) HandlePeerVersion(now time.Duration, p *membership.Peer, version uint64) {
	r.now = max(r.now, now)
	if r.machine.State() == stateAsking {
		r.query.recordAnswer(p.Target, version)
	}
	if version > r.Version() {
		r.pullFrom(p, version)
	}
}

// HandleDigest records what p states in a digest. It pulls p's text if that is newer
// than the one in force or differs from it in spite of the same version.
func (r *Replicator) HandleDigest(now time.Duration, p *membership.Peer, d *wire.DocumentDigest) {
	r.HandlePeerVersion(now, p, d.Version)
	p.DocumentVersion, p.RejectedVersion = max(p.DocumentVersion, d.Version), d.RejectedVersion
	r.mergeRejection(d)
	if p.DataCentre == r.cfg.DataCentre {
		r.reads.recordPeerRead(r.now, time.Duration(d.PlatformReadAgeMS)*time.Millisecond)
	}
	conflicting := d.Version == r.Version() && d.Version != 0 && d.Hash != r.hash
	if conflicting && !r.rejection.contains(d.Hash) {
		r.pullFrom(p, d.Version)
	}
}

// pullFrom requests the text of version from p, unless a pull or a parse of that
// version or a later one is pending.
func (r *Replicator) pullFrom(p *membership.Peer, version uint64) {
	pending := r.pull.version != 0 && r.now-r.pull.startedAt < pullTimeout
	if pending && version <= r.pull.version || r.parse.includesVersion(r.now, version) {
		return
	}
	r.pull = pendingPull{version: version, startedAt: r.now}
	// version - 1, because version may equal the one in force with another text.
	r.runtime.Send(p.ID(), wire.Frame{DocumentRequest: &wire.DocumentRequest{KnownVersion: version - 1}})
}

// HandleDocumentRequest answers a node that requests a text newer than knownVersion.
func (r *Replicator) HandleDocumentRequest(now time.Duration, p *membership.Peer, knownVersion uint64) {
	r.now = max(r.now, now)
	if r.Version() > knownVersion {
		r.runtime.Send(p.ID(), wire.Frame{Document: &wire.Document{Version: r.Version(), Text: r.text}})
	}
}

// HandleDocument handles a document sent by another node.
func (r *Replicator) HandleDocument(now time.Duration, d *wire.Document) {
	r.now = max(r.now, now)
	if d.Version >= r.pull.version {
		r.pull = pendingPull{}
	}
	r.handleText(d.Version, d.Text)
}

// SendDigest sends a digest to a newly linked node.
func (r *Replicator) SendDigest(p *membership.Peer) {
	r.runtime.Send(p.ID(), wire.Frame{Digest: r.newDigest()})
}

// Tick runs the work that is due: timeouts, reads of the platform and periodic
// digests.
func (r *Replicator) Tick(now time.Duration) {
	r.now = max(r.now, now)
	r.checkPeerQuery()
	r.expireRejection()
	r.readWhenDue()
	if r.now >= r.nextDigestAt {
		r.nextDigestAt = r.now + jitter(r.random, digestInterval)
		r.sendDigests(digestFanOut)
	}
}

// announceChange sends a digest to up to announceFanOut linked nodes.
func (r *Replicator) announceChange() { r.sendDigests(announceFanOut) }

// sendDigests sends a digest to the next n linked nodes in round-robin order.
func (r *Replicator) sendDigests(n int) {
	linked := r.view.LinkedPeers()
	if len(linked) == 0 {
		return
	}
	d := r.newDigest()
	for range min(n, len(linked)) {
		r.lastDigestPeer = (r.lastDigestPeer + 1) % len(linked)
		r.runtime.Send(linked[r.lastDigestPeer].ID(), wire.Frame{Digest: d})
	}
}

func (r *Replicator) newDigest() *wire.DocumentDigest {
	d := &wire.DocumentDigest{Version: r.Version(), Hash: r.hash, PlatformReadAgeMS: r.reads.ageMS(r.now)}
	if r.rejection.version != 0 {
		d.RejectedVersion, d.RejectionReason = r.rejection.version, r.rejection.reason
		d.RejectionRemainingMS = uint32(max(0, r.rejection.expiresAt-r.now) / time.Millisecond)
	}
	return d
}
