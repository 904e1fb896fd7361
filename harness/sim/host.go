package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Host is one instance: a node and its upstream.
type Host struct {
	Node     *engine.Node
	Upstream *Upstream
	Target   string

	w             *World
	service       string
	dataCentre    string
	incarnation   uint64
	alive         bool
	paused        bool
	pausedEvents  []engine.Event
	nextCall      engine.CallID
	replyHandlers map[engine.CallID]func(engine.Reply)
	// openSends holds the receivers of the sends to other nodes that have no reply
	// yet.
	openSends map[engine.AttemptID]*Host
	// forwardedRuns holds the open requests from other nodes, with true for those
	// that the upstream of this host is to run. The sender has counted the attempts
	// of these.
	forwardedRuns map[*engine.Request]bool
}

func newHost(w *World, service, target, dataCentre string) *Host {
	h := &Host{w: w, service: service, Target: target, dataCentre: dataCentre}
	h.Upstream = newUpstream(h, w.config.Upstreams[service])
	return h
}

// Start starts a new incarnation of the node, without any earlier state.
func (h *Host) Start() {
	h.incarnation++
	h.setLeaving(false)
	h.alive, h.paused, h.pausedEvents = true, false, nil
	h.replyHandlers = map[engine.CallID]func(engine.Reply){}
	h.openSends = map[engine.AttemptID]*Host{}
	h.forwardedRuns = map[*engine.Request]bool{}
	cfg := engine.Config{
		Self:    wire.NodeID{Target: h.Target, Incarnation: h.incarnation},
		Service: h.service, DataCentre: h.dataCentre,
		Seed:             h.w.Random.Uint64(),
		Policy:           engine.FullPolicy(),
		Admission:        admission.Config{Initial: 20, Min: 1, Max: 2000, MaxQueue: 2000},
		MaxCalls:         20000,
		PeerQueryTimeout: replication.DefaultPeerQueryTimeout,
	}
	if h.w.config.ConfigureNode != nil {
		h.w.config.ConfigureNode(&cfg)
	}
	h.Node = engine.New(cfg, h.w.now)
	h.tick(h.incarnation)
}

// DataCentre returns the data centre of the instance.
func (h *Host) DataCentre() string { return h.dataCentre }

// Alive tells whether the node is running; a paused node counts as running.
func (h *Host) Alive() bool { return h.alive }

// Kill terminates the node and its upstream immediately.
func (h *Host) Kill() {
	h.alive = false
	h.Upstream.reset()
	for _, other := range h.w.Hosts {
		h.w.After(crossCentreDelay, func() { other.setLink(h, false) })
		other.failSendsTo(h)
	}
}

// failSendsTo fails the open sends to a node that was killed.
func (h *Host) failSendsTo(to *Host) {
	incarnation := h.incarnation
	for _, id := range slices.Sorted(maps.Keys(h.openSends)) {
		if h.openSends[id] == to {
			delete(h.openSends, id)
			h.w.After(crossCentreDelay, func() {
				h.stepIncarnation(incarnation, &engine.AttemptFailed{Attempt: id, Cause: engine.FailureLost})
			})
		}
	}
}

// Pause suspends the node. Its events are queued until Resume.
func (h *Host) Pause() { h.paused = true }

// Resume continues a paused node, which first processes the queued events.
func (h *Host) Resume() {
	h.paused = false
	events := h.pausedEvents
	h.pausedEvents = nil
	for _, ev := range events {
		h.Step(ev)
	}
}

// CrashUpstream restarts the upstream, which loses its open requests. The node
// keeps running.
func (h *Host) CrashUpstream() {
	h.Upstream.reset()
	h.Step(&engine.UpstreamCrashed{})
}

// Stop marks the instance as leaving and asks the node to stop gracefully.
func (h *Host) Stop() {
	h.setLeaving(true)
	h.Step(&engine.StopRequested{})
}

// setLeaving updates the instance in the platform's member list after
// MemberListDelay.
func (h *Host) setLeaving(leaving bool) {
	h.w.After(h.w.MemberListDelay, func() {
		list := slices.Clone(h.w.members)
		for i := range list {
			if list[i].Target == h.Target {
				list[i].Leaving = leaving
			}
		}
		h.w.members = list
	})
}

// OpenCalls returns the number of calls that the node has not replied to yet.
func (h *Host) OpenCalls() int { return len(h.replyHandlers) }

// Paused tells whether the node is paused.
func (h *Host) Paused() bool { return h.paused }

// Service returns the name of the service of the instance.
func (h *Host) Service() string { return h.service }

// Incarnation returns how often the node was started.
func (h *Host) Incarnation() uint64 { return h.incarnation }

// tick sends periodic Tick events to one incarnation of the node.
func (h *Host) tick(incarnation uint64) {
	if !h.alive || h.incarnation != incarnation {
		return
	}
	if !h.paused {
		h.Step(&engine.Tick{})
	}
	h.w.After(engine.TickInterval, func() { h.tick(incarnation) })
}

// Call passes a request to the node. done receives its reply, exactly once unless
// the node is killed first.
func (h *Host) Call(ev *engine.CallArrived, done func(engine.Reply)) engine.CallID {
	h.nextCall++
	ev.ID = h.nextCall
	h.replyHandlers[ev.ID] = done
	h.Step(ev)
	return ev.ID
}

// Step passes an event to the node and executes the actions that it returns. A
// paused node queues the event, a killed one drops it.
func (h *Host) Step(ev engine.Event) {
	if !h.alive {
		return
	}
	if h.paused {
		h.pausedEvents = append(h.pausedEvents, ev)
		return
	}
	h.w.Stats.NodeEvents++
	actions := append([]engine.Action(nil), h.Node.Step(h.w.now, ev)...)
	for _, a := range actions {
		if h.w.OnAction != nil {
			h.w.OnAction(h, a)
		}
		h.execute(a)
	}
}

func (h *Host) execute(action engine.Action) {
	switch a := action.(type) {
	case *engine.Dispatch:
		if !h.forwardedRuns[a.Request] {
			h.w.Stats.Attempts.RecordAttempt(a.Request.Key)
		}
		h.Upstream.Dispatch(a)
	case *engine.SendCall:
		if a.Stage == engine.StageRun {
			h.w.Stats.Attempts.RecordAttempt(a.Request.Key)
		}
		h.sendCall(a)
	case *engine.ReplyCall:
		h.completeCall(a)
	case *engine.CancelAttempt:
		h.cancelAttempt(a)
	case *engine.SendFrame:
		h.sendFrame(a)
	case *engine.OpenLink:
		h.openLink(a.Target)
	case *engine.ReadPlatform:
		h.readPlatform(a.Resource)
	case *engine.Stopped:
		h.w.Stats.CutInFlight += len(h.replyHandlers) + len(h.Upstream.jobs)
		h.Kill()
	}
}

func (h *Host) completeCall(a *engine.ReplyCall) {
	done := h.replyHandlers[a.ID]
	delete(h.replyHandlers, a.ID)
	if done != nil {
		done(a.Reply)
	}
}

// sendCall delivers a call to another node and its reply to this one. The network
// may lose or duplicate either of them.
func (h *Host) sendCall(a *engine.SendCall) {
	to, incarnation := h.w.hostsByTarget[a.Target], h.incarnation
	fail := func(cause engine.FailureCause) func() {
		return func() { h.stepIncarnation(incarnation, &engine.AttemptFailed{Attempt: a.Attempt, Cause: cause}) }
	}
	request := *a.Request
	ev := &engine.CallArrived{
		Origin: engine.OriginPeer, Request: &request, Timeout: a.Timeout, Stage: a.Stage,
		Class: a.Class, Priority: a.Priority, RetryTokens: a.RetryTokens, Depth: a.Depth, Send: a.Send,
		Rerun: a.Rerun, ReceiverStamp: a.ReceiverStamp,
	}
	deliveries := 0
	h.w.deliver(h, to, func() {
		deliveries++
		if !to.alive {
			// Only the first delivery uses the sender's connection, which tells the
			// sender that the call was not sent.
			if deliveries == 1 {
				h.w.deliver(to, h, fail(engine.FailureNotSent), func() {})
			}
			return
		}
		toIncarnation, copied := to.incarnation, *ev
		to.forwardedRuns[&request] = a.Stage == engine.StageRun
		if deliveries == 1 {
			h.openSends[a.Attempt] = to
		}
		to.Call(&copied, func(r engine.Reply) {
			if to.incarnation != toIncarnation {
				return
			}
			delete(h.openSends, a.Attempt)
			delete(to.forwardedRuns, &request)
			h.w.deliver(to, h, func() {
				h.stepIncarnation(incarnation, &engine.AttemptAnswered{Attempt: a.Attempt, Reply: r})
			}, fail(engine.FailureLost))
		})
	}, fail(engine.FailureLost))
}

// stepIncarnation passes an event to the node if it is still the given incarnation.
func (h *Host) stepIncarnation(incarnation uint64, ev engine.Event) {
	if h.incarnation == incarnation {
		h.Step(ev)
	}
}

// cancelAttempt cancels an attempt at the upstream of this host, or drops a send to
// another node. The other node is not told.
func (h *Host) cancelAttempt(a *engine.CancelAttempt) {
	delete(h.openSends, a.Attempt)
	h.Upstream.Cancel(a.Attempt)
}

func (h *Host) sendFrame(a *engine.SendFrame) {
	to := h.w.hostsByTarget[a.To.Target]
	from := wire.NodeID{Target: h.Target, Incarnation: h.incarnation}
	h.w.deliver(h, to, func() {
		if to.incarnation == a.To.Incarnation {
			to.Step(&engine.FrameReceived{From: from, Frame: a.Frame})
		}
	}, func() {})
}

// openLink connects this node with another one, unless that is down or the network
// between them is partitioned.
func (h *Host) openLink(target string) {
	to := h.w.hostsByTarget[target]
	if !to.alive || h.w.Disconnected(h.dataCentre, to.dataCentre) {
		return
	}
	h.w.After(2*crossCentreDelay, func() {
		h.setLink(to, true)
		to.setLink(h, true)
	})
}

// setLink tells the node that its link to another node is up or down.
func (h *Host) setLink(to *Host, up bool) {
	id := wire.NodeID{Target: to.Target, Incarnation: to.incarnation}
	h.Step(&engine.LinkChanged{Peer: id, Up: up && to.alive})
}

// readPlatform answers a read of the platform after 2 ms. It gives no answer if the
// platform is down or has no document for the node.
func (h *Host) readPlatform(r engine.Resource) {
	incarnation := h.incarnation
	if h.w.PlatformDown {
		return
	}
	h.w.After(2*time.Millisecond, func() {
		if r == engine.ResourceMembers {
			h.stepIncarnation(incarnation, &engine.MembersRead{Instances: h.w.members})
		} else if text := h.w.PublishedDocument(h); text != nil {
			h.stepIncarnation(incarnation, &engine.DocumentRead{Text: text})
		}
	})
}
