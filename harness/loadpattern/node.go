package loadpattern

import (
	"hash/fnv"
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/mesh"
)

// startCall starts a request at its entry node. When it ends, done receives the
// last step and whether the request succeeded. parent is the ID of the
// request for which the call is made, empty for a caller's request. timeout is how
// long the sender still waits, 0 for the timeout of the route.
func (n *node) startCall(c *Class, id string, from source, parent string, timeout time.Duration, done func(mesh.Step, bool)) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.Name + from.content))
	request := mesh.IncomingRequest{ID: id, Host: "h", Path: "/" + c.Name + "/", Fingerprint: hash.Sum64(), Sender: from.sender, Parent: parent, Timeout: timeout}
	call, step := n.mesh.StartCall(n.w.now, request)
	n.handleStep(c, call, step, done)
}

// handleStep executes the steps of a call until it ends.
func (n *node) handleStep(c *Class, call *mesh.Call, step mesh.Step, done func(mesh.Step, bool)) {
	if step.Kind != mesh.StepSend {
		done(step, false)
		return
	}
	target, delay := n, time.Duration(0)
	if step.Target.Instance != "" {
		target, delay = n.w.nodesByIP[step.Target.Instance], hopDelay
	}
	n.w.schedule(delay, func() {
		target.submitWork(c, call, func(o mesh.Outcome) {
			n.w.schedule(delay, func() {
				next := n.mesh.EndAttempt(n.w.now, call, o)
				if next.Kind == mesh.StepDeliver {
					done(next, o.Status < 500)
					return
				}
				n.handleStep(c, call, next, done)
			})
		})
	})
}

// submitWork offers a request to n, which refuses it or passes it, at once or
// after queueing, to its upstream. The upstream runs or sheds it. done receives
// the outcome.
func (n *node) submitWork(c *Class, call *mesh.Call, done func(mesh.Outcome)) {
	n.lastWorkID++
	rank := call.Rank
	rank.Age += n.w.now - call.Arrived
	work := mesh.Work{
		ID: n.lastWorkID, RequestID: call.ID, Route: call.RouteID, Rank: rank,
		Deadline: call.Deadline,
	}
	applyDecision := func(d concurrency.Decision) {
		if d != concurrency.Admit {
			n.mesh.WorkRefused(work)
			done(mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonBusy, Load: n.mesh.Load(), LoadKnown: true})
			return
		}
		if n.recordArrival(call, work); n.sheds() && n.w.random.Float64() < n.shedRatio {
			n.mesh.WorkDone(n.w.now, work, 0, mesh.RunShed)
			n.startPendingWork()
			done(mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonShed, ReachedUpstream: true, Load: n.mesh.Load(), LoadKnown: true})
			return
		}
		n.runWork(c, call, work, done)
	}
	if d := n.mesh.OfferWork(n.w.now, work); d != concurrency.Enqueue {
		applyDecision(d)
		return
	}
	n.pendingWork[work.ID] = func(d concurrency.Decision) {
		if d == concurrency.Admit {
			n.mesh.WorkStarted(n.w.now, work)
		}
		applyDecision(d)
	}
}

// sheds reports whether the upstreams of the node's service shed at this time.
func (n *node) sheds() bool {
	return n.w.now >= n.service.ShedStart && (n.service.ShedEnd == 0 || n.w.now < n.service.ShedEnd)
}

// recordArrival records the arrival of a request at the node's own upstream, as a
// first run or as a retry.
func (n *node) recordArrival(call *mesh.Call, work mesh.Work) {
	service := n.service.Name
	if work.Rank.IsRetry || n.w.seenCalls[call.ID] {
		n.w.retries[service] = append(n.w.retries[service], n.w.now)
		return
	}
	n.w.seenCalls[call.ID] = true
	n.w.firstRuns[service] = append(n.w.firstRuns[service], n.w.now)
}

// runWork simulates the upstream's work on a request: half of the working time,
// then the calls made for it, then the other half. The run ends with status 500
// if a call fails and with 504 at the deadline.
func (n *node) runWork(c *Class, call *mesh.Call, work mesh.Work, done func(mesh.Outcome)) {
	startedAt, ended := n.w.now, false
	n.startedRuns = append(n.startedRuns, startedAt)
	end := func(status int) {
		if ended {
			return
		}
		ended = true
		result := mesh.RunSucceeded
		switch status {
		case 500:
			result = mesh.RunFailed
		case 504:
			result = mesh.RunTimedOut
		}
		n.mesh.RecordNotice(n.w.now, n.notice)
		n.mesh.WorkDone(n.w.now, work, n.w.now-startedAt, result)
		n.startPendingWork()
		done(mesh.Outcome{
			Kind: mesh.OutcomeAnswered, ReachedUpstream: true, Status: status, Notice: n.notice, Load: n.mesh.Load(), LoadKnown: true,
		})
	}
	n.w.schedule(max(call.Deadline-n.w.now, 0), func() { end(504) })
	half := n.halfWorkTime(c)
	n.w.schedule(half, func() {
		n.makeCalls(c.Calls, call, func(ok bool) {
			if !ok {
				end(500)
				return
			}
			n.w.schedule(half, func() { end(200) })
		})
	})
}

// halfWorkTime returns half of the working time for one request. The working time
// is uniformly distributed between 0.5 and 1.5 times its mean.
func (n *node) halfWorkTime(c *Class) time.Duration {
	variation := 0.5 + n.w.random.Float64()
	return time.Duration(float64(c.WorkTime) / 2 * variation / n.speed)
}

// makeCalls makes the calls of each group, one group after the other. It stops
// after the first group with a failed call. ok states whether all calls succeeded.
func (n *node) makeCalls(groups []CallGroup, parent *mesh.Call, done func(ok bool)) {
	if len(groups) == 0 {
		done(true)
		return
	}
	first := groups[0]
	next := func(ok bool) {
		if !ok {
			done(false)
			return
		}
		n.makeCalls(groups[1:], parent, done)
	}
	if first.Parallel {
		n.makeParallelCalls(first, parent, next)
		return
	}
	n.makeSequentialCalls(first, first.Count, parent, next)
}

// makeSequentialCalls makes the given number of calls one after the other and stops
// at the first that fails.
func (n *node) makeSequentialCalls(c CallGroup, remaining int, parent *mesh.Call, done func(ok bool)) {
	if remaining == 0 {
		done(true)
		return
	}
	n.makeCall(c.Class, parent, func(ok bool) {
		if !ok {
			done(false)
			return
		}
		n.makeSequentialCalls(c, remaining-1, parent, done)
	})
}

// makeParallelCalls makes all calls of a group at once and waits for all of them.
func (n *node) makeParallelCalls(c CallGroup, parent *mesh.Call, done func(ok bool)) {
	open, allOK := c.Count, true
	for range c.Count {
		n.makeCall(c.Class, parent, func(ok bool) {
			open--
			allOK = allOK && ok
			if open == 0 {
				done(allOK)
			}
		})
	}
}

// makeCall makes one call for parent, with the time left until parent's deadline.
func (n *node) makeCall(class string, parent *mesh.Call, done func(ok bool)) {
	timeout := parent.Deadline - n.w.now
	if timeout <= 0 {
		done(false)
		return
	}
	id := parent.ID + "." + n.w.newID()
	n.startCall(n.w.classes[class], id, source{content: id}, parent.ID, timeout, func(_ mesh.Step, ok bool) { done(ok) })
}

// notifyPending passes the decision on a queued request to its callback.
func (n *node) notifyPending(id uint64, d concurrency.Decision) {
	if applyDecision := n.pendingWork[id]; applyDecision != nil {
		delete(n.pendingWork, id)
		applyDecision(d)
	}
}

// startPendingWork applies the decisions on all queued requests that can now be
// run or refused.
func (n *node) startPendingWork() {
	for id, d, ok := n.mesh.NextWork(n.w.now); ok; id, d, ok = n.mesh.NextWork(n.w.now) {
		n.notifyPending(id, d)
	}
}
