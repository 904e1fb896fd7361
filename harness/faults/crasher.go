package faults

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
)

const (
	// crasherID begins the IDs of a request that crashes each upstream that runs it.
	crasherID = "crasher"
	// crasherPeriod is how long that request is sent, crasherPause the pause after each.
	crasherPeriod = 12 * time.Second
	crasherPause  = 300 * time.Millisecond
	// upstreamDowntime is how long a crashed upstream stays down.
	upstreamDowntime = time.Second
	// maxUpstreamsCrashed is the number of upstreams that such a request may crash before
	// the nodes must have stopped it, maxLateCrashes the number of sends that may still
	// reach one after faultEffectTime.
	maxUpstreamsCrashed = 3
	maxLateCrashes      = 3
)

// sendCrasher sends a request with the same content again and again, at any ready node,
// and starts the upstreams that it crashed again.
func (r *runner) sendCrasher() (wait func()) {
	var sends conc.WaitGroup
	sends.Go(func() {
		random := rand.New(rand.NewPCG(r.options.Seed, 99))
		for i, end := 0, time.Now().Add(crasherPeriod); time.Now().Before(end); i++ {
			if node := r.randomReadyInstance(random); node != nil {
				sends.Go(func() { r.sendLeaf(node, fmt.Sprintf("%s-%d", crasherID, i), crasherID) })
			}
			time.Sleep(crasherPause)
		}
	})
	sends.Go(func() {
		for end := time.Now().Add(crasherPeriod + callTimeout); time.Now().Before(end); time.Sleep(upstreamDowntime) {
			for _, n := range r.instances {
				r.recordError(n.upstream.start())
			}
		}
	})
	return sends.Wait
}

// popularID begins the IDs of a harmless request that many callers send.
const popularID = "popular"

// sendCrasherBesidePopular sends the crasher while popularCallers send one harmless request.
func sendCrasherBesidePopular(r *runner, _ *instance) (wait func()) {
	var sends conc.WaitGroup
	for i := range popularCallers {
		sends.Go(func() {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(1000+i)))
			for n, end := 0, time.Now().Add(crasherPeriod); time.Now().Before(end); n++ {
				if node := r.randomReadyInstance(random); node != nil {
					r.sendLeaf(node, fmt.Sprintf("%s-%d-%d", popularID, i, n), popularID)
				}
				time.Sleep(meanCallerPause)
			}
		})
	}
	crasher := r.sendCrasher()
	return func() {
		crasher()
		sends.Wait()
	}
}

// sendLeaf sends a request with an ID to the path name of the leaf service, and records the
// result.
func (r *runner) sendLeaf(n *instance, id, name string) {
	sent := &request{id: id, node: n.index, idempotent: true, fromUpstream: true, timeout: callTimeout}
	r.history.recordRequest(sent)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + n.address(n.ports.callers) + "/leaf/" + name)
	req.UseHostHeader = true
	req.Header.SetHost(virtualHost)
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	err := fasthttp.DoTimeout(req, resp, callTimeout+responseGrace)
	r.history.update(func() {
		sent.endedAt = r.history.now()
		if err == nil {
			sent.status = resp.StatusCode()
			sent.gotBody, sent.wantBody = string(resp.Body()), responseBody(leafService, id)
			sent.stamped = len(resp.Header.Peek(platform.HeaderResponseStamp)) > 0
			sent.hasRetryAfter = len(resp.Header.Peek(platform.HeaderRetryAfter)) > 0
		}
	})
	if err == nil {
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}

// findPopularNotServed reports if too few of the harmless requests beside the crasher were
// served. Those whose node had a fault of its own shortly before do not count.
func findPopularNotServed(h *history) (violations []string) {
	sent, served := 0, 0
	for _, r := range h.requests {
		if !strings.HasPrefix(r.id, popularID) || h.nodeHadFault(r.sentAt-faultEffectTime, r.endedAt, r.node) {
			continue
		}
		sent++
		if r.status == fasthttp.StatusOK {
			served++
		}
	}
	if float64(served) < minServedRatio*float64(sent) {
		violations = append(violations, fmt.Sprintf("%d of %d harmless requests beside the crasher served, want a fraction of %v", served, sent, minServedRatio))
	}
	return violations
}

// findCrashersNotStopped finds requests that still reach upstreams long after they crashed
// enough of them to be recognised. Sends from nodes that had a fault of their own shortly
// before do not count.
func findCrashersNotStopped(h *history) (violations []string) {
	var crashes []arrival
	for _, a := range h.arrivals {
		if strings.HasPrefix(a.id, crasherID) {
			crashes = append(crashes, a)
		}
	}
	late := 0
	for i, a := range crashes {
		if i < maxUpstreamsCrashed || a.arrivedAt < crashes[maxUpstreamsCrashed-1].arrivedAt+faultEffectTime {
			continue
		}
		if sent := h.requests[a.id]; !h.nodeHadFault(a.arrivedAt-faultEffectTime, a.arrivedAt, sent.node) {
			late++
		}
	}
	if late > maxLateCrashes {
		violations = append(violations, fmt.Sprintf("the request crashed %d upstreams, %d of them too late", len(crashes), late))
	}
	return violations
}

// nodeHadFault returns whether a fault was active on one instance between two times.
func (h *history) nodeHadFault(from, to time.Duration, instance int) bool {
	for _, f := range h.faults {
		if f.instance == instance && f.from <= to && (f.to == 0 || f.to >= from) {
			return true
		}
	}
	return false
}
