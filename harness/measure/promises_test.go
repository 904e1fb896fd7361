package measure

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// keyRule is who chooses the key of a write.
type keyRule struct {
	name   string
	issued bool
}

// fullWorld returns a world of a deployment under policy full.
func fullWorld(t *testing.T, d deployment, seed uint64) *sim.World {
	t.Helper()
	text, err := documentText(filepath.Join("../../examples", d.document))
	if err != nil {
		t.Fatal(err)
	}
	w, err := sim.NewWorld(sim.Setup{
		Seed: seed, Document: text, DataCentres: d.centres, Shape: d.shape,
		Configure: func(c *engine.Config) { configure(c, engine.Full()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// refusedWrites returns the share of writes without a whole answer from the
// pressure's begin to its end.
func refusedWrites(t *testing.T, rule keyRule, trigger func(*sim.World, deployment, float64), seed uint64) float64 {
	t.Helper()
	d := deployments["comics"]
	w := fullWorld(t, d, seed)
	w.Offer(sim.Load{Route: d.writes, Rate: 100, From: warm, To: tail, Issued: rule.issued})
	trigger(w, d, normalDemand)
	w.Run(tail + 5*time.Second)
	offered, answered := sum(w.Stats.OfferedAt, begin, end), sum(w.Stats.AnsweredAt, begin, end)
	if offered == 0 {
		t.Fatal("no writes were made")
	}
	if w.Stats.DoubleRuns != 0 {
		t.Errorf("%s: %d double runs", rule.name, w.Stats.DoubleRuns)
	}
	return 1 - float64(answered)/float64(offered)
}

// restartOwner restarts one node of the writes' service as the pressure begins.
func restartOwner(w *sim.World, d deployment, _ float64) {
	h := w.Host("reservo-1")
	w.After(begin-w.Now(), h.Kill)
	w.After(begin+100*time.Millisecond-w.Now(), h.Start)
}

// TestIssuedKeysRefuseLess compares the two rules of ownership where they
// differ: across a cut, and after an owner's restart.
func TestIssuedKeysRefuseLess(t *testing.T) {
	cases := map[string]func(*sim.World, deployment, float64){"partition": partition, "restart": restartOwner}
	for name, trigger := range cases {
		for seed := uint64(1); seed <= 3; seed++ {
			hashed := refusedWrites(t, keyRule{"hashed", false}, trigger, seed)
			issued := refusedWrites(t, keyRule{"issued", true}, trigger, seed)
			t.Logf("case=%s seed=%d hashed_refused_ratio=%.4f issued_refused_ratio=%.4f", name, seed, hashed, issued)
			if issued >= hashed {
				t.Errorf("%s, seed %d: issued keys refuse %.4f, hashed ones %.4f", name, seed, issued, hashed)
			}
		}
	}
}

// crashesOf returns the crashes of upstreams in case poison.
func crashesOf(t *testing.T, deployment, policy string, seed uint64) int {
	t.Helper()
	d := deployments[deployment]
	text, err := documentText(filepath.Join("../../examples", d.document))
	if err != nil {
		t.Fatal(err)
	}
	p, err := policyOf(policy)
	if err != nil {
		t.Fatal(err)
	}
	w, err := sim.NewWorld(sim.Setup{
		Seed: seed, Document: text, DataCentres: d.centres, Shape: d.shape,
		Configure: func(c *engine.Config) { configure(c, p) },
	})
	if err != nil {
		t.Fatal(err)
	}
	newWatch(w)
	offer(w, d, normalDemand, warm, tail, 0)
	poison(w, d, normalDemand)
	w.Run(end + time.Second)
	crashes := 0
	for _, h := range w.Hosts {
		crashes += h.Upstream.Epoch()
	}
	return crashes
}

// TestPoisonTakesDownTwoUpstreams: a request that crashes what runs it, sent
// again under new keys, takes down two upstreams at most; without suspicion it
// takes down many.
func TestPoisonTakesDownTwoUpstreams(t *testing.T) {
	for _, deployment := range []string{"comics", "charter"} {
		for seed := uint64(1); seed <= 3; seed++ {
			full := crashesOf(t, deployment, "full", seed)
			t.Logf("deployment=%s seed=%d full_crashes=%d", deployment, seed, full)
			if full > 2 || full == 0 {
				t.Errorf("%s, seed %d: %d crashes with suspicion", deployment, seed, full)
			}
		}
		none := crashesOf(t, deployment, "none", 1)
		t.Logf("deployment=%s seed=1 none_crashes=%d", deployment, none)
		if none <= 2 {
			t.Errorf("%s: %d crashes without suspicion: it tested nothing", deployment, none)
		}
	}
}
