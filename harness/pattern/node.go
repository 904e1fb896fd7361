package pattern

import (
	"hash/fnv"
	"time"

	"github.com/shallotspool/shallotspool/core/guard"
	"github.com/shallotspool/shallotspool/core/mesh"
)

// call takes a request where it enters and tells done how it ended. parent is
// the id of the request it is made for, wait what the sender still waits.
func (n *node) call(c *Class, id, path, parent string, wait time.Duration, done func(mesh.Step, bool)) {
	print := fnv.New64a()
	_, _ = print.Write([]byte(c.Name + path))
	a := mesh.Arrival{ID: id, Host: "h", Path: "/" + c.Name + "/", Print: print.Sum64(), Parent: parent, Wait: wait}
	call, step := n.mesh.Arrive(n.w.now, a)
	n.follow(c, call, step, done)
}

// follow carries the steps of a call out until it ends.
func (n *node) follow(c *Class, call *mesh.Call, step mesh.Step, done func(mesh.Step, bool)) {
	if step.Kind != mesh.StepSend {
		done(step, false)
		return
	}
	target, delay := n, time.Duration(0)
	if step.Target.Instance != "" {
		target, delay = n.w.byIP[step.Target.Instance], hop
	}
	n.w.after(delay, func() {
		target.work(c, call, func(o mesh.Outcome) {
			n.w.after(delay, func() {
				next := n.mesh.Ended(n.w.now, call, o)
				if next.Kind == mesh.StepDeliver {
					done(next, o.Status < 500)
					return
				}
				n.follow(c, call, next, done)
			})
		})
	})
}

// work has the own upstream run a request once there is room.
func (n *node) work(c *Class, call *mesh.Call, done func(mesh.Outcome)) {
	n.nextJob++
	rank := call.Rank
	rank.Age += n.w.now - call.Arrived
	job := mesh.Work{
		ID: n.nextJob, Name: call.ID, Route: call.RouteID, Rank: rank,
		Deadline: call.Deadline,
	}
	decided := func(d guard.Decision) {
		if d != guard.Run {
			n.mesh.WorkRefused(job)
			done(mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonBusy, Load: n.mesh.Load(), Known: true})
			return
		}
		if n.arrives(call, job); n.w.now >= n.service.ShedFrom && n.w.random.Float64() < n.shed {
			n.mesh.WorkDone(n.w.now, job, 0, mesh.RunTurnedAway)
			n.drain()
			done(mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonShed, Reached: true, Load: n.mesh.Load(), Known: true})
			return
		}
		n.run(c, call, job, done)
	}
	if d := n.mesh.Offer(n.w.now, job); d != guard.Wait {
		decided(d)
		return
	}
	n.waiting[job.ID] = func(d guard.Decision) {
		if d == guard.Run {
			n.mesh.WorkBegan(n.w.now, job)
		}
		decided(d)
	}
}

// arrives counts an arrival at the own upstream.
func (n *node) arrives(call *mesh.Call, job mesh.Work) {
	service := n.service.Name
	if job.Rank.Rerun || n.w.arrived[call.ID] {
		n.w.repeats[service] = append(n.w.repeats[service], n.w.now)
		return
	}
	n.w.arrived[call.ID] = true
	n.w.firsts[service] = append(n.w.firsts[service], n.w.now)
}

// run works on a request: half of its work, its calls, the other half.
func (n *node) run(c *Class, call *mesh.Call, job mesh.Work, done func(mesh.Outcome)) {
	began, ended := n.w.now, false
	end := func(status int) {
		if ended {
			return
		}
		ended = true
		how := mesh.RunSucceeded
		switch status {
		case 500:
			how = mesh.RunFailed
		case 504:
			how = mesh.RunExpired
		}
		n.mesh.WorkDone(n.w.now, job, n.w.now-began, how)
		n.drain()
		done(mesh.Outcome{Kind: mesh.Answered, Reached: true, Status: status, Load: n.mesh.Load(), Known: true})
	}
	n.w.after(max(call.Deadline-n.w.now, 0), func() { end(504) })
	half := n.half(c)
	n.w.after(half, func() {
		n.calls(c.Calls, call, func(ok bool) {
			if !ok {
				end(500)
				return
			}
			n.w.after(half, func() { end(200) })
		})
	})
}

// half is half of the work of one request: of its mean, give or take a half.
func (n *node) half(c *Class) time.Duration {
	spread := 0.5 + n.w.random.Float64()
	return time.Duration(float64(c.Work) / 2 * spread / n.speed)
}

// calls makes the calls of each entry in turn; ok tells whether all succeeded.
func (n *node) calls(list []Calls, parent *mesh.Call, done func(ok bool)) {
	if len(list) == 0 {
		done(true)
		return
	}
	first := list[0]
	rest := func(ok bool) {
		if !ok {
			done(false)
			return
		}
		n.calls(list[1:], parent, done)
	}
	if first.Together {
		n.together(first, parent, rest)
		return
	}
	n.inTurn(first, first.Times, parent, rest)
}

func (n *node) inTurn(c Calls, times int, parent *mesh.Call, done func(ok bool)) {
	if times == 0 {
		done(true)
		return
	}
	n.child(c.Class, parent, func(ok bool) {
		if !ok {
			done(false)
			return
		}
		n.inTurn(c, times-1, parent, done)
	})
}

func (n *node) together(c Calls, parent *mesh.Call, done func(ok bool)) {
	open, all := c.Times, true
	for range c.Times {
		n.child(c.Class, parent, func(ok bool) {
			open--
			all = all && ok
			if open == 0 {
				done(all)
			}
		})
	}
}

func (n *node) child(class string, parent *mesh.Call, done func(ok bool)) {
	left := parent.Deadline - n.w.now
	if left <= 0 {
		done(false)
		return
	}
	id := parent.ID + "." + n.w.id()
	n.call(n.w.classes[class], id, id, parent.ID, left, func(_ mesh.Step, ok bool) { done(ok) })
}

func (n *node) tell(id uint64, d guard.Decision) {
	if decided := n.waiting[id]; decided != nil {
		delete(n.waiting, id)
		decided(d)
	}
}

// drain starts what there is room for.
func (n *node) drain() {
	for id, d, ok := n.mesh.NextWork(n.w.now); ok; id, d, ok = n.mesh.NextWork(n.w.now) {
		n.tell(id, d)
	}
}
