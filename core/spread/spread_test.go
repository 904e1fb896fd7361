package spread_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

func TestChangeReachesAll(t *testing.T) {
	f := newFleet(t, 8)
	f.run(bound)
	f.want(1)
	f.publish(2, text(2, "b"))
	f.run(bound)
	f.want(2)
}

// TestStalePlatformAfterRestart: a node without memory takes the others' word
// before that of a platform that shows an older version.
func TestStalePlatformAfterRestart(t *testing.T) {
	f := newFleet(t, 8)
	f.publish(7, text(7, "b"))
	f.run(bound)
	f.publish(6, text(6, "a"))
	for _, n := range f.nodes[:6] {
		n.stop()
		f.run(time.Second)
		n.start()
		n.spread.PlatformRead(f.now, 6, text(6, "a"))
		f.run(bound)
		if n.history[0] != 7 {
			t.Fatalf("%s began with %v", n.id.Target, n.history)
		}
	}
	f.want(7)
}

// TestLoneNodeStarts: without anybody to ask, the platform's word counts soon,
// and operators are told.
func TestLoneNodeStarts(t *testing.T) {
	f := newFleet(t, 1)
	f.run(spread.DefaultAsk + time.Second)
	f.want(1)
	if !f.nodes[0].alone {
		t.Fatal("nobody was told")
	}
}

func TestLateFrame(t *testing.T) {
	f := newFleet(t, 4)
	f.publish(3, text(3, "c"))
	f.run(bound)
	for _, n := range f.nodes {
		n.spread.Text(f.now, &wire.Document{Version: 2, Text: text(2, "b")})
		n.spread.PlatformRead(f.now, 2, text(2, "b"))
		n.spread.PlatformRead(f.now, 0, text(2, "b"))
		n.spread.PlatformRead(f.now, 3, nil)
	}
	f.run(bound)
	f.want(3)
}

// TestSplitHeals: one half of a split sees newer versions, the other only an
// old platform. Neither goes back, and both agree once the split is over.
func TestSplitHeals(t *testing.T) {
	f := newFleet(t, 8)
	f.run(bound)
	f.cut = func(a, b *node) bool { return a.centre() != b.centre() }
	f.platform = func(n *node) (uint64, []byte) {
		if n.centre() == "dc0" {
			return 4, text(4, "d")
		}
		return 1, text(1, "a")
	}
	f.run(bound)
	for _, n := range f.nodes {
		if want := map[string]uint64{"dc0": 4, "dc1": 1}[n.centre()]; n.spread.Version() != want {
			t.Fatalf("%s has %d", n.id.Target, n.spread.Version())
		}
	}
	f.cut = func(a, b *node) bool { return false }
	f.run(bound)
	f.want(4)
}

// TestReadersVanish: the nodes that read the platform are gone, and others take
// their place in time.
func TestReadersVanish(t *testing.T) {
	f := newFleet(t, 10)
	f.run(bound)
	for _, n := range f.nodes {
		if n.view.Rank() < 2 {
			n.stop()
		}
	}
	f.publish(2, text(2, "b"))
	f.run(bound)
	f.want(2)
}

// TestReadersBlind: the readers live, but no longer reach the platform; the next
// in rank notice by the age of the latest read.
func TestReadersBlind(t *testing.T) {
	f := newFleet(t, 10)
	f.run(bound)
	f.platform = func(n *node) (uint64, []byte) {
		if n.view.Rank() < 2 {
			return 0, nil
		}
		return 2, text(2, "b")
	}
	f.run(bound)
	f.want(2)
}

// TestPlatformDown: reads stay few while the platform does not answer.
func TestPlatformDown(t *testing.T) {
	f := newFleet(t, 30)
	f.run(bound)
	f.platform = func(*node) (uint64, []byte) { return 0, nil }
	f.reads = 0
	const seconds = 60
	f.run(seconds * time.Second)
	f.want(1)
	// The 8 who may read in each of two data centres, every 1.5 s at most, and
	// the other 14 rarely.
	if most := 2*8*seconds*2/3 + 14*seconds/20; f.reads > most {
		t.Fatalf("%d reads, more than %d", f.reads, most)
	}
}

// TestInvalidIsVisible: a document that is not valid is refused everywhere, all
// nodes can tell why, the old one stays, and the next one ends the refusal.
func TestInvalidIsVisible(t *testing.T) {
	f := newFleet(t, 8)
	f.run(bound)
	f.publish(2, []byte(strings.Replace(string(text(2, "b")), "wait: 1s", "wait: 1h", 1)))
	f.run(bound)
	f.want(1)
	for _, n := range f.nodes {
		version, reason := n.spread.Refused()
		if version != 2 || !strings.Contains(reason, "10:74: services.desk.routes.list.wait") {
			t.Fatalf("%s shows %d %q", n.id.Target, version, reason)
		}
	}
	f.publish(3, text(3, "c"))
	f.run(bound)
	f.want(3)
	if version, _ := f.nodes[0].spread.Refused(); version != 0 {
		t.Fatalf("still shows %d", version)
	}
}

// TestTwins: two texts with one version reach different nodes first, and all
// nodes end with the same one.
func TestTwins(t *testing.T) {
	f := newFleet(t, 8)
	f.run(bound)
	f.platform = func(n *node) (uint64, []byte) { return 2, text(2, "twin-"+n.centre()) }
	f.run(bound)
	f.want(2)
	for _, n := range f.nodes {
		version, reason := n.spread.Refused()
		if n.spread.Hash() != f.nodes[0].spread.Hash() || version != 2 || !strings.Contains(reason, "same version") {
			t.Fatalf("%s: hash %x, refused %d %q", n.id.Target, n.spread.Hash(), version, reason)
		}
	}
}

// TestSession keeps the way of a change, and of an invalid one after it, through
// a fleet in which one node reaches the platform.
func TestSession(t *testing.T) {
	f := newFleet(t, 3)
	f.run(bound)
	show := func(version uint64, text []byte) {
		f.platform = func(n *node) (uint64, []byte) {
			if n.id.Target == "desk-1" {
				return version, text
			}
			return 0, nil
		}
	}
	show(2, text(2, "b"))
	f.log = nil
	for range 200 {
		f.run(step)
		if slices.ContainsFunc(f.nodes, func(n *node) bool { return n.spread.Version() != 2 }) {
			continue
		}
		break
	}
	f.want(2)
	show(3, []byte("version: 3\nname: broken\n"))
	f.run(3 * time.Second)
	f.want(2)
	goldie.New(t).Assert(t, "session", []byte(strings.Join(f.log, "\n")+"\n"))
}

// TestOrder: whatever happens to platform, network and nodes, no run of a node
// goes back, and once all is well everybody has the newest version.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 6)
		f.checkApart = rapid.Bool().Draw(t, "check apart")
		newest := uint64(1)
		f.run(bound)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, 5).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				newest++
				f.publish(newest, text(newest, "n"))
			case 1:
				old := rapid.Uint64Range(1, newest).Draw(t, "old")
				f.platform = func(n *node) (uint64, []byte) { return old, text(old, "n") }
			case 2:
				n.start()
			case 3:
				f.cut = func(a, b *node) bool { return a.centre() != b.centre() }
			case 4:
				f.cut = func(a, b *node) bool { return a == n || b == n }
			case 5:
				n.spread.Text(f.now, &wire.Document{Version: 1, Text: text(1, "a")})
			}
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.cut = func(a, b *node) bool { return false }
		f.publish(newest+1, text(newest+1, "n"))
		f.run(bound)
		f.want(newest + 1)
	})
}
