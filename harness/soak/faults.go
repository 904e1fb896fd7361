package soak

import (
	"fmt"
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// The times of one run. Nodes are older than the resend window when the faults
// begin, and everything has come to rest at the end.
const (
	faultsFrom = 18 * time.Second
	faultsTo   = 50 * time.Second
	restAt     = 72 * time.Second
	runTo      = 90 * time.Second
)

// poisonous begins the body of a request that crashes what runs it.
const poisonous = "poison-"

// injector brings faults about, at random times and several at once.
type injector struct {
	w       *sim.World
	callers *callers
	check   *checker
	count   int
	version int
	cuts    map[[2]string]int
}

func (f *injector) start() {
	f.cuts = map[[2]string]int{}
	f.w.Cut = func(a, b string) bool { return f.cuts[pair(a, b)] > 0 }
	f.w.MaxDelay = 12 * time.Second
	f.w.ListLag = f.upTo(3 * time.Second)
	for f.w.Random.IntN(3) > 0 || f.count == 0 {
		f.at(faultsFrom, faultsTo, f.one)
		f.count++
	}
	more := 4 + f.w.Random.IntN(12)
	for range more {
		f.at(faultsFrom, faultsTo, f.one)
		f.count++
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (f *injector) upTo(d time.Duration) time.Duration {
	return time.Duration(f.w.Random.Int64N(int64(d)) + 1)
}

func (f *injector) at(from, to time.Duration, do func()) {
	f.w.After(from+f.upTo(to-from)-f.w.Now(), do)
}

// host draws a node that runs and is not paused, or nil.
func (f *injector) host() *sim.Host {
	h := f.w.Hosts[f.w.Random.IntN(len(f.w.Hosts))]
	if !h.Alive() || h.Paused() {
		return nil
	}
	return h
}

// one brings one fault about.
func (f *injector) one() {
	kinds := []func(){
		f.restart, f.pause, f.cut, f.lose, f.copies, f.crash, f.stop,
		f.platform, f.publish, f.stale, f.poison, f.pauseMany,
	}
	if f.check.strict {
		// A node that starts while the platform is away knows of no other, so
		// nobody can tell it anything: that is left to the other seeds.
		kinds = []func(){f.crash, f.stop, f.publish, f.stale, f.poison, f.poison, f.poison}
	}
	kinds[f.w.Random.IntN(len(kinds))]()
}

func (f *injector) restart() {
	h := f.host()
	if h == nil {
		return
	}
	f.check.inside(h)
	h.Kill()
	f.w.After(f.upTo(4*time.Second), func() { f.startAgain(h) })
}

func (f *injector) startAgain(h *sim.Host) {
	if !h.Alive() {
		h.Start()
	}
}

func (f *injector) pause() {
	length := f.upTo(8 * time.Second)
	if f.w.Random.IntN(3) == 0 {
		length = f.upTo(30 * time.Second)
	}
	if h := f.host(); h != nil {
		f.pauseFor(h, length)
	}
}

func (f *injector) pauseFor(h *sim.Host, d time.Duration) {
	incarnation := h.Incarnation()
	h.Pause()
	f.w.After(d, func() {
		if h.Alive() && h.Incarnation() == incarnation {
			h.Resume()
		}
	})
}

// pauseMany pauses a whole service for a short time.
func (f *injector) pauseMany() {
	service, d := f.w.Doc.Services[f.w.Random.IntN(len(f.w.Doc.Services))].Name, f.upTo(3*time.Second)
	for _, h := range f.w.Hosts {
		if h.Service() == service && h.Alive() && !h.Paused() {
			f.pauseFor(h, d)
		}
	}
}

func (f *injector) cut() {
	a, b := f.w.Random.IntN(3), f.w.Random.IntN(3)
	p := pair(fmt.Sprintf("dc%d", a), fmt.Sprintf("dc%d", b))
	if a == b {
		return
	}
	f.cuts[p]++
	f.w.After(f.upTo(12*time.Second), func() { f.cuts[p]-- })
}

func (f *injector) lose() {
	f.w.Loss = 0.02 + 0.2*f.w.Random.Float64()
	f.w.After(f.upTo(8*time.Second), func() { f.w.Loss = 0 })
}

func (f *injector) copies() {
	f.w.Copies = 0.05 + 0.3*f.w.Random.Float64()
	f.w.After(f.upTo(10*time.Second), func() { f.w.Copies = 0 })
}

func (f *injector) crash() {
	if h := f.host(); h != nil {
		h.Crash()
	}
}

func (f *injector) stop() {
	h := f.host()
	if h == nil {
		return
	}
	l := lifeOf(h)
	f.check.stopped[l] = f.w.Now()
	h.Stop()
	f.w.After(6*time.Second+f.upTo(4*time.Second), func() {
		if !h.Alive() && lifeOf(h) == l {
			f.check.inside(h)
			h.Start()
		}
	})
}

func (f *injector) platform() {
	f.w.PlatformAway = true
	f.w.After(f.upTo(10*time.Second), func() { f.w.PlatformAway = false })
}

func (f *injector) publish() {
	f.version++
	f.show(f.version)
}

// stale lets the platform serve an older document for a while.
func (f *injector) stale() {
	f.show(1 + f.w.Random.IntN(f.version))
	f.w.After(f.upTo(5*time.Second), func() { f.show(f.version) })
}

func (f *injector) show(version int) {
	text := documentText(version)
	f.w.Published = func(*sim.Host) []byte { return text }
}

// poison makes callers send a request that crashes what runs it, under new keys
// each time.
func (f *injector) poison() {
	k := kinds[f.w.Random.IntN(len(kinds))]
	body := fmt.Sprintf("%s%d", poisonous, f.w.Now())
	for i := range 6 {
		f.w.After(time.Duration(i)*300*time.Millisecond+f.upTo(100*time.Millisecond), func() { f.callers.make(k, body) })
	}
}
