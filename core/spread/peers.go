package spread

import (
	"time"

	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// pullAgain is how long a pulled text may take before another node is asked.
	pullAgain = time.Second
	// digestInterval and digestFanOut set how often how many linked nodes get a
	// digest while nothing changes.
	digestInterval = time.Second
	digestFanOut   = 2
	// announceFanOut bounds the nodes that hear of a change at once; they tell
	// others.
	announceFanOut = 16
)

// pulling is the one pull that is open.
type pulling struct {
	version uint64
	at      time.Duration
}

// Heard takes the version that a heartbeat of p told.
func (s *Spread) Heard(now time.Duration, p *member.Peer, version uint64) {
	s.now = max(s.now, now)
	if s.life.State() == stateAsking {
		s.ask.answer(p.Target, version)
	}
	if version > s.Version() {
		s.pullFrom(p, version)
	}
}

// Digest takes a digest of p.
func (s *Spread) Digest(now time.Duration, p *member.Peer, d *wire.Digest) {
	s.Heard(now, p, d.Version)
	p.Document, p.Refused = max(p.Document, d.Version), d.Refused
	s.told(d)
	if p.DataCentre == s.cfg.DataCentre {
		s.reads.told(s.now, time.Duration(d.ReadAgeMS)*time.Millisecond)
	}
	twin := d.Version == s.Version() && d.Version != 0 && d.Hash != s.hash
	if twin && !s.refused.knows(d.Hash) {
		s.pullFrom(p, d.Version)
	}
}

// pullFrom asks p for its text, unless another pull is still open.
func (s *Spread) pullFrom(p *member.Peer, version uint64) {
	open := s.pull.version != 0 && s.now-s.pull.at < pullAgain
	if open && version <= s.pull.version || s.check.covers(s.now, version) {
		return
	}
	s.pull = pulling{version: version, at: s.now}
	s.rt.Send(p.ID(), wire.Frame{Pull: &wire.Pull{Have: version - 1}})
}

// Pull answers a node that asks for a newer text than it has.
func (s *Spread) Pull(now time.Duration, p *member.Peer, have uint64) {
	s.now = max(s.now, now)
	if s.Version() > have {
		s.rt.Send(p.ID(), wire.Frame{Document: &wire.Document{Version: s.Version(), Text: s.text}})
	}
}

// Text takes a document that another node sent.
func (s *Spread) Text(now time.Duration, d *wire.Document) {
	s.now = max(s.now, now)
	if d.Version >= s.pull.version {
		s.pull = pulling{}
	}
	s.offer(d.Version, d.Text)
}

// Greet tells a newly linked node what is in force here.
func (s *Spread) Greet(p *member.Peer) {
	s.rt.Send(p.ID(), wire.Frame{Digest: s.digest()})
}

// Tick passes time: it reads the platform, tells digests, and asks again.
func (s *Spread) Tick(now time.Duration) {
	s.now = max(s.now, now)
	s.checkAsking()
	s.expireRefusal()
	s.read()
	if s.now >= s.digestAt {
		s.digestAt = s.now + jitter(s.random, digestInterval)
		s.tell(digestFanOut)
	}
}

// announce tells linked nodes at once of a change.
func (s *Spread) announce() { s.tell(announceFanOut) }

// tell sends a digest to the next n linked nodes, going round.
func (s *Spread) tell(n int) {
	linked := s.view.Linked()
	if len(linked) == 0 {
		return
	}
	d := s.digest()
	for range min(n, len(linked)) {
		s.turn = (s.turn + 1) % len(linked)
		s.rt.Send(linked[s.turn].ID(), wire.Frame{Digest: d})
	}
}

func (s *Spread) digest() *wire.Digest {
	d := &wire.Digest{Version: s.Version(), Hash: s.hash, ReadAgeMS: s.reads.age(s.now)}
	if s.refused.version != 0 {
		d.Refused, d.Reason = s.refused.version, s.refused.reason
		d.RefusedLeftMS = uint32(max(0, s.refused.until-s.now) / time.Millisecond)
	}
	return d
}
