package mesh

import "time"

// RetryBounds limits the retries that all nodes together send to a service.
type RetryBounds struct {
	// Window is the period over which retries are counted.
	Window time.Duration
	// Ratio is the number of retries allowed per request to a service. Slack is the
	// number of retries allowed in addition.
	Ratio float64
	Slack float64
}

const (
	// directShare is the part of the bounds available for retries of requests to a
	// service itself. inducedShare is the part for the calls that retries at other
	// services cause there. The remainder is a margin for counts that are several
	// heartbeats old.
	directShare  = 0.6
	inducedShare = 0.15
	// retryStopShare is the part of the bounds at which the retries arriving at a
	// service stop all further retries to it, from any node. The remainder is a margin
	// for retries under way while the counts are several heartbeats old.
	// lowPriorityStopShare is the same limit for all but the most important requests.
	retryStopShare       = 0.75
	lowPriorityStopShare = 0.5
	// minObservations is the number of plans after which the calls caused by a request
	// count as known. By then the requests that started first have made most of their
	// calls.
	minObservations = 8
	// idleRequests is the number of requests within a window up to which a node counts
	// as idle: one or two from each of a few callers. maxBlindRetries is the number of
	// retries that an idle node may make without knowing which calls they cause.
	idleRequests    = 8
	maxBlindRetries = 4
	// minDownstreamRatio is the minimum ratio of runs at another service to runs at
	// this one, for the same root route, for the other service to count as called by
	// this one. A service called once per run has a slightly lower ratio when calls
	// are refused. A service further up the call chain mostly has a far lower one.
	minDownstreamRatio = 0.5
	// maxBudgetServices bounds the services for which retries are counted. A
	// deployment is expected to grow to 800 services.
	maxBudgetServices = 2000
)

// retryBudget keeps a node within its part of the retry bounds without coordination
// between nodes. The part that depends on the number of requests follows from the
// requests this node sends; the slack is divided equally among all nodes. A node uses its
// part of the slack only once it has been up for a whole window, because the process that
// ran there before may have spent it just before it ended.
type retryBudget struct {
	bounds RetryBounds
	// startedAt is the time at which the node started.
	startedAt time.Duration
	services  map[string]*serviceBudget
	// allRequests counts the requests to any service. blindRetries counts the retries
	// of requests for which the calls they cause were not known.
	allRequests, blindRetries windowCounter
	// refused counts the retries that were not made, by cause.
	refused [retryCauses]uint64
}

// RetryCause states why a retry was not made.
type RetryCause uint8

// The causes.
const (
	// RetriesArrived means that the retries that arrived at a service, from all nodes, are
	// near the bound.
	RetriesArrived RetryCause = iota
	// RetriesSpent means that this node has made its part of the retries at the service.
	RetriesSpent
	// RetriesInduced means that this node's retries have caused its part of the calls at
	// another service.
	RetriesInduced
	// RetriesBlind means that the calls that the retry would cause are not known.
	RetriesBlind
	retryCauses
)

// String returns the name of the cause in metrics.
func (c RetryCause) String() string {
	return [...]string{"arrived", "spent", "induced", "blind"}[c]
}

// refuse counts a retry that is not made.
func (b *retryBudget) refuse(cause RetryCause) bool {
	b.refused[cause]++
	return false
}

// RefusedRetries is the number of retries that a node did not make for one cause.
type RefusedRetries struct {
	Cause RetryCause
	Count uint64
}

// RefusedRetries returns the number of retries that this node did not make, by cause.
func (n *Node) RefusedRetries() (out []RefusedRetries) {
	for cause := range retryCauses {
		out = append(out, RefusedRetries{cause, n.budget.refused[cause]})
	}
	return out
}

// serviceBudget counts, within the window, the requests this node sent to one service,
// its direct retries of them, and the calls there induced by its retries at other
// services.
type serviceBudget struct {
	requests, direct, induced windowCounter
}

// windowCounter sums amounts within a sliding window and discards older ones.
type windowCounter struct{ buckets []bucket }

// bucket is the sum of the amounts added within one bucketWidth.
type bucket struct {
	at     time.Duration
	amount float64
}

// bucketWidth is the resolution of a windowCounter.
const bucketWidth = 100 * time.Millisecond

func (c *windowCounter) add(now, window time.Duration, amount float64) {
	c.dropExpired(now, window)
	if last := len(c.buckets) - 1; last >= 0 && now-c.buckets[last].at < bucketWidth {
		c.buckets[last].amount += amount
		return
	}
	c.buckets = append(c.buckets, bucket{now, amount})
}

func (c *windowCounter) dropExpired(now, window time.Duration) {
	for len(c.buckets) > 0 && now-c.buckets[0].at >= window {
		c.buckets = c.buckets[1:]
	}
}

func (c *windowCounter) sum(now, window time.Duration) float64 {
	c.dropExpired(now, window)
	sum := 0.0
	for _, b := range c.buckets {
		sum += b.amount
	}
	return sum
}

func newRetryBudget(b RetryBounds, startedAt time.Duration) *retryBudget {
	return &retryBudget{bounds: b, startedAt: startedAt, services: map[string]*serviceBudget{}}
}

// slack returns the part of the slack that is available at this time: none or all of it.
func (b *retryBudget) slack(now time.Duration) float64 {
	if now-b.startedAt < b.bounds.Window {
		return 0
	}
	return b.bounds.Slack
}

// uptimeShare returns the time since the start as a share of the window, at most 1.
func (b *retryBudget) uptimeShare(now time.Duration) float64 {
	return min((now-b.startedAt).Seconds()/b.bounds.Window.Seconds(), 1)
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

// idle reports whether this node sent so few requests that one more retry is harmless
// even if the calls it causes are unknown.
func (b *retryBudget) idle(now time.Duration) bool {
	return b.allRequests.sum(now, b.bounds.Window) <= idleRequests && b.blindRetries.sum(now, b.bounds.Window) < maxBlindRetries
}

// recordFirstSend counts the first attempt of a call. A call made on behalf of a
// retried run is itself a retry and does not raise the allowance of its service.
func (b *retryBudget) recordFirstSend(now time.Duration, c *Call) {
	b.allRequests.add(now, b.bounds.Window, 1)
	if !c.Rank.IsRetry {
		b.service(c.Service).requests.add(now, b.bounds.Window, 1)
	}
}

// arrivals counts the runs at the local upstream within the window.
type arrivals struct{ firstRuns, retries windowCounter }

func (a *arrivals) record(now, window time.Duration, retry bool) {
	if retry {
		a.retries.add(now, window, 1)
		return
	}
	a.firstRuns.add(now, window, 1)
}

// retriesExhausted reports whether a retry of c would exceed the limit of a service,
// given the retries that its nodes report in their heartbeats. cost is the number of
// runs that the retry causes there.
func (n *Node) retriesExhausted(c *Call, service string, cost float64) bool {
	view := n.admission.services[service]
	if view == nil {
		return false
	}
	bounds := n.budget.bounds
	stopShare := lowPriorityStopShare
	if c.Rank.Priority == 0 {
		stopShare = retryStopShare
	}
	return view.retries+cost > stopShare*(bounds.Ratio*view.firstRuns+bounds.Slack)
}

// directAllowance returns the number of retries of requests to a service that this
// node may make within a window.
func (n *Node) directAllowance(now time.Duration, service string) float64 {
	bounds := n.budget.bounds
	sent := n.budget.service(service).requests.sum(now, bounds.Window)
	return directShare * (bounds.Ratio*sent + n.budget.slack(now)/n.nodeCount())
}

// inducedAllowance returns the number of calls to a service that this node's retries
// at other services may cause within a window.
func (n *Node) inducedAllowance(now time.Duration, service string) float64 {
	bounds := n.budget.bounds
	rate := 0.0
	if view := n.admission.services[service]; view != nil {
		rate = view.runRate
	}
	requests := rate * bounds.Window.Seconds() * n.budget.uptimeShare(now)
	return inducedShare * (bounds.Ratio*requests + n.budget.slack(now)) / n.nodeCount()
}

func (n *Node) nodeCount() float64 { return float64(max(len(n.instances), 1)) }

// chargeRetry charges one retry of c to the budgets of its service and of the services
// it calls. It reports false, and charges nothing, if one of them is exhausted. The
// calls caused by requests of a new route are known several heartbeats after its first
// request. Until then only an idle node retries them.
func (n *Node) chargeRetry(now time.Duration, c *Call) bool {
	window := n.budget.bounds.Window
	if n.retriesExhausted(c, c.Service, 1) {
		return n.budget.refuse(RetriesArrived)
	}
	if n.budget.service(c.Service).direct.sum(now, window)+1 > n.directAllowance(now, c.Service) {
		return n.budget.refuse(RetriesSpent)
	}
	costs, known := n.inducedCosts(c)
	if !known && !n.budget.idle(now) {
		return n.budget.refuse(RetriesBlind)
	}
	for service, cost := range costs {
		if n.retriesExhausted(c, service, cost) {
			return n.budget.refuse(RetriesArrived)
		}
		if n.budget.service(service).induced.sum(now, window)+cost > n.inducedAllowance(now, service) {
			return n.budget.refuse(RetriesInduced)
		}
	}
	n.budget.service(c.Service).direct.add(now, window, 1)
	if !known {
		n.budget.blindRetries.add(now, window, 1)
	}
	for service, cost := range costs {
		n.budget.service(service).induced.add(now, window, cost)
	}
	return true
}

// inducedCosts returns the number of calls that one run of c causes at each downstream
// service, estimated from the runs for its root route. known is false while there are
// too few observations.
func (n *Node) inducedCosts(c *Call) (costs map[string]float64, known bool) {
	loads := n.admission.loads[c.Rank.Root]
	own := loads[c.Service]
	if own == nil || own.visits.get() == 0 || own.visits.samples < minObservations {
		return nil, false
	}
	ownVisits := own.visits.get()
	costs = map[string]float64{}
	for service, other := range loads {
		otherVisits := other.visits.get()
		if service != c.Service && n.admission.services[service] != nil && otherVisits >= minDownstreamRatio*ownVisits {
			costs[service] = otherVisits / ownVisits
		}
	}
	return costs, true
}
