package measure

import (
	"bytes"
	"fmt"
	"time"

	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/harness/sim"
)

func init() { scenarios["stale_config"] = scenario{trigger: staleConfig} }

// The steps of case stale_config. Version 2 is in force everywhere when the
// platform falls back to version 1; the fleet splits; version 3 is shown to one
// data centre only, so that the others depend on the split's end.
const (
	publishSecond = warm - 2*time.Second
	splitFrom     = begin + time.Second
	publishThird  = begin + 2*time.Second
	splitTo       = begin + 3*time.Second
	// allowed is how long a change may take until it is in force everywhere.
	allowed = 12 * time.Second
)

// staleConfig lets the platform go stale and the fleet split while instances
// are replaced.
func staleConfig(w *sim.World, d deployment, demand float64) {
	offer(w, d, demand-normalDemand, begin, end, 0)
	first := w.Published(nil)
	at := func(when time.Duration, do func()) { w.After(when-w.Now(), do) }
	show := func(version int) { w.Published = func(*sim.Host) []byte { return withVersion(first, version) } }
	at(publishSecond, func() { show(2) })
	at(begin, func() { show(1) })
	at(splitFrom, func() { w.Cut = func(a, b string) bool { return a != b && (a == "dc0" || b == "dc0") } })
	at(publishThird, func() {
		w.Published = func(h *sim.Host) []byte {
			if h.DataCentre() == "dc0" {
				return withVersion(first, 3)
			}
			return first
		}
	})
	at(splitTo, func() { w.Cut = func(a, b string) bool { return false } })
	for i, service := range d.chain {
		h := w.Host(owner.TargetName(service, 1+i%d.targets))
		at(begin+time.Duration(i)*drainEvery, func() { replace(w, h) })
	}
	watchVersions(w)
}

func withVersion(text []byte, version int) []byte {
	return bytes.Replace(text, []byte("version: 1\n"), fmt.Appendf(nil, "version: %d\n", version), 1)
}

// watchVersions looks at the version in force at each node. One that goes back,
// and one that is behind for longer than allowed after a change, end the run:
// no line is printed for a run that broke what must always hold.
func watchVersions(w *sim.World) {
	last := map[*sim.Host]uint64{}
	var look func()
	look = func() {
		for _, h := range w.Hosts {
			s := h.Node.Status()
			version := s.Document.Version
			if version < last[h] && version != 0 {
				panic(fmt.Sprintf("%s went back from version %d to %d at %v", h.Target, last[h], version, w.Now()))
			}
			last[h] = max(last[h], version)
			if late := w.Now() >= splitTo+allowed; late && h.Alive() && version != 3 {
				panic(fmt.Sprintf("%s has version %d in force at %v", h.Target, version, w.Now()))
			}
		}
		w.After(checkEvery, look)
	}
	look()
}
