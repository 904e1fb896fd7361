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
	w, err := sim.NewWorld(sim.Setup{
		Seed: seed, Document: text, DataCentres: 3,
		Shape: map[string]sim.Shape{
			"pullreg": {Slots: 190, Time: 10 * time.Millisecond}, "arrivo": {Slots: 190, Time: 10 * time.Millisecond},
			"reservo": {Slots: 190, Time: 10 * time.Millisecond}, "shopxfer": {Slots: 25, Time: 20 * time.Millisecond},
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
	w.Offer(sim.Load{Route: "pullreg.lists", Rate: 200, From: 40 * time.Second, To: 45 * time.Second})
	w.Offer(sim.Load{Route: "reservo.reserve", Rate: 20, From: 40 * time.Second, To: 45 * time.Second})
	w.Run(50 * time.Second)
	offered, answered := 0, 0
	for _, n := range w.Stats.OfferedAt {
		offered += n
	}
	for _, n := range w.Stats.AnsweredAt {
		answered += n
	}
	if offered < 500 || answered != offered || w.Stats.DoubleRuns != 0 || w.Stats.Mixed != 0 {
		t.Fatalf("offered %d, answered %d, double runs %d, mixed %d",
			offered, answered, w.Stats.DoubleRuns, w.Stats.Mixed)
	}
}
