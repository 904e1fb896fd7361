package mesh

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/registry"
)

// ErrInvalidMessage marks a message that can be decoded but whose values are impossible. It
// must not be passed to a node.
var ErrInvalidMessage = errors.New("invalid message")

const (
	// maxInterval bounds the intervals that messages state, so that an instance whose message
	// is wrong is not taken to be alive for long.
	maxInterval = time.Minute
	// maxFigure bounds the rates and numbers in messages.
	maxFigure = 1e9
	// maxNameBytes bounds the length of names.
	maxNameBytes = 256
)

// Validate returns an error marked with ErrInvalidMessage if a value of the message is
// impossible: a rate that is negative or no number, or a list or name that is too long.
func (m *Message) Validate() error {
	c := checker{}
	if h := m.Heartbeat; h != nil {
		c.heartbeat(h)
	}
	c.name("data centre", m.DataCentre)
	c.name("covered", m.Covered...)
	c.duration("refresh", time.Duration(m.RefreshMS)*time.Millisecond)
	c.duration("state refresh", time.Duration(m.StateRefreshMS)*time.Millisecond)
	for _, s := range m.Services {
		c.name("service", s.Service)
		c.figures("service sum", s.Requests, s.Limit, s.FirstRuns, s.Retries, s.Backlog)
		for _, capacity := range s.Capacities {
			c.figures("slots", capacity.Slots)
		}
		c.roots(s.Roots)
	}
	c.demand(m.Demand)
	for _, s := range m.Instances {
		c.routes(s.Routes)
	}
	return c.err
}

// checker holds the first error found.
type checker struct{ err error }

func (c *checker) fail(what string, value any) {
	if c.err == nil {
		c.err = errors.Mark(errors.Newf("%s: %v is not possible", what, value), ErrInvalidMessage)
	}
}

func (c *checker) heartbeat(h *Heartbeat) {
	c.name("service", h.Service)
	c.duration("interval", h.Interval)
	c.figures("heartbeat", h.FaultShare, h.FirstRuns, h.Retries, float32(h.Load.Running), float32(h.Load.Queued), float32(h.Load.Limit))
	c.routes(h.Routes)
	c.roots(h.Roots)
	c.demand(h.Demand)
}

func (c *checker) figures(what string, values ...float32) {
	for _, v := range values {
		if !(v >= 0 && v <= maxFigure) { // also false if v is no number
			c.fail(what, v)
		}
	}
}

func (c *checker) name(what string, names ...string) {
	for _, name := range names {
		if len(name) > maxNameBytes {
			c.fail(what, len(name))
		}
	}
}

func (c *checker) duration(what string, d time.Duration) {
	if d < 0 || d > maxInterval {
		c.fail(what, d)
	}
}

func (c *checker) routes(list []RouteStat) {
	for _, s := range list {
		if s.RunTime < 0 {
			c.fail("run time", s.RunTime)
		}
	}
}

func (c *checker) roots(list []RootStat) {
	for _, s := range list {
		c.figures("use of a route", s.SlotsInUse, s.RunRate)
	}
}

func (c *checker) demand(list []DemandStat) {
	for _, s := range list {
		c.figures("demand", s.Offered, s.Admitted, s.Served)
	}
}

// maxStateEntries bounds the registrations in the state of a node.
const maxStateEntries = 20_000

// RemoveInvalid removes the registrations that no node could use, and the table if it must not
// come into force, and returns why. The rest of the state holds. A removed registration names
// no upstream to use; see StoreState.Unusable. err is marked with ErrInvalidMessage if the state
// as a whole exceeds a limit.
func (s *StoreState) RemoveInvalid() (problems []error, err error) {
	if max(len(s.Upstreams), len(s.Present), len(s.Lapsed), len(s.Removals)) > maxStateEntries {
		return nil, errors.Mark(errors.Newf("more than %d registrations", maxStateEntries), ErrInvalidMessage)
	}
	if s.Table != nil {
		if problem := s.Table.Validate(); problem != nil {
			problems = append(problems, problem)
			s.Table = nil
		}
	}
	s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u registry.Upstream) bool {
		problem := u.Validate()
		if problem != nil {
			problems = append(problems, problem)
			s.Unusable = append(s.Unusable, u.ID)
		}
		return problem != nil
	})
	return problems, nil
}
