package sim

import (
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
)

// UpstreamConfig describes the capacity of one upstream.
type UpstreamConfig struct {
	// Slots is the number of requests that the upstream runs concurrently. It
	// queues further requests.
	Slots int
	// WorkTime is the mean working time per request, without the time of its calls.
	WorkTime time.Duration
}

// job is a request at an upstream.
type job struct {
	attempt engine.AttemptID
	request *engine.Request
	timeout time.Duration
	// started is the time at which the run began, 0 while the request is queued.
	started time.Duration
	// remainingCalls holds the routes that are still to be called.
	remainingCalls []string
	openCalls      int
	done           bool
}

// Upstream simulates a service instance. For each request it works for some time,
// calls the callees of the route, one after the other or all at once, and answers.
type Upstream struct {
	Config UpstreamConfig
	// SlowFactor multiplies the working time.
	SlowFactor float64

	host      *Host
	usedSlots int
	queue     []*job
	jobs      map[engine.AttemptID]*job
	restarts  int
}

func newUpstream(h *Host, config UpstreamConfig) *Upstream {
	return &Upstream{Config: config, SlowFactor: 1, host: h, jobs: map[engine.AttemptID]*job{}}
}

// Restarts returns how often the upstream was restarted, by Host.CrashUpstream or
// Host.Kill.
func (u *Upstream) Restarts() int { return u.restarts }

// reset restarts the upstream without any requests.
func (u *Upstream) reset() {
	u.restarts++
	u.usedSlots, u.queue, u.jobs = 0, nil, map[engine.AttemptID]*job{}
}

// Dispatch queues a request and starts it as soon as a slot is free.
func (u *Upstream) Dispatch(a *engine.Dispatch) {
	j := &job{attempt: a.Attempt, request: a.Request, timeout: a.Timeout}
	u.jobs[a.Attempt] = j
	u.queue = append(u.queue, j)
	u.startNext()
}

// Cancel drops a request, whether it is queued or running.
func (u *Upstream) Cancel(id engine.AttemptID) {
	if j := u.jobs[id]; j != nil {
		u.finish(j, false)
	}
}

func (u *Upstream) startNext() {
	for u.usedSlots < u.Config.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		if !j.done {
			u.start(j)
		}
	}
}

func (u *Upstream) start(j *job) {
	u.usedSlots++
	j.started = u.host.w.now
	u.host.w.Stats.recordRun(j.request)
	if u.host.w.OnRun != nil {
		u.host.w.OnRun(u.host, j.request)
	}
	if service := u.host.w.Document.Service(u.host.service); service != nil {
		if route := service.MatchRoute(j.request.Method, j.request.Path); route != nil {
			j.remainingCalls = route.Callees
		}
	}
	work := u.host.w.exponentialTime(time.Duration(float64(u.Config.WorkTime) * u.SlowFactor))
	u.after(work, func() { u.makeNextCalls(j) })
}

// after runs action after the virtual time d, unless the upstream is restarted
// before.
func (u *Upstream) after(d time.Duration, action func()) {
	restarts := u.restarts
	u.host.w.After(d, func() {
		if u.restarts == restarts {
			action()
		}
	})
}

// makeNextCalls makes the next call of a job, or all calls if the simulation has
// parallel calls. Without remaining calls it answers the request.
func (u *Upstream) makeNextCalls(j *job) {
	if j.done {
		return
	}
	if len(j.remainingCalls) == 0 {
		u.answer(j, engine.OutcomeAnswered, 200)
		return
	}
	count := 1
	if u.host.w.config.ParallelCalls {
		count = len(j.remainingCalls)
	}
	next := j.remainingCalls[:count]
	j.remainingCalls = j.remainingCalls[count:]
	j.openCalls = count
	for _, name := range next {
		u.makeCall(j, name)
	}
}

// makeCall calls a route through the node of the upstream. A call that is not
// answered fails the job.
func (u *Upstream) makeCall(j *job, routeName string) {
	restarts := u.restarts
	u.host.Call(&engine.CallArrived{
		Origin: engine.OriginUpstream, Request: u.host.w.childRequest(routeName, j.request), Parent: j.attempt,
	}, func(r engine.Reply) {
		if u.restarts != restarts {
			return
		}
		if r.Outcome != engine.OutcomeAnswered {
			u.answer(j, engine.OutcomeUpstreamError, 502)
			return
		}
		if j.openCalls--; j.openCalls == 0 {
			u.makeNextCalls(j)
		}
	})
}

// answer ends a job and passes its reply to the node.
func (u *Upstream) answer(j *job, o engine.Outcome, status int) {
	if j.done {
		return
	}
	u.finish(j, o == engine.OutcomeAnswered)
	u.host.Step(&engine.AttemptAnswered{Attempt: j.attempt, Reply: engine.Reply{
		Outcome: o, Response: &engine.Response{Status: status, Body: j.request.Body},
	}})
}

// finish removes a job, records how long it held its slot and starts the next one.
func (u *Upstream) finish(j *job, ok bool) {
	j.done = true
	delete(u.jobs, j.attempt)
	if j.started == 0 {
		return
	}
	u.usedSlots--
	u.host.w.Stats.recordWork(j.request.Key, u.host.w.now-j.started, ok)
	u.startNext()
}
