package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// kind is one sort of request that callers make.
type kind struct {
	service, method, path string
	wait                  time.Duration
	retries               int
}

var kinds = []kind{
	{"shop", "GET", "/find", 1500 * time.Millisecond, 6},
	{"shop", "POST", "/buy", 2 * time.Second, 9},
	{"pay", "POST", "/charge", 1500 * time.Millisecond, 4},
}

const (
	resendWindow = 6 * time.Second
	maxSends     = 4
	callerDelay  = 8 * time.Millisecond
)

// order is one request of one caller, over all its sends.
type order struct {
	kind
	key   string
	body  string
	first time.Duration
	sends []*send
	done  bool
}

// send is one send of an order.
type send struct {
	order  *order
	name   string
	runs   int
	reply  *engine.Reply
	closed bool
	// slept is the paused node that the send reached, and since when it waited.
	slept life
	since time.Duration
}

// callers make requests, and send again what had no answer.
type callers struct {
	w     *sim.World
	check *checker
	next  int
}

// make starts one order; a poisonous body crashes what runs it.
func (c *callers) make(k kind, body string) {
	c.next++
	o := &order{kind: k, key: c.key(k), first: c.w.Now()}
	o.body = body
	if body == "" {
		o.body = o.key
	}
	c.send(o)
	if body == "" && c.w.Random.IntN(10) == 0 {
		c.later(100*time.Millisecond, func() { c.again(o) })
	}
}

// key returns the caller's own key, or now and then one that a node of the
// service issued.
func (c *callers) key(k kind) string {
	h := c.w.Hosts[c.w.Random.IntN(len(c.w.Hosts))]
	if h.Service() == k.service && h.Alive() && !h.Paused() {
		return h.Node.IssueKey()
	}
	return fmt.Sprintf("k%d", c.next)
}

func (c *callers) later(most time.Duration, do func()) {
	c.w.After(time.Duration(c.w.Random.Int64N(int64(most))+1), do)
}

// again sends o once more if its caller still may.
func (c *callers) again(o *order) {
	if o.done || len(o.sends) >= maxSends || c.w.Now()-o.first >= resendWindow {
		return
	}
	c.send(o)
}

func (c *callers) send(o *order) {
	s := &send{order: o, name: fmt.Sprintf("%s#%d", o.key, len(o.sends)+1)}
	o.sends = append(o.sends, s)
	c.check.sends[s.name] = s
	h := c.w.Hosts[c.w.Random.IntN(len(c.w.Hosts))]
	request := &engine.Request{
		Service: o.service, Method: o.method, Path: o.path, Key: o.key,
		Header: []byte(s.name), Body: []byte(o.body),
	}
	c.w.After(callerDelay, func() {
		if h.Paused() {
			s.slept, s.since = lifeOf(h), c.w.Now()
		}
		if h.Alive() {
			h.Call(&engine.CallArrived{Origin: engine.OriginCaller, Request: request}, func(r engine.Reply) {
				c.w.After(callerDelay, func() { c.answered(s, r) })
			})
		}
	})
	c.w.After(o.wait+500*time.Millisecond, func() { c.giveUp(s) })
}

// giveUp ends the caller's patience with a send.
func (c *callers) giveUp(s *send) {
	if !s.closed {
		s.closed = true
		c.later(time.Second, func() { c.again(s.order) })
	}
}

func (c *callers) answered(s *send, r engine.Reply) {
	c.check.replied(s, r)
	if s.closed {
		return
	}
	s.closed = true
	switch r.Outcome {
	case engine.OutcomeAnswered, engine.OutcomeBadRequest, engine.OutcomeUpstreamError:
		s.order.done = true
	default:
		c.later(r.RetryAfter+time.Second, func() { c.again(s.order) })
	}
}

// rootOf returns the key of the order that a run belongs to.
func rootOf(key string) string {
	root, _, _ := strings.Cut(key, "/")
	return root
}
