package route_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/route"
)

// newSplitter returns a Splitter with a fixed seed.
func newSplitter(seed uint64) *route.Splitter {
	return route.NewSplitter(rand.New(rand.NewPCG(seed, 1)).Uint64)
}

func splitRoute(split ...route.WeightedService) *route.Route {
	return &route.Route{Host: "h", Prefix: "/", Split: split}
}

// drawSplit draws the services of one version of a route, which may have changed places, with weights
// of any magnitude, of which not all are 0.
func drawSplit(t *rapid.T) (r *route.Route, totalWeight int) {
	r = splitRoute()
	scale := rapid.SampledFrom([]int{1, 10, 10_000, 1 << 20}).Draw(t, "scale")
	for _, service := range rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "services")[:rapid.IntRange(2, 3).Draw(t, "count")] {
		weight := scale * rapid.IntRange(0, 9).Draw(t, "weight")
		r.Split = append(r.Split, route.WeightedService{Service: service, Weight: weight})
		totalWeight += weight
	}
	if totalWeight == 0 {
		r.Split[0].Weight, totalWeight = scale, scale
	}
	return r, totalWeight
}

// TestSplitFollowsWeightsOfEachVersion guards against the shares of an earlier version of a route that
// go on under the next one: whose weights have another sum, or whose services have changed places,
// were replaced, returned or got weight 0.
func TestSplitFollowsWeightsOfEachVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSplitter(1)
		for range 4 {
			r, totalWeight := drawSplit(t)
			requests, n := map[string]int{}, rapid.IntRange(1, 300).Draw(t, "requests")
			for range n {
				requests[s.ChooseService(r)]++
			}
			for _, share := range r.Split {
				want := float64(n*share.Weight) / float64(totalWeight)
				if diff := float64(requests[share.Service]) - want; diff > 4 || diff < -4 {
					t.Fatalf("%d of %d requests went to service %s of %+v, want %.1f", requests[share.Service], n, share.Service, r.Split, want)
				}
				if share.Weight == 0 && requests[share.Service] > 0 {
					t.Fatalf("service %s with weight 0 got %d requests", share.Service, requests[share.Service])
				}
			}
		}
	})
}

// TestFirstRequestsOfNodesAreSplit guards against nodes that all send their first requests after a
// start or a new version to the same service, so that it gets most of those of a large fleet.
func TestFirstRequestsOfNodesAreSplit(t *testing.T) {
	const nodes = 1000
	r := splitRoute(route.WeightedService{Service: "a", Weight: 6}, route.WeightedService{Service: "b", Weight: 4})
	requests := 0
	for seed := range uint64(nodes) {
		if newSplitter(seed).ChooseService(r) == "b" {
			requests++
		}
	}
	if requests < 350 || requests > 450 {
		t.Errorf("%d of %d nodes sent their first request to the service with 0.4 of the weights, want about 400", requests, nodes)
	}
}
