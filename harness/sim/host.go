package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Host is one instance: a node and its upstream.
type Host struct {
	Node     *engine.Node
	Upstream *Upstream
	Target   string

	w           *World
	service     string
	centre      string
	incarnation uint64
	alive       bool
	paused      bool
	backlog     []engine.Event
	nextCall    engine.CallID
	waiting     map[engine.CallID]func(engine.Reply)
	// remote holds the sends whose connections are open, runs the requests that
	// other nodes sent here to be run.
	remote map[engine.AttemptID]*Host
	runs   map[*engine.Request]bool
}

func newHost(w *World, service, target, centre string) *Host {
	h := &Host{w: w, service: service, Target: target, centre: centre}
	h.Upstream = newUpstream(h, w.setup.Shape[service])
	return h
}

// Start runs a new incarnation of the node; it remembers nothing.
func (h *Host) Start() {
	h.incarnation++
	h.markLeaving(false)
	h.alive, h.paused, h.backlog = true, false, nil
	h.waiting = map[engine.CallID]func(engine.Reply){}
	h.remote = map[engine.AttemptID]*Host{}
	h.runs = map[*engine.Request]bool{}
	cfg := engine.Config{
		Self:    wire.NodeID{Target: h.Target, Incarnation: h.incarnation},
		Service: h.service, DataCentre: h.centre,
		Seed:      h.w.Random.Uint64(),
		Policy:    engine.Full(),
		Admission: admission.Config{Initial: 20, Min: 1, Max: 2000, MaxQueue: 2000},
		MaxCalls:  20000,
		AskPeers:  spread.DefaultAsk,
	}
	if h.w.setup.Configure != nil {
		h.w.setup.Configure(&cfg)
	}
	h.Node = engine.New(cfg, h.w.now)
	h.tick(h.incarnation)
}

// DataCentre returns where the instance stands.
func (h *Host) DataCentre() string { return h.centre }

// Alive tells whether the node runs, paused or not.
func (h *Host) Alive() bool { return h.alive }

// Kill ends the node and its upstream at once.
func (h *Host) Kill() {
	h.alive = false
	h.Upstream.reset()
	for _, other := range h.w.Hosts {
		h.w.After(centreDelay, func() { other.linkTo(h, false) })
		other.breakSends(h)
	}
}

// breakSends fails the sends to a node that died.
func (h *Host) breakSends(to *Host) {
	incarnation := h.incarnation
	for _, id := range slices.Sorted(maps.Keys(h.remote)) {
		if h.remote[id] == to {
			delete(h.remote, id)
			h.w.After(centreDelay, func() {
				h.stepAs(incarnation, &engine.AttemptFailed{Attempt: id, Cause: engine.FailureLost})
			})
		}
	}
}

// Pause stops the node; what reaches it waits until Resume.
func (h *Host) Pause() { h.paused = true }

// Resume lets a paused node go on.
func (h *Host) Resume() {
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	for _, ev := range backlog {
		h.Step(ev)
	}
}

// Crash ends the upstream; a new one takes its place at once.
func (h *Host) Crash() {
	h.Upstream.reset()
	h.Step(&engine.UpstreamCrashed{})
}

// Stop asks the node to stop gracefully.
func (h *Host) Stop() {
	h.markLeaving(true)
	h.Step(&engine.StopRequested{})
}

func (h *Host) markLeaving(leaving bool) {
	h.w.After(h.w.ListLag, func() {
		list := slices.Clone(h.w.members)
		for i := range list {
			if list[i].Target == h.Target {
				list[i].Leaving = leaving
			}
		}
		h.w.members = list
	})
}

// Open returns the number of calls the node has not answered yet.
func (h *Host) Open() int { return len(h.waiting) }

// Paused tells whether the node is paused.
func (h *Host) Paused() bool { return h.paused }

// Service returns the name of the service the node stands for.
func (h *Host) Service() string { return h.service }

// Incarnation counts the starts of the node.
func (h *Host) Incarnation() uint64 { return h.incarnation }

func (h *Host) tick(incarnation uint64) {
	if !h.alive || h.incarnation != incarnation {
		return
	}
	if !h.paused {
		h.Step(&engine.Tick{})
	}
	h.w.After(engine.TickInterval, func() { h.tick(incarnation) })
}

// Call hands the node a request; done gets its one reply.
func (h *Host) Call(ev *engine.CallArrived, done func(engine.Reply)) engine.CallID {
	h.nextCall++
	ev.ID = h.nextCall
	h.waiting[ev.ID] = done
	h.Step(ev)
	return ev.ID
}

// Step gives the node one event and carries out what it asks for.
func (h *Host) Step(ev engine.Event) {
	if !h.alive {
		return
	}
	if h.paused {
		h.backlog = append(h.backlog, ev)
		return
	}
	h.w.Stats.Steps++
	actions := append([]engine.Action(nil), h.Node.Step(h.w.now, ev)...)
	for _, a := range actions {
		if h.w.OnAction != nil {
			h.w.OnAction(h, a)
		}
		h.carryOut(a)
	}
}

func (h *Host) carryOut(action engine.Action) {
	switch a := action.(type) {
	case *engine.Dispatch:
		if !h.runs[a.Request] {
			h.w.Stats.Attempts.Attempted(a.Request.Key)
		}
		h.Upstream.Dispatch(a)
	case *engine.SendCall:
		if a.Stage == engine.StageRun {
			h.w.Stats.Attempts.Attempted(a.Request.Key)
		}
		h.send(a)
	case *engine.ReplyCall:
		h.reply(a)
	case *engine.CancelAttempt:
		h.cancel(a)
	case *engine.SendFrame:
		h.sendFrame(a)
	case *engine.OpenLink:
		h.openLink(a.Target)
	case *engine.ReadPlatform:
		h.read(a.Resource)
	case *engine.Stopped:
		h.w.Stats.Cut += len(h.waiting) + len(h.Upstream.jobs)
		h.Kill()
	}
}

func (h *Host) reply(a *engine.ReplyCall) {
	done := h.waiting[a.ID]
	delete(h.waiting, a.ID)
	if done != nil {
		done(a.Reply)
	}
}

func (h *Host) send(a *engine.SendCall) {
	to, incarnation := h.w.byName[a.Target], h.incarnation
	fail := func(cause engine.FailureCause) func() {
		return func() { h.stepAs(incarnation, &engine.AttemptFailed{Attempt: a.Attempt, Cause: cause}) }
	}
	request := *a.Request
	ev := &engine.CallArrived{
		Origin: engine.OriginPeer, Request: &request, Wait: a.Wait, Stage: a.Stage,
		Class: a.Class, Priority: a.Priority, Tokens: a.Tokens, Depth: a.Depth, Send: a.Send,
		Rerun: a.Rerun, Heard: a.Heard,
	}
	copies := 0
	h.w.deliver(h, to, func() {
		copies++
		if !to.alive {
			// Only the sender's own connection can tell that nothing was sent.
			if copies == 1 {
				h.w.deliver(to, h, fail(engine.FailureNotSent), func() {})
			}
			return
		}
		target, copied := to.incarnation, *ev
		to.runs[&request] = a.Stage == engine.StageRun
		if copies == 1 {
			h.remote[a.Attempt] = to
		}
		to.Call(&copied, func(r engine.Reply) {
			if to.incarnation != target {
				return
			}
			delete(h.remote, a.Attempt)
			delete(to.runs, &request)
			h.w.deliver(to, h, func() {
				h.stepAs(incarnation, &engine.AttemptAnswered{Attempt: a.Attempt, Reply: r})
			}, fail(engine.FailureLost))
		})
	}, fail(engine.FailureLost))
}

// stepAs gives the event to the incarnation it is meant for, if that still runs.
func (h *Host) stepAs(incarnation uint64, ev engine.Event) {
	if h.incarnation == incarnation {
		h.Step(ev)
	}
}

func (h *Host) cancel(a *engine.CancelAttempt) {
	delete(h.remote, a.Attempt)
	h.Upstream.Cancel(a.Attempt)
}

func (h *Host) sendFrame(a *engine.SendFrame) {
	to := h.w.byName[a.To.Target]
	from := wire.NodeID{Target: h.Target, Incarnation: h.incarnation}
	h.w.deliver(h, to, func() {
		if to.incarnation == a.To.Incarnation {
			to.Step(&engine.FrameReceived{From: from, Frame: a.Frame})
		}
	}, func() {})
}

func (h *Host) openLink(target string) {
	to := h.w.byName[target]
	if !to.alive || h.w.Cut(h.centre, to.centre) {
		return
	}
	h.w.After(2*centreDelay, func() {
		h.linkTo(to, true)
		to.linkTo(h, true)
	})
}

func (h *Host) linkTo(to *Host, up bool) {
	id := wire.NodeID{Target: to.Target, Incarnation: to.incarnation}
	h.Step(&engine.LinkChanged{Peer: id, Up: up && to.alive})
}

func (h *Host) read(r engine.Resource) {
	incarnation := h.incarnation
	if h.w.PlatformAway {
		return
	}
	h.w.After(2*time.Millisecond, func() {
		if r == engine.ResourceMembers {
			h.stepAs(incarnation, &engine.MembersSeen{List: h.w.members})
		} else if text := h.w.Published(h); text != nil {
			h.stepAs(incarnation, &engine.DocumentSeen{Text: text})
		}
	})
}
