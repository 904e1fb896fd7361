package faults

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// event is one fault of a schedule: begin starts it and returns what ends it.
type event struct {
	at, length time.Duration
	kind       kind
	instance   int
}

// kind is a kind of fault. Of those that concern no instance one is open at a time.
type kind struct {
	name     string
	anywhere bool // concerns no instance
	planned  bool
	restarts bool
	begin    func(r *run, n *instance) (end func())
}

const (
	// faultTime is the time in which faults begin, and most faults the number of
	// them in a run.
	faultTime = 12 * time.Second
	minFaults = 4
	maxFaults = 12
	// shortFault and longFault bound how long one lasts.
	shortFault = 200 * time.Millisecond
	longFault  = 4 * time.Second
	// linkDelay is what a slow link adds to each piece.
	linkDelay = 150 * time.Millisecond
)

var kinds = []kind{
	{name: "kill", restarts: true, begin: func(r *run, n *instance) func() {
		return n.replaced(r, syscall.SIGKILL)
	}},
	{name: "stop", planned: true, restarts: true, begin: func(r *run, n *instance) func() {
		if r.opts.Broken == stopIsKill {
			return n.replaced(r, syscall.SIGKILL)
		}
		return n.replaced(r, syscall.SIGTERM)
	}},
	{name: "freeze", begin: func(_ *run, n *instance) func() {
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{name: "hup", planned: true, begin: func(_ *run, n *instance) func() {
		n.signal(syscall.SIGHUP)
		return func() {}
	}},
	{name: "peers_silent", begin: func(_ *run, n *instance) func() { return n.fromPeers.silence(true, true) }},
	{name: "peers_one_way", begin: func(_ *run, n *instance) func() { return n.fromPeers.silence(false, true) }},
	{name: "peers_slow", begin: func(_ *run, n *instance) func() { return n.fromPeers.slow(linkDelay) }},
	{name: "peers_reset", begin: func(_ *run, n *instance) func() {
		n.fromPeers.resetAll()
		return func() {}
	}},
	{name: "upstream_reset", begin: func(_ *run, n *instance) func() {
		n.toUpstream.resetAll()
		return func() {}
	}},
	{name: "upstream_silent", begin: func(_ *run, n *instance) func() { return n.toUpstream.silence(true, true) }},
	{name: "upstream_slow", begin: func(_ *run, n *instance) func() {
		n.upstream.slow.Store(true)
		return func() { n.upstream.slow.Store(false) }
	}},
	{name: "upstream_sheds", begin: func(_ *run, n *instance) func() {
		n.upstream.sheds.Store(true)
		return func() { n.upstream.sheds.Store(false) }
	}},
	{name: "upstream_crash", begin: func(r *run, n *instance) func() {
		n.upstream.crash()
		return func() { r.fail(n.upstream.start()) }
	}},
	{name: "drain", planned: true, begin: func(r *run, n *instance) func() {
		r.setDraining(n, true)
		return func() { r.setDraining(n, false) }
	}},
	{name: "store_cut", begin: func(_ *run, n *instance) func() { return n.toStore.silence(true, true) }},
	{name: "store_refuses", anywhere: true, begin: func(r *run, _ *instance) func() {
		r.store.Refuse(503)
		return r.store.Heal
	}},
	{name: "store_silent", anywhere: true, begin: func(r *run, _ *instance) func() {
		r.store.Silence()
		return r.store.Heal
	}},
	{name: "store_old", anywhere: true, begin: func(r *run, _ *instance) func() {
		r.store.Freeze()
		return r.store.Heal
	}},
	{name: "store_forgets", anywhere: true, begin: func(r *run, _ *instance) func() {
		r.store.Forget()
		return func() {}
	}},
	{name: "table", anywhere: true, planned: true, begin: func(r *run, _ *instance) func() {
		r.publish()
		return func() {}
	}},
}

// schedule draws the faults of a run from its seed.
func schedule(seed uint64, instances int) (out []event) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		out = append(out, event{
			at:       time.Duration(random.Int64N(int64(faultTime))),
			length:   shortFault + time.Duration(random.Int64N(int64(longFault-shortFault))),
			kind:     kinds[random.IntN(len(kinds))],
			instance: random.IntN(instances),
		})
	}
	return out
}

// silence swallows what passes in one or both directions until it is ended.
func (p *proxy) silence(to, from bool) (end func()) {
	p.stopTo.Store(to)
	p.stopFrom.Store(from)
	return p.heal
}

// slow delays what passes until it is ended.
func (p *proxy) slow(d time.Duration) (end func()) {
	p.delay.Store(int64(d))
	return p.heal
}

// replaced ends the node's process by a signal; its end starts the next one. Two of
// these do not overlap on one node.
func (n *instance) replaced(r *run, s syscall.Signal) (end func()) {
	n.replacing.Lock()
	n.signal(s)
	n.signal(syscall.SIGCONT)
	if !n.gone(stopLimit) {
		r.violate("stop", "node did not end in its grace")
		n.signal(syscall.SIGKILL)
		n.gone(endLimit)
	}
	return func() {
		defer n.replacing.Unlock()
		r.fail(n.start())
	}
}

// stopLimit is the grace of the nodes' settings and a second.
const stopLimit = 7 * time.Second
