package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/platform"
)

// virtualHost is the virtual host that all routes match.
const virtualHost = "shop.example"

// The services, and the path prefix of the versioned routes. Each version of the routing
// table adds one versioned route.
const (
	frontService = "front"
	leafService  = "leaf"
	versionPath  = "/v/"
)

// routingTable returns the routing table of a version. It has the versioned routes of
// this and all earlier versions, so that the response to a versioned route shows whether
// a node uses that version or a later one.
func routingTable(version int, defect Defect) *route.Table {
	timeout := callerTimeout
	if defect == extendedDeadline {
		timeout *= 5
	}
	t := &route.Table{Version: route.Version(version), Services: map[string]route.Service{
		frontService: {Name: frontService}, leafService: {Name: leafService},
	}, Limits: route.Limits{BodyBytes: maxBodyBytes}}
	add := func(name, prefix, service string, idempotent bool, priority int, timeout time.Duration) {
		t.Routes = append(t.Routes, &route.Route{
			Name: name, Host: virtualHost, Prefix: prefix, Idempotent: idempotent, Timeout: timeout, Goal: time.Second,
			Priority: priority, MaxAttempts: 2, Split: []route.WeightedService{{Service: service, Weight: 1}},
		})
	}
	// The upstream that serves a tree request makes a leaf call; see upstream.handle.
	add("tree", "/tree/", frontService, true, 1, timeout)
	add("order", "/order/", frontService, false, 0, callerTimeout)
	add("upload", uploadPath, frontService, false, 3, uploadTimeout)
	add("leaf", "/leaf/", leafService, true, 1, callTimeout)
	for v := 1; v <= version; v++ {
		add(fmt.Sprint("v", v), fmt.Sprint(versionPath, v, "/"), frontService, true, 2, callerTimeout)
	}
	return t
}

const (
	// callerTimeout is the timeout of the callers' requests.
	callerTimeout = 2 * time.Second
	// meanCallerPause is the mean pause of a caller between two requests.
	meanCallerPause = 40 * time.Millisecond
	// abandonRatio is the fraction of idempotent requests whose callers do not wait
	// for the response.
	abandonRatio = 0.02
	// abandonDelay is the time after which these callers close the connection.
	abandonDelay = 5 * time.Millisecond
	// responseGrace is how long after the timeout a caller still waits for a response.
	responseGrace = time.Second
)

// caller sends requests to random ready nodes over persistent connections.
type caller struct {
	runner       *runner
	index        int
	random       *rand.Rand
	requestCount int
	client       *fasthttp.Client
}

// newCaller returns a caller whose client never retries by itself.
func newCaller(r *runner, index int, seed uint64) *caller {
	return &caller{runner: r, index: index, random: rand.New(rand.NewPCG(seed, uint64(index))), client: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, DisablePathNormalizing: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// run sends requests one after the other until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendRequest()
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanCallerPause)))
	}
}

// sendRequest sends one random request to a ready node, if there is one, and records the
// result.
func (c *caller) sendRequest() {
	node := c.runner.randomReadyInstance(c.random)
	if node == nil {
		return
	}
	c.requestCount++
	h := c.runner.history
	r := &request{id: fmt.Sprintf("c%d-%d", c.index, c.requestCount), node: node.index, idempotent: true, timeout: callerTimeout}
	prefix := "/tree/"
	switch c.random.IntN(3) {
	case 0:
		prefix, r.idempotent = "/order/", false
	case 1:
		r.routeVersion = c.runner.currentVersion()
		prefix = fmt.Sprintf("%s%d/", versionPath, r.routeVersion)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + node.address(node.ports.callers) + prefix + r.id)
	req.UseHostHeader = true
	req.Header.SetHost(virtualHost)
	if !r.idempotent {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString("order of " + r.id)
	}
	req.Header.Set(platform.HeaderRequestID, r.id)
	announcedTimeout := callerTimeout
	if c.runner.options.Defect == extendedDeadline {
		announcedTimeout *= 5
	}
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(announcedTimeout.Milliseconds(), 10))
	wait := callerTimeout + responseGrace
	if r.idempotent && c.random.Float64() < abandonRatio {
		wait = abandonDelay
		r.abandonedAfter = abandonDelay
	}
	h.recordRequest(r)
	err := c.client.DoTimeout(req, resp, wait)
	h.update(func() {
		r.endedAt = h.now()
		if err != nil {
			return
		}
		r.status, r.gotBody = resp.StatusCode(), string(resp.Body())
		r.wantBody = responseBody(frontService, r.id)
		r.stamped = len(resp.Header.Peek(platform.HeaderResponseStamp)) > 0
		r.hasRetryAfter = len(resp.Header.Peek(platform.HeaderRetryAfter)) > 0
	})
	if err == nil {
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}
