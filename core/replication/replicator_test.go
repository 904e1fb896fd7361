package replication_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/wire"
)

func TestNewVersionReachesAllNodes(t *testing.T) {
	f := newFleet(t, 8)
	f.advance(convergenceTime)
	f.expectVersion(1)
	f.publish(2, documentText(2, "b"))
	f.advance(convergenceTime)
	f.expectVersion(2)
}

// TestRestartedNodeIgnoresStalePlatform: a node that restarts without a document
// must not put an older version in force that the platform returns while other
// nodes have a newer one.
func TestRestartedNodeIgnoresStalePlatform(t *testing.T) {
	f := newFleet(t, 8)
	f.publish(7, documentText(7, "b"))
	f.advance(convergenceTime)
	f.publish(6, documentText(6, "a"))
	for _, n := range f.nodes[:6] {
		n.stop()
		f.advance(time.Second)
		n.start()
		n.replicator.HandlePlatformRead(f.now, 6, documentText(6, "a"))
		f.advance(convergenceTime)
		if n.versions[0] != 7 {
			t.Fatalf("%s put versions %v in force, want 7 first", n.id.Target, n.versions)
		}
	}
	f.expectVersion(7)
}

// TestSingleNodeUsesPlatformDocument: without other nodes to query, the
// platform's document comes into force after DefaultPeerQueryTimeout, and the
// runtime is told.
func TestSingleNodeUsesPlatformDocument(t *testing.T) {
	f := newFleet(t, 1)
	f.advance(replication.DefaultPeerQueryTimeout + time.Second)
	f.expectVersion(1)
	if !f.nodes[0].queryExpired {
		t.Fatal("the runtime was not told that the query of other nodes expired")
	}
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	f := newFleet(t, 4)
	f.publish(3, documentText(3, "c"))
	f.advance(convergenceTime)
	for _, n := range f.nodes {
		n.replicator.HandleDocument(f.now, &wire.Document{Version: 2, Text: documentText(2, "b")})
		n.replicator.HandlePlatformRead(f.now, 2, documentText(2, "b"))
		n.replicator.HandlePlatformRead(f.now, 0, documentText(2, "b"))
		n.replicator.HandlePlatformRead(f.now, 3, nil)
	}
	f.advance(convergenceTime)
	f.expectVersion(3)
}

// TestPartitionHeals: during a network partition one data centre receives newer
// versions while the other sees only an old platform. No node goes back, and all
// agree after the partition.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(t, 8)
	f.advance(convergenceTime)
	f.isCut = func(a, b *node) bool { return a.dataCentre() != b.dataCentre() }
	f.platform = func(n *node) (uint64, []byte) {
		if n.dataCentre() == "dc0" {
			return 4, documentText(4, "d")
		}
		return 1, documentText(1, "a")
	}
	f.advance(convergenceTime)
	for _, n := range f.nodes {
		if want := map[string]uint64{"dc0": 4, "dc1": 1}[n.dataCentre()]; n.replicator.Version() != want {
			t.Fatalf("%s has version %d in force, want %d", n.id.Target, n.replicator.Version(), want)
		}
	}
	f.isCut = func(a, b *node) bool { return false }
	f.advance(convergenceTime)
	f.expectVersion(4)
}

// TestStoppedReadersAreReplaced: the nodes that read the platform stop, and
// substitutes take over.
func TestStoppedReadersAreReplaced(t *testing.T) {
	f := newFleet(t, 10)
	f.advance(convergenceTime)
	for _, n := range f.nodes {
		// The nodes of rank 0 and 1 are the readers.
		if n.view.ReaderRank() < 2 {
			n.stop()
		}
	}
	f.publish(2, documentText(2, "b"))
	f.advance(convergenceTime)
	f.expectVersion(2)
}

// TestReadersWithoutPlatformAreReplaced: the readers run but no longer reach the
// platform. Substitutes detect this by the age of the latest read.
func TestReadersWithoutPlatformAreReplaced(t *testing.T) {
	f := newFleet(t, 10)
	f.advance(convergenceTime)
	f.platform = func(n *node) (uint64, []byte) {
		// The nodes of rank 0 and 1 are the readers.
		if n.view.ReaderRank() < 2 {
			return 0, nil
		}
		return 2, documentText(2, "b")
	}
	f.advance(convergenceTime)
	f.expectVersion(2)
}

// TestReadRateWhilePlatformIsDown: the number of reads stays limited while the
// platform does not answer.
func TestReadRateWhilePlatformIsDown(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(convergenceTime)
	f.platform = func(*node) (uint64, []byte) { return 0, nil }
	f.reads = 0
	const seconds = 60
	f.advance(seconds * time.Second)
	f.expectVersion(1)
	// In each of two data centres 8 readers and substitutes read at most once every
	// 1.5 s each; the other 14 nodes read at most once every 20 s each.
	if limit := 2*8*seconds*2/3 + 14*seconds/20; f.reads > limit {
		t.Fatalf("%d reads, limit %d", f.reads, limit)
	}
}

// TestInvalidDocumentIsRejectedEverywhere: an invalid document is rejected by all
// nodes and each reports the reason. The previous document stays in force, and
// the next valid one ends the rejection.
func TestInvalidDocumentIsRejectedEverywhere(t *testing.T) {
	f := newFleet(t, 8)
	f.advance(convergenceTime)
	f.publish(2, []byte(strings.Replace(string(documentText(2, "b")), "wait: 1s", "wait: 1h", 1)))
	f.advance(convergenceTime)
	f.expectVersion(1)
	for _, n := range f.nodes {
		version, reason := n.replicator.Rejection()
		if version != 2 || !strings.Contains(reason, "10:74: services.desk.routes.list.wait") {
			t.Fatalf("%s reports rejected version %d, reason %q, want version 2 and the field wait", n.id.Target, version, reason)
		}
	}
	f.publish(3, documentText(3, "c"))
	f.advance(convergenceTime)
	f.expectVersion(3)
	if version, _ := f.nodes[0].replicator.Rejection(); version != 0 {
		t.Fatalf("version %d is still reported as rejected", version)
	}
}

// TestDuplicateVersionsConverge: two texts with the same version reach different
// nodes first, and all nodes end with the same text.
func TestDuplicateVersionsConverge(t *testing.T) {
	f := newFleet(t, 8)
	f.advance(convergenceTime)
	f.platform = func(n *node) (uint64, []byte) { return 2, documentText(2, "twin-"+n.dataCentre()) }
	f.advance(convergenceTime)
	f.expectVersion(2)
	for _, n := range f.nodes {
		version, reason := n.replicator.Rejection()
		if n.replicator.Hash() != f.nodes[0].replicator.Hash() || version != 2 || !strings.Contains(reason, "same version") {
			t.Fatalf("%s: hash %x, want %x; rejected version %d, want 2; reason %q", n.id.Target, n.replicator.Hash(), f.nodes[0].replicator.Hash(), version, reason)
		}
	}
}

// TestSession compares the frames of a new version and then of an invalid one
// with a golden file, in a fleet in which one node reaches the platform.
func TestSession(t *testing.T) {
	f := newFleet(t, 3)
	f.advance(convergenceTime)
	publishToFirstNode := func(version uint64, text []byte) {
		f.platform = func(n *node) (uint64, []byte) {
			if n.id.Target == "desk-1" {
				return version, text
			}
			return 0, nil
		}
	}
	publishToFirstNode(2, documentText(2, "b"))
	f.log = nil
	for range 200 {
		f.advance(step)
		if slices.ContainsFunc(f.nodes, func(n *node) bool { return n.replicator.Version() != 2 }) {
			continue
		}
		break
	}
	f.expectVersion(2)
	publishToFirstNode(3, []byte("version: 3\nname: broken\n"))
	f.advance(3 * time.Second)
	f.expectVersion(2)
	goldie.New(t).Assert(t, "session", []byte(strings.Join(f.log, "\n")+"\n"))
}

// TestVersionNeverDecreases: under any sequence of platform, network and node
// failures the version in force never decreases within a run, and once all
// failures end, every node gets the newest version.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 6)
		f.parseAsync = rapid.Bool().Draw(t, "parse async")
		newest := uint64(1)
		f.advance(convergenceTime)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, 5).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				newest++
				f.publish(newest, documentText(newest, "n"))
			case 1:
				old := rapid.Uint64Range(1, newest).Draw(t, "old")
				f.platform = func(n *node) (uint64, []byte) { return old, documentText(old, "n") }
			case 2:
				n.start()
			case 3:
				f.isCut = func(a, b *node) bool { return a.dataCentre() != b.dataCentre() }
			case 4:
				f.isCut = func(a, b *node) bool { return a == n || b == n }
			case 5:
				n.replicator.HandleDocument(f.now, &wire.Document{Version: 1, Text: documentText(1, "a")})
			}
			f.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.isCut = func(a, b *node) bool { return false }
		f.publish(newest+1, documentText(newest+1, "n"))
		f.advance(convergenceTime)
		f.expectVersion(newest + 1)
	})
}
