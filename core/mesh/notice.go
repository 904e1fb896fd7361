package mesh

// Notice is what an upstream says of itself in each of its answers.
type Notice struct {
	// RateLimit is the number of requests per second that the upstream accepts from all
	// instances together, as long as its answers say so; 0 if it names none. Limited is
	// set if it names one.
	RateLimit float64
	Limited   bool
	// Leaving is set if the upstream is about to leave.
	Leaving bool
}

// RecordNotice records what the local upstream said in an answer.
func (n *Node) RecordNotice(notice Notice) {
	previous := n.notice
	n.notice = notice
	event := Event{Instance: n.cfg.Instance, RateLimit: notice.RateLimit}
	switch {
	case notice.Limited && !previous.Limited:
		event.Kind = EventLimitNamed
	case !notice.Limited && previous.Limited:
		event.Kind = EventLimitLifted
	}
	if event.Kind != 0 {
		n.recordEvent(event)
	}
	if notice.Leaving && !previous.Leaving {
		n.recordEvent(Event{Kind: EventUpstreamLeaving, Instance: n.cfg.Instance})
	}
}

// Notice returns what the local upstream said in its last answer.
func (n *Node) Notice() Notice { return n.notice }
