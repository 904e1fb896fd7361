package sim

import (
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
)

// Shape is what one upstream can do.
type Shape struct {
	// Slots is the number of requests it works on at once; more wait inside it.
	Slots int
	// Time is the mean time it works on a request itself.
	Time time.Duration
}

type job struct {
	attempt engine.AttemptID
	request *engine.Request
	wait    time.Duration
	started time.Duration
	calls   []string
	open    int
	done    bool
}

// Upstream is a fake service instance: it works for a while, calls what its
// route names, one after the other or all at once, and answers.
type Upstream struct {
	Shape Shape
	// Slow multiplies its working time.
	Slow float64

	h       *Host
	busy    int
	waiting []*job
	jobs    map[engine.AttemptID]*job
	epoch   int
}

func newUpstream(h *Host, shape Shape) *Upstream {
	return &Upstream{Shape: shape, Slow: 1, h: h, jobs: map[engine.AttemptID]*job{}}
}

// Epoch counts the crashes.
func (u *Upstream) Epoch() int { return u.epoch }

func (u *Upstream) reset() {
	u.epoch++
	u.busy, u.waiting, u.jobs = 0, nil, map[engine.AttemptID]*job{}
}

// Dispatch takes a request.
func (u *Upstream) Dispatch(a *engine.Dispatch) {
	j := &job{attempt: a.Attempt, request: a.Request, wait: a.Wait}
	u.jobs[a.Attempt] = j
	u.waiting = append(u.waiting, j)
	u.startNext()
}

// Cancel drops a request, whether it works on it or not.
func (u *Upstream) Cancel(id engine.AttemptID) {
	if j := u.jobs[id]; j != nil {
		u.finish(j, false)
	}
}

func (u *Upstream) startNext() {
	for u.busy < u.Shape.Slots && len(u.waiting) > 0 {
		j := u.waiting[0]
		u.waiting = u.waiting[1:]
		if !j.done {
			u.start(j)
		}
	}
}

func (u *Upstream) start(j *job) {
	u.busy++
	j.started = u.h.w.now
	u.h.w.Stats.ran(j.request)
	if u.h.w.OnRun != nil {
		u.h.w.OnRun(u.h, j.request)
	}
	if service := u.h.w.Doc.Service(u.h.service); service != nil {
		if route := service.Resolve(j.request.Method, j.request.Path); route != nil {
			j.calls = route.Calls
		}
	}
	work := u.h.w.jitter(time.Duration(float64(u.Shape.Time) * u.Slow))
	u.later(work, func() { u.callNext(j) })
}

// later runs do unless the upstream has been reset meanwhile.
func (u *Upstream) later(d time.Duration, do func()) {
	epoch := u.epoch
	u.h.w.After(d, func() {
		if u.epoch == epoch {
			do()
		}
	})
}

func (u *Upstream) callNext(j *job) {
	if j.done {
		return
	}
	if len(j.calls) == 0 {
		u.answer(j, engine.OutcomeAnswered, 200)
		return
	}
	now := 1
	if u.h.w.setup.Parallel {
		now = len(j.calls)
	}
	next := j.calls[:now]
	j.calls = j.calls[now:]
	j.open = now
	for _, name := range next {
		u.call(j, name)
	}
}

func (u *Upstream) call(j *job, next string) {
	epoch := u.epoch
	u.h.Call(&engine.CallArrived{
		Origin: engine.OriginUpstream, Request: u.h.w.requestFor(next, j.request), Parent: j.attempt,
	}, func(r engine.Reply) {
		if u.epoch != epoch {
			return
		}
		if r.Outcome != engine.OutcomeAnswered {
			u.answer(j, engine.OutcomeUpstreamError, 502)
			return
		}
		if j.open--; j.open == 0 {
			u.callNext(j)
		}
	})
}

func (u *Upstream) answer(j *job, o engine.Outcome, status int) {
	if j.done {
		return
	}
	u.finish(j, o == engine.OutcomeAnswered)
	u.h.Step(&engine.AttemptAnswered{Attempt: j.attempt, Reply: engine.Reply{
		Outcome: o, Answer: &engine.Answer{Status: status, Body: j.request.Body},
	}})
}

func (u *Upstream) finish(j *job, ok bool) {
	j.done = true
	delete(u.jobs, j.attempt)
	if j.started == 0 {
		return
	}
	u.busy--
	u.h.w.Stats.worked(j.request.Key, u.h.w.now-j.started, ok)
	u.startNext()
}
