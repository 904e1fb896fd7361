package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	table "github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/platform"
)

// host is the virtual host of all routes.
const host = "shop.example"

// The services of a fleet, and the path of the routes that each version of the
// table adds one to.
const (
	frontService = "front"
	leafService  = "leaf"
	versionPath  = "/v/"
)

// tableOf is a version of the routing table: each has a route of its own.
func tableOf(version int, b Broken) *table.Table {
	timeout := callerWait
	if b == longDeadline {
		timeout *= 5
	}
	t := &table.Table{Version: table.Version(version), Services: map[string]table.Service{
		frontService: {Name: frontService}, leafService: {Name: leafService},
	}}
	add := func(name, prefix, service string, idempotent bool, priority int, timeout time.Duration) {
		t.Routes = append(t.Routes, &table.Route{
			Name: name, Host: host, Prefix: prefix, Idempotent: idempotent, Timeout: timeout, Goal: time.Second,
			Priority: priority, MaxAttempts: 2, Split: []table.Share{{Service: service, Weight: 1}},
		})
	}
	add("tree", "/tree/", frontService, true, 1, timeout)
	add("order", "/order/", frontService, false, 0, callerWait)
	add("leaf", "/leaf/", leafService, true, 1, callWait)
	for v := 1; v <= version; v++ {
		add(fmt.Sprint("v", v), fmt.Sprint(versionPath, v, "/"), frontService, true, 2, callerWait)
	}
	return t
}

const (
	// callerWait is the deadline of callers.
	callerWait = 2 * time.Second
	// callerRest is the mean pause of a caller between two requests.
	callerRest = 40 * time.Millisecond
	// leaveShare is the share of idempotent requests that are not waited for.
	leaveShare = 0.02
	// leaveAfter is when their callers leave.
	leaveAfter = 5 * time.Millisecond
	// answerSlack is how long after its deadline a caller reads on.
	answerSlack = time.Second
)

// caller sends requests to random nodes that say they are ready, on kept
// connections, until ctx ends.
type caller struct {
	run    *run
	index  int
	random *rand.Rand
	count  int
	client *fasthttp.Client
}

func newCaller(r *run, index int, seed uint64) *caller {
	return &caller{run: r, index: index, random: rand.New(rand.NewPCG(seed, uint64(index))), client: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, DisablePathNormalizing: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.ask()
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(callerRest)))
	}
}

func (c *caller) ask() {
	node := c.run.readyNode(c.random)
	if node == nil {
		return
	}
	c.count++
	l := c.run.ledger
	r := &request{id: fmt.Sprintf("c%d-%d", c.index, c.count), node: node.index, idempotent: true, wait: callerWait}
	prefix := "/tree/"
	switch c.random.IntN(3) {
	case 0:
		prefix, r.idempotent = "/order/", false
	case 1:
		r.version = c.run.version()
		prefix = fmt.Sprintf("%s%d/", versionPath, r.version)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + node.address(node.ports.callers) + prefix + r.id)
	req.UseHostHeader = true
	req.Header.SetHost(host)
	if !r.idempotent {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString("order of " + r.id)
	}
	req.Header.Set(platform.HeaderRequestID, r.id)
	told := callerWait
	if c.run.opts.Broken == longDeadline {
		told *= 5
	}
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(told.Milliseconds(), 10))
	limit := callerWait + answerSlack
	if r.idempotent && c.random.Float64() < leaveShare {
		limit = leaveAfter
		r.left = leaveAfter
	}
	l.asked(r)
	err := c.client.DoTimeout(req, resp, limit)
	l.update(func() {
		r.ended = l.now()
		if err != nil {
			return
		}
		r.status, r.got = resp.StatusCode(), string(resp.Body())
		r.wanted = bodyOf(frontService, r.id)
		r.stamped = len(resp.Header.Peek(platform.HeaderStamp)) > 0
		r.retryAfter = len(resp.Header.Peek(platform.HeaderRetryAfter)) > 0
	})
	if err == nil {
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}
