package mesh

import (
	"math"
	"time"
)

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

// noticeMemory is how long a limit that an upstream named in an answer is passed on to the
// node beside it.
const noticeMemory = 10 * time.Second

// upstreamNotice is what an upstream said in its last answer to this node's requests.
type upstreamNotice struct {
	Notice
	// upstream is the ID of the registration.
	upstream string
	at       time.Duration
}

// RecordNotice records what the local upstream said in an answer, and holds the requests
// of all nodes to the limit that it names. These all pass this node.
func (n *Node) RecordNotice(now time.Duration, notice Notice) {
	previous := n.notice
	n.notice, n.noticeKnown = notice, true
	n.limitRate(now, notice)
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

func (n *Node) limitRate(now time.Duration, notice Notice) {
	if notice.Limited {
		n.limiter.SetRateLimit(now, notice.RateLimit)
	} else {
		n.limiter.ClearRateLimit()
	}
}

// AdoptLimit takes over the limit of the local upstream that another node knows, as long
// as this one has had no answer from it, as after a restart.
func (n *Node) AdoptLimit(now time.Duration, perSecond float64) {
	if !n.noticeKnown {
		n.limitRate(now, Notice{RateLimit: perSecond, Limited: true})
	}
}

// forgetNotice forgets what the local upstream said, because another one has replaced it.
func (n *Node) forgetNotice() {
	n.notice, n.noticeKnown = Notice{}, false
	n.limiter.ClearRateLimit()
}

// recordNotice records what an upstream said in its answer to a call.
func (p *peer) recordNotice(now time.Duration, upstream string, o Outcome) {
	if o.Kind == OutcomeAnswered {
		p.notice = upstreamNotice{Notice: o.Notice, upstream: upstream, at: now}
	}
}

// knownLimit returns the limit that an upstream named in its last answer to this node's
// requests.
func (p *peer) knownLimit(now time.Duration, upstream string) (perSecond float64, limited bool) {
	known := p.notice.upstream == upstream && now < p.notice.at+noticeMemory
	return p.notice.RateLimit, known && p.notice.Limited
}

// concurrency returns the number of requests that may run at the local upstream at once.
// While it names a limit on their rate, that is the number that this rate keeps running.
func (n *Node) concurrency() int {
	limit := n.limiter.Limit()
	if perSecond, active := n.limiter.RateLimit(); active {
		limit = min(limit, max(int(math.Ceil(perSecond*n.usage.meanRunTime().Seconds())), 1))
	}
	return limit
}

// Notice returns what the local upstream said in its last answer.
func (n *Node) Notice() Notice { return n.notice }
