package measure

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// keySource tells whether the keys of writes are issued by entry nodes, which then
// own them, or chosen by callers, so that a hash determines the owner.
type keySource struct {
	name   string
	issued bool
}

// newFullPolicyWorld returns a simulation of a deployment with policy full.
func newFullPolicyWorld(t *testing.T, d deployment, seed uint64) *sim.World {
	t.Helper()
	text, err := readDocument(filepath.Join("../../examples", d.documentFile))
	if err != nil {
		t.Fatal(err)
	}
	w, err := sim.NewWorld(sim.Config{
		Seed: seed, Document: text, DataCentres: d.dataCentres, Upstreams: d.upstreams,
		ConfigureNode: func(c *engine.Config) { configureNode(c, engine.FullPolicy()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// refusedWriteRatio returns the ratio of writes during the disturbance that were
// not answered in time.
func refusedWriteRatio(t *testing.T, source keySource, start func(*sim.World, deployment, float64), seed uint64) float64 {
	t.Helper()
	d := deployments["comics"]
	w := newFullPolicyWorld(t, d, seed)
	w.AddLoad(sim.Load{Route: d.writeRoute, Rate: 100, From: loadStart, To: loadEnd, UseIssuedKeys: source.issued})
	start(w, d, normalDemand)
	w.RunUntil(loadEnd + 5*time.Second)
	offered, answered := sumBuckets(w.Stats.OfferedByTime, disturbanceStart, disturbanceEnd), sumBuckets(w.Stats.AnsweredByTime, disturbanceStart, disturbanceEnd)
	if offered == 0 {
		t.Fatal("no writes were made")
	}
	if w.Stats.DoubleRuns != 0 {
		t.Errorf("%s keys: %d double runs, want none", source.name, w.Stats.DoubleRuns)
	}
	return 1 - float64(answered)/float64(offered)
}

// restartOwner restarts one node of the service of the writes when the disturbance
// starts.
func restartOwner(w *sim.World, d deployment, _ float64) {
	h := w.Host("reservo-1")
	w.After(disturbanceStart-w.Now(), h.Kill)
	w.After(disturbanceStart+100*time.Millisecond-w.Now(), h.Start)
}

// TestIssuedKeysRefuseFewerWrites checks that fewer writes are refused with issued
// keys than with hashed ones during a partition and after the restart of an owner,
// where the two sources of keys behave differently.
func TestIssuedKeysRefuseFewerWrites(t *testing.T) {
	cases := map[string]func(*sim.World, deployment, float64){"partition": partition, "restart": restartOwner}
	for name, start := range cases {
		for seed := uint64(1); seed <= 3; seed++ {
			hashed := refusedWriteRatio(t, keySource{"hashed", false}, start, seed)
			issued := refusedWriteRatio(t, keySource{"issued", true}, start, seed)
			t.Logf("case=%s seed=%d hashed_refused_ratio=%.4f issued_refused_ratio=%.4f", name, seed, hashed, issued)
			if issued >= hashed {
				t.Errorf("%s, seed %d: %.4f of writes refused with issued keys, want less than the %.4f with hashed ones", name, seed, issued, hashed)
			}
		}
	}
}

// countCrashes returns the number of upstream crashes in case poison.
func countCrashes(t *testing.T, deployment, policy string, seed uint64) int {
	t.Helper()
	d := deployments[deployment]
	text, err := readDocument(filepath.Join("../../examples", d.documentFile))
	if err != nil {
		t.Fatal(err)
	}
	p, err := policyByName(policy)
	if err != nil {
		t.Fatal(err)
	}
	w, err := sim.NewWorld(sim.Config{
		Seed: seed, Document: text, DataCentres: d.dataCentres, Upstreams: d.upstreams,
		ConfigureNode: func(c *engine.Config) { configureNode(c, p) },
	})
	if err != nil {
		t.Fatal(err)
	}
	newNotRunChecker(w)
	addLoad(w, d, normalDemand, loadStart, loadEnd, 0)
	poison(w, d, normalDemand)
	w.RunUntil(disturbanceEnd + time.Second)
	crashes := 0
	for _, h := range w.Hosts {
		crashes += h.Upstream.Restarts()
	}
	return crashes
}

// TestPoisonCrashesAtMostTwoUpstreams checks that a request which crashes every
// upstream that runs it crashes at most two upstreams, even when it is resent with
// new keys. Without crash protection it crashes more than two, which shows that the
// load exercises the protection.
func TestPoisonCrashesAtMostTwoUpstreams(t *testing.T) {
	for _, deployment := range []string{"comics", "charter"} {
		for seed := uint64(1); seed <= 3; seed++ {
			full := countCrashes(t, deployment, "full", seed)
			t.Logf("deployment=%s seed=%d full_crashes=%d", deployment, seed, full)
			if full > 2 || full == 0 {
				t.Errorf("%s, seed %d: %d crashes with protection, want 1 or 2", deployment, seed, full)
			}
		}
		none := countCrashes(t, deployment, "none", 1)
		t.Logf("deployment=%s seed=1 none_crashes=%d", deployment, none)
		if none <= 2 {
			t.Errorf("%s: %d crashes without protection, want more than 2: the load does not exercise it", deployment, none)
		}
	}
}
