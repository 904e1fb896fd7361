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

// safety is the part of the bounds that nodes use: what a node counts as one
// repeat may show as more at the services below.
const safety = 0.5

// retryBudget keeps a node within its part of the bounds. The parts add up
// without nodes having to tell each other, so one that is cut off keeps them too.
type retryBudget struct {
	bounds   RetryBounds
	services map[string]*serviceBudget
}

type serviceBudget struct {
	repeats  []time.Duration
	requests int
	since    time.Duration
	last     int
}

func newRetryBudget(b RetryBounds) *retryBudget {
	return &retryBudget{bounds: b, services: map[string]*serviceBudget{}}
}

// maxBudgetServices bounds the services that repeats are counted of; from the
// long-run number of 800 services.
const maxBudgetServices = 2000

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

// first counts a request for a service.
func (b *retryBudget) first(now time.Duration, c *Call) {
	if len(c.tried) > 1 {
		return
	}
	s := b.service(c.Service)
	if now-s.since >= b.bounds.Window {
		s.last, s.requests, s.since = s.requests, 0, now
	}
	s.requests++
}

// take takes one repeat from this node's part and reports whether there was any.
func (b *retryBudget) take(now time.Duration, service string, nodes int) bool {
	s := b.service(service)
	for len(s.repeats) > 0 && now-s.repeats[0] >= b.bounds.Window {
		s.repeats = s.repeats[1:]
	}
	part := safety * b.bounds.Slack / float64(max(nodes, 1))
	if float64(len(s.repeats)+1) > part {
		return false
	}
	s.repeats = append(s.repeats, now)
	return true
}
