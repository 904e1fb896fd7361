package spread

import "time"

const (
	// enoughAnswers is the number of nodes that have to tell their version
	// before the platform's word counts.
	enoughAnswers = 3
	// askLonger stretches the time while a newer version than the platform's
	// is known to exist.
	askLonger = 4
)

// asking is what a node that remembers nothing has learnt so far.
type asking struct {
	until time.Duration
	// answered are the nodes that told their version, a few at most; newest is
	// the highest of these versions.
	answered []string
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
// as little as this one, so they do not count.
func (a *asking) answer(target string, version uint64) {
	a.newest = max(a.newest, version)
	if version == 0 || len(a.answered) >= enoughAnswers {
		return
	}
	for _, t := range a.answered {
		if t == target {
			return
		}
	}
	a.answered = append(a.answered, target)
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
	case len(a.answered) >= min(enoughAnswers, s.view.Size()-1) && len(a.answered) > 0 && !behind:
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
