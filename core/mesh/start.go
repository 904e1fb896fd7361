package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/suspect"
)

const (
	// defaultTimeout applies to a request without a stated timeout. The timeout of its
	// route can only shorten it.
	defaultTimeout = 30 * time.Second
	// maxSends bounds the attempts per request, whether or not they reached an
	// upstream. Route.MaxAttempts bounds those that may have reached one.
	maxSends = 4
)

// StartCall starts a call for a request that enters at this node. The returned step
// sends it to its first target or is already its last one. The call is nil if the node
// has no routing table or no route matches.
func (n *Node) StartCall(now time.Duration, request IncomingRequest) (*Call, Step) {
	if n.table == nil {
		return nil, Step{Kind: StepRefuse, Reason: ReasonNoTable, RetryAfter: noTableRetryAfter}
	}
	matched := n.table.Lookup(request.Host, request.Path)
	if matched == nil {
		return nil, Step{Kind: StepUnknownRoute, Reason: ReasonNoRoute}
	}
	arrived := now - request.HeaderAgo
	c := &Call{
		ID: request.ID, fingerprint: request.Fingerprint, Route: matched, RouteID: RouteID(matched), Version: n.table.Version, Arrived: arrived,
		Deadline: arrived + defaultTimeout,
	}
	if request.Timeout > 0 {
		c.Deadline = arrived + request.Timeout
	}
	if matched.Timeout > 0 {
		c.Deadline = min(c.Deadline, arrived+matched.Timeout)
	}
	c.Rank = Rank{Priority: matched.Priority, Root: c.RouteID}
	n.inheritRank(now, c, request.Parent)
	switch n.suspects.Status(now, request.Fingerprint) {
	case suspect.Blocked:
		n.suspects.RecordArrival(now, request.Fingerprint)
		return c, c.recordIfFinal(n.refuse(c, ReasonCrasher), false)
	case suspect.OnTrial:
		c.onTrial = true
	}
	c.Service = n.splitter.ChooseService(matched)
	if !n.mayFinish(now, c) {
		return c, c.recordIfFinal(n.refuse(c, ReasonLeaving), false)
	}
	c.Deadline = n.CapDeadline(c.Deadline)
	c.CallerRetry = !c.FromUpstream && n.refusals.take(now, request)
	if !n.admit(c) {
		n.refusals.add(now, request)
		return c, Step{Kind: StepRefuse, Reason: ReasonAdmission, RetryAfter: n.retryAfter(c)}
	}
	return c, c.recordIfFinal(n.sendNext(now, c), false)
}

// sendNext chooses the next target of c and opens an attempt, or refuses c if there is
// no target.
func (n *Node) sendNext(now time.Duration, c *Call) Step {
	pick := n.pickUpstream
	if c.onTrial {
		pick = n.pickTrialUpstream
	}
	u, p := pick(now, c)
	if u == nil {
		return n.refuse(c, ReasonNoUpstream)
	}
	utilisation, loadAge := n.utilisation(p), now-p.loadAt
	c.attempt = &attempt{upstream: u, peer: p, started: now}
	if len(c.tried) == 0 {
		n.budget.recordFirstSend(now, c)
	}
	c.tried = append(c.tried, u.Instance)
	p.inFlight++
	p.outlier.RecordStart(now)
	t := Target{Upstream: u.ID, Instance: u.Instance, Utilisation: utilisation, LoadAge: loadAge}
	t.RateLimit, t.Limited = p.knownLimit(now, u.ID)
	if u.Instance == n.cfg.Instance {
		t.Instance = ""
	}
	return Step{Kind: StepSend, Target: t}
}
