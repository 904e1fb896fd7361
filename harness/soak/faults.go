package soak

import (
	"fmt"
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// The phases of one run in virtual time. At faultsStart all nodes have run for longer
// than the resend window. New requests start until loadEnd, and all calls must have
// finished by runEnd.
const (
	faultsStart = 18 * time.Second
	faultsEnd   = 50 * time.Second
	loadEnd     = 72 * time.Second
	runEnd      = 90 * time.Second
)

// poisonPrefix starts the body of requests that crash the upstream that executes them.
const poisonPrefix = "poison-"

// injector injects faults into a run, at random times; their effects may overlap.
type injector struct {
	world           *sim.World
	callers         *callers
	checker         *checker
	faultCount      int // scheduled faults
	documentVersion int // the newest published
	// partitions counts the active partitions of each pair of data centres.
	partitions map[[2]string]int
}

// scheduleFaults configures the network and schedules all faults of the run: one or
// more, each further one with a probability of 2/3, and then 4 to 15 extra ones.
func (f *injector) scheduleFaults() {
	f.partitions = map[[2]string]int{}
	f.world.Disconnected = func(a, b string) bool { return f.partitions[dataCentrePair(a, b)] > 0 }
	f.world.MaxDuplicateDelay = 12 * time.Second
	f.world.MemberListDelay = f.randomDuration(3 * time.Second)
	for f.world.Random.IntN(3) > 0 || f.faultCount == 0 {
		f.scheduleBetween(faultsStart, faultsEnd, f.injectRandom)
		f.faultCount++
	}
	extra := 4 + f.world.Random.IntN(12)
	for range extra {
		f.scheduleBetween(faultsStart, faultsEnd, f.injectRandom)
		f.faultCount++
	}
}

// dataCentrePair returns the pair in alphabetical order.
func dataCentrePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// randomDuration returns a random duration of at least 1 ns and at most d.
func (f *injector) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.world.Random.Int64N(int64(d)) + 1)
}

// scheduleBetween calls do at a random time between from and to.
func (f *injector) scheduleBetween(from, to time.Duration, do func()) {
	f.world.After(from+f.randomDuration(to-from)-f.world.Now(), do)
}

// randomHost picks a random host and returns it if its node is running and not paused,
// nil otherwise; the fault is skipped then.
func (f *injector) randomHost() *sim.Host {
	h := f.world.Hosts[f.world.Random.IntN(len(f.world.Hosts))]
	if !h.Alive() || h.Paused() {
		return nil
	}
	return h
}

// injectRandom injects one random fault.
func (f *injector) injectRandom() {
	kinds := []func(){
		f.kill, f.pause, f.partition, f.loseMessages, f.duplicateMessages, f.crashUpstream, f.stopGracefully,
		f.stopPlatform, f.publishDocument, f.publishStaleDocument, f.sendPoison, f.pauseService,
	}
	if f.checker.reliableNetwork {
		// These seeds inject no kills, pauses, network faults or platform outages. A
		// node that starts while the platform is unavailable knows no peers and
		// cannot be told which requests crashed an upstream, so the bound on crashes
		// would not hold.
		kinds = []func(){f.crashUpstream, f.stopGracefully, f.publishDocument, f.publishStaleDocument, f.sendPoison, f.sendPoison, f.sendPoison}
	}
	kinds[f.world.Random.IntN(len(kinds))]()
}

// kill kills a node and starts it again within 4 s.
func (f *injector) kill() {
	h := f.randomHost()
	if h == nil {
		return
	}
	f.checker.collectNodeViolations(h)
	h.Kill()
	f.world.After(f.randomDuration(4*time.Second), func() { f.startIfStopped(h) })
}

// startIfStopped starts the node of a host unless it is running.
func (f *injector) startIfStopped(h *sim.Host) {
	if !h.Alive() {
		h.Start()
	}
}

// pause pauses one node for up to 8 s, in one of three cases for up to 30 s.
func (f *injector) pause() {
	length := f.randomDuration(8 * time.Second)
	if f.world.Random.IntN(3) == 0 {
		length = f.randomDuration(30 * time.Second)
	}
	if h := f.randomHost(); h != nil {
		f.pauseFor(h, length)
	}
}

// pauseFor pauses a node for d, unless it is restarted before.
func (f *injector) pauseFor(h *sim.Host, d time.Duration) {
	incarnation := h.Incarnation()
	h.Pause()
	f.world.After(d, func() {
		if h.Alive() && h.Incarnation() == incarnation {
			h.Resume()
		}
	})
}

// pauseService pauses all nodes of one service for up to 3 s.
func (f *injector) pauseService() {
	service, d := f.world.Document.Services[f.world.Random.IntN(len(f.world.Document.Services))].Name, f.randomDuration(3*time.Second)
	for _, h := range f.world.Hosts {
		if h.Service() == service && h.Alive() && !h.Paused() {
			f.pauseFor(h, d)
		}
	}
}

// partition cuts the connections between two data centres. It does nothing if it draws
// the same data centre twice.
func (f *injector) partition() {
	a, b := f.world.Random.IntN(3), f.world.Random.IntN(3)
	p := dataCentrePair(fmt.Sprintf("dc%d", a), fmt.Sprintf("dc%d", b))
	if a == b {
		return
	}
	f.partitions[p]++
	f.world.After(f.randomDuration(12*time.Second), func() { f.partitions[p]-- })
}

// loseMessages drops a fraction of the messages between nodes for up to 8 s.
func (f *injector) loseMessages() {
	f.world.LossRatio = 0.02 + 0.2*f.world.Random.Float64()
	f.world.After(f.randomDuration(8*time.Second), func() { f.world.LossRatio = 0 })
}

// duplicateMessages delivers a fraction of the messages between nodes twice, for up to
// 10 s.
func (f *injector) duplicateMessages() {
	f.world.DuplicateRatio = 0.05 + 0.3*f.world.Random.Float64()
	f.world.After(f.randomDuration(10*time.Second), func() { f.world.DuplicateRatio = 0 })
}

// crashUpstream crashes the upstream of one node.
func (f *injector) crashUpstream() {
	if h := f.randomHost(); h != nil {
		h.CrashUpstream()
	}
}

// stopGracefully asks a node to stop and starts it again 6 to 10 s later, if it has
// stopped by then.
func (f *injector) stopGracefully() {
	h := f.randomHost()
	if h == nil {
		return
	}
	incarnation := incarnationOf(h)
	f.checker.stopRequestedAt[incarnation] = f.world.Now()
	h.Stop()
	f.world.After(6*time.Second+f.randomDuration(4*time.Second), func() {
		if !h.Alive() && incarnationOf(h) == incarnation {
			f.checker.collectNodeViolations(h)
			h.Start()
		}
	})
}

// stopPlatform makes the platform unavailable for up to 10 s.
func (f *injector) stopPlatform() {
	f.world.PlatformDown = true
	f.world.After(f.randomDuration(10*time.Second), func() { f.world.PlatformDown = false })
}

// publishDocument publishes the next version of the document.
func (f *injector) publishDocument() {
	f.documentVersion++
	f.setPublishedVersion(f.documentVersion)
}

// publishStaleDocument lets the platform serve a random version of the document that was
// published so far, for up to 5 s. It may be the newest.
func (f *injector) publishStaleDocument() {
	f.setPublishedVersion(1 + f.world.Random.IntN(f.documentVersion))
	f.world.After(f.randomDuration(5*time.Second), func() { f.setPublishedVersion(f.documentVersion) })
}

// setPublishedVersion sets the document version that the platform serves to all nodes.
func (f *injector) setPublishedVersion(version int) {
	text := documentText(version)
	f.world.PublishedDocument = func(*sim.Host) []byte { return text }
}

// sendPoison lets callers send a poisonous request six times under different keys.
func (f *injector) sendPoison() {
	k := requestKinds[f.world.Random.IntN(len(requestKinds))]
	body := fmt.Sprintf("%s%d", poisonPrefix, f.world.Now())
	for i := range 6 {
		f.world.After(time.Duration(i)*300*time.Millisecond+f.randomDuration(100*time.Millisecond), func() { f.callers.sendNewRequest(k, body) })
	}
}
