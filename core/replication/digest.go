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
func (s *Replicator) HandlePeerVersion(now time.Duration, p *membership.Peer, version uint64) {
	s.now = max(s.now, now)
	if s.machine.State() == stateAsking {
		s.query.recordAnswer(p.Target, version)
	}
	if version > s.Version() {
		s.pullFrom(p, version)
	}
}

// HandleDigest handles a digest received from p.
func (s *Replicator) HandleDigest(now time.Duration, p *membership.Peer, d *wire.DocumentDigest) {
	s.HandlePeerVersion(now, p, d.Version)
	p.DocumentVersion, p.RefusedVersion = max(p.DocumentVersion, d.Version), d.RejectedVersion
	s.mergeRefusal(d)
	if p.DataCentre == s.cfg.DataCentre {
		s.reads.recordPeerRead(s.now, time.Duration(d.PlatformReadAgeMS)*time.Millisecond)
	}
	conflicting := d.Version == s.Version() && d.Version != 0 && d.Hash != s.hash
	if conflicting && !s.refusal.contains(d.Hash) {
		s.pullFrom(p, d.Version)
	}
}

// pullFrom requests the text of version from p, unless a pull or a parse of that
// version or a later one is pending.
func (s *Replicator) pullFrom(p *membership.Peer, version uint64) {
	pending := s.pull.version != 0 && s.now-s.pull.startedAt < pullTimeout
	if pending && version <= s.pull.version || s.parse.includesVersion(s.now, version) {
		return
	}
	s.pull = pendingPull{version: version, startedAt: s.now}
	s.runtime.Send(p.ID(), wire.Frame{DocumentRequest: &wire.DocumentRequest{KnownVersion: version - 1}})
}

// HandlePull answers a node that requests a text newer than version have.
func (s *Replicator) HandlePull(now time.Duration, p *membership.Peer, have uint64) {
	s.now = max(s.now, now)
	if s.Version() > have {
		s.runtime.Send(p.ID(), wire.Frame{Document: &wire.Document{Version: s.Version(), Text: s.text}})
	}
}

// HandleDocument handles a document sent by another node.
func (s *Replicator) HandleDocument(now time.Duration, d *wire.Document) {
	s.now = max(s.now, now)
	if d.Version >= s.pull.version {
		s.pull = pendingPull{}
	}
	s.handleText(d.Version, d.Text)
}

// SendDigest sends a digest to a newly linked node.
func (s *Replicator) SendDigest(p *membership.Peer) {
	s.runtime.Send(p.ID(), wire.Frame{Digest: s.newDigest()})
}

// Tick runs the work that is due: timeouts, reads of the platform and periodic
// digests.
func (s *Replicator) Tick(now time.Duration) {
	s.now = max(s.now, now)
	s.checkPeerQuery()
	s.expireRefusal()
	s.readWhenDue()
	if s.now >= s.nextDigestAt {
		s.nextDigestAt = s.now + jitter(s.random, digestInterval)
		s.sendDigests(digestFanOut)
	}
}

// announceChange sends a digest to up to announceFanOut linked nodes.
func (s *Replicator) announceChange() { s.sendDigests(announceFanOut) }

// sendDigests sends a digest to the next n linked nodes in round-robin order.
func (s *Replicator) sendDigests(n int) {
	linked := s.view.LinkedPeers()
	if len(linked) == 0 {
		return
	}
	d := s.newDigest()
	for range min(n, len(linked)) {
		s.lastDigestPeer = (s.lastDigestPeer + 1) % len(linked)
		s.runtime.Send(linked[s.lastDigestPeer].ID(), wire.Frame{Digest: d})
	}
}

func (s *Replicator) newDigest() *wire.DocumentDigest {
	d := &wire.DocumentDigest{Version: s.Version(), Hash: s.hash, PlatformReadAgeMS: s.reads.ageMS(s.now)}
	if s.refusal.version != 0 {
		d.RejectedVersion, d.RejectionReason = s.refusal.version, s.refusal.reason
		d.RejectionRemainingMS = uint32(max(0, s.refusal.expiresAt-s.now) / time.Millisecond)
	}
	return d
}
