package sim_test

import (
	"os"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

func newComicsWorld(t *testing.T, seed uint64) *sim.World {
	t.Helper()
	text, err := os.ReadFile("../../examples/comics.yaml")
	if err != nil {
		t.Fatal(err)
	}
	w, err := sim.NewWorld(sim.Config{
		Seed: seed, Document: text, DataCentres: 3,
		Upstreams: map[string]sim.UpstreamConfig{
			"pullreg": {Slots: 190, WorkTime: 10 * time.Millisecond}, "arrivo": {Slots: 190, WorkTime: 10 * time.Millisecond},
			"reservo": {Slots: 190, WorkTime: 10 * time.Millisecond}, "shopxfer": {Slots: 25, WorkTime: 20 * time.Millisecond},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// TestCallChainAnswersAllRequests checks that without faults and below capacity
// every request through the whole chain of services is answered exactly once.
func TestCallChainAnswersAllRequests(t *testing.T) {
	w := newComicsWorld(t, 1)
	// The resend window of the document is 30 s; later, owners accept new keys.
	w.AddLoad(sim.Load{Route: "pullreg.lists", Rate: 200, From: 40 * time.Second, To: 45 * time.Second})
	w.AddLoad(sim.Load{Route: "reservo.reserve", Rate: 20, From: 40 * time.Second, To: 45 * time.Second})
	w.RunUntil(50 * time.Second)
	offered, answered := 0, 0
	for _, n := range w.Stats.OfferedByTime {
		offered += n
	}
	for _, n := range w.Stats.AnsweredByTime {
		answered += n
	}
	// The loads offer 1100 requests on average.
	if offered < 500 || answered != offered || w.Stats.DoubleRuns != 0 || w.Stats.MixedAnswers != 0 {
		t.Fatalf("offered %d, want at least 500; answered %d, want all; double runs %d and mixed answers %d, want none",
			offered, answered, w.Stats.DoubleRuns, w.Stats.MixedAnswers)
	}
}
