package mesh

import "time"

// RetryBounds bound the repeats that a service gets from all nodes together.
type RetryBounds struct {
	// Window is the span in which repeats are counted.
	Window time.Duration
	// Ratio is the share of a service's requests that may be repeats, and Slack
	// the number of repeats allowed beside it.
	Ratio float64
	Slack float64
}

const (
	// directShare is the part of the bounds that is used for repeats of requests
	// to a service itself, and inducedShare the part for what repeats elsewhere
	// lead to there. The rest covers counts that are some heartbeats old.
	directShare  = 0.6
	inducedShare = 0.15
	// stopShare is the part of the bounds from which the repeats that arrive stop
	// all further ones, wherever they come from. The rest covers those under way
	// while the counts are some heartbeats old. minorStopShare is that for all but
	// the most important requests.
	stopShare      = 0.75
	minorStopShare = 0.5
	// leastSeen is the number of plans after which it is known what requests lead
	// to: those that began first have made most of their calls by then.
	leastSeen = 8
	// idleRequests is the number of requests within a window up to which a node
	// counts as idle: a call or two for each of a few callers. maxBlind is the
	// number of repeats that it then makes without knowing what they lead to.
	idleRequests = 8
	maxBlind     = 4
	// belowShare is the share of a service's runs for a root from which another
	// may be called by it. One that is called once for each run has somewhat fewer
	// when calls are refused; one above mostly has far fewer.
	belowShare = 0.5
	// maxBudgetServices bounds the services that repeats are counted of; from the
	// long-run number of 800 services.
	maxBudgetServices = 2000
)

// retryBudget keeps a node within its part of the bounds, without nodes asking
// each other: of the share of a service's requests its part follows from those
// it sends itself, of the slack every node has the same part.
type retryBudget struct {
	bounds   RetryBounds
	services map[string]*serviceBudget
	// all counts the requests to any service, blind the repeats of requests of
	// which it was not known what they lead to.
	all, blind counter
}

// serviceBudget counts within the window what one service got because of this
// node.
type serviceBudget struct {
	requests, direct, induced counter
}

// counter sums up what happened within the window, and forgets the rest.
type counter struct{ list []spending }

// spending is a number of requests or repeats at about one time.
type spending struct {
	at   time.Duration
	cost float64
}

// counterGrain is the span whose events are counted as one.
const counterGrain = 100 * time.Millisecond

func (c *counter) add(now, window time.Duration, cost float64) {
	c.forget(now, window)
	if last := len(c.list) - 1; last >= 0 && now-c.list[last].at < counterGrain {
		c.list[last].cost += cost
		return
	}
	c.list = append(c.list, spending{now, cost})
}

func (c *counter) forget(now, window time.Duration) {
	for len(c.list) > 0 && now-c.list[0].at >= window {
		c.list = c.list[1:]
	}
}

func (c *counter) sum(now, window time.Duration) float64 {
	c.forget(now, window)
	sum := 0.0
	for _, s := range c.list {
		sum += s.cost
	}
	return sum
}

func newRetryBudget(b RetryBounds) *retryBudget {
	return &retryBudget{bounds: b, services: map[string]*serviceBudget{}}
}

func (b *retryBudget) service(name string) *serviceBudget {
	s := b.services[name]
	if s == nil {
		if len(b.services) >= maxBudgetServices {
			clear(b.services)
		}
		s = &serviceBudget{}
		b.services[name] = s
	}
	return s
}

// idle tells whether this node sent so little that one repeat that leads to
// nobody knows what does no harm.
func (b *retryBudget) idle(now time.Duration) bool {
	return b.all.sum(now, b.bounds.Window) <= idleRequests && b.blind.sum(now, b.bounds.Window) < maxBlind
}

// sent counts the first send of a request. Those made for a repeated run are
// repeats themselves.
func (b *retryBudget) sent(now time.Duration, c *Call) {
	b.all.add(now, b.bounds.Window, 1)
	if !c.Rank.Rerun {
		b.service(c.Service).requests.add(now, b.bounds.Window, 1)
	}
}

// arrivals counts what reached the own upstream within the window.
type arrivals struct{ firsts, repeats counter }

func (a *arrivals) began(now, window time.Duration, repeat bool) {
	if repeat {
		a.repeats.add(now, window, 1)
		return
	}
	a.firsts.add(now, window, 1)
}

// spent tells whether so many repeats arrived at a service, as its nodes tell,
// that cost more for c are too many.
func (n *Node) spent(c *Call, service string, cost float64) bool {
	v := n.entry.services[service]
	if v == nil {
		return false
	}
	b := n.budget.bounds
	stop := minorStopShare
	if c.Rank.Priority == 0 {
		stop = stopShare
	}
	return v.repeats+cost > stop*(b.Ratio*v.firsts+b.Slack)
}

// direct returns the repeats of requests to a service that this node may make
// within a window.
func (n *Node) direct(now time.Duration, service string) float64 {
	b := n.budget.bounds
	own := n.budget.service(service).requests.sum(now, b.Window)
	return directShare * (b.Ratio*own + b.Slack/n.nodes())
}

// induced returns the arrivals at a service that repeats elsewhere may lead to.
func (n *Node) induced(service string) float64 {
	b := n.budget.bounds
	rate := 0.0
	if v := n.entry.services[service]; v != nil {
		rate = v.runs
	}
	return inducedShare * (b.Ratio*rate*b.Window.Seconds() + b.Slack) / n.nodes()
}

func (n *Node) nodes() float64 { return float64(max(len(n.instances), 1)) }

// takeRepeat takes what one repeat of c costs at its service and at those below,
// and reports whether there was enough. What requests of a new route lead to is
// known some heartbeats after the first of them; until then only an idle node
// repeats one.
func (n *Node) takeRepeat(now time.Duration, c *Call) bool {
	window := n.budget.bounds.Window
	if n.spent(c, c.Service, 1) || n.budget.service(c.Service).direct.sum(now, window)+1 > n.direct(now, c.Service) {
		return false
	}
	costs, known := n.inducedCosts(c)
	if !known && !n.budget.idle(now) {
		return false
	}
	for service, cost := range costs {
		if n.spent(c, service, cost) || n.budget.service(service).induced.sum(now, window)+cost > n.induced(service) {
			return false
		}
	}
	n.budget.service(c.Service).direct.add(now, window, 1)
	if !known {
		n.budget.blind.add(now, window, 1)
	}
	for service, cost := range costs {
		n.budget.service(service).induced.add(now, window, cost)
	}
	return true
}

// inducedCosts returns the arrivals that one run of c leads to at the services
// below, as the runs of its root show; known is false while too few were observed.
func (n *Node) inducedCosts(c *Call) (costs map[string]float64, known bool) {
	l := n.entry.visits[loadKey{c.Rank.Root, c.Service}]
	here := l.of()
	if here == 0 || l.seen < leastSeen {
		return nil, false
	}
	costs = map[string]float64{}
	for service := range n.entry.services {
		there := n.entry.visits[loadKey{c.Rank.Root, service}].of()
		if service != c.Service && there >= belowShare*here {
			costs[service] = there / here
		}
	}
	return costs, true
}
