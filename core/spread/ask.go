package spread

import (
	"slices"
	"time"
)

const (
	// enoughAnswers is the number of nodes that have to tell their version
	// before the platform's word counts.
	enoughAnswers = 3
	// maxAnswers bounds the nodes that are remembered for their answer.
	maxAnswers = 64
	// askLonger stretches the time while a newer version than the platform's
	// is known to exist.
	askLonger = 4
)

// asking is what a node that remembers nothing has learnt so far.
type asking struct {
	until time.Duration
	// answered are nodes that told their version, empty those that have no
	// document; newest is the highest version told.
	answered []string
	empty    []string
	newest   uint64
	// version and text are the platform's word; text is nil until it came.
	version uint64
	text    []byte
}

// hold keeps the platform's word for later; a lower version replaces none.
func (a *asking) hold(version uint64, text []byte) {
	if a.text == nil || version >= a.version {
		a.version, a.text = version, text
	}
}

// answer notes that a node told its version. Nodes without a document remember
// as little as this one; they count only when all others are like that.
func (a *asking) answer(target string, version uint64) {
	a.newest = max(a.newest, version)
	list := &a.answered
	if version == 0 {
		list = &a.empty
	}
	if len(*list) < maxAnswers && !slices.Contains(*list, target) {
		*list = append(*list, target)
	}
}

// complete tells whether enough nodes answered, of a fleet of others beside
// this one.
func (a *asking) complete(others int) bool {
	told := len(a.answered)
	if told > 0 && told >= min(enoughAnswers, others) {
		return true
	}
	return others > 0 && told+len(a.empty) >= others
}

// checkAsking ends the asking once enough nodes answered, or in time.
func (s *Spread) checkAsking() {
	if s.life.State() != stateAsking {
		return
	}
	a := &s.ask
	behind := a.newest > a.version
	until := a.until
	if behind {
		until += (askLonger - 1) * s.cfg.Ask
	}
	switch {
	case !behind && a.complete(s.view.Size()-1):
		s.fire(eventPeersAnswered)
	case s.now >= until:
		s.fire(eventAskExpired)
	}
}

// takeOffered takes the platform's word that was held while others were asked.
func (s *Spread) takeOffered() {
	version, text := s.ask.version, s.ask.text
	s.ask.text = nil
	if text != nil {
		s.offer(version, text)
	}
}
