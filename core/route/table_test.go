package route_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/route"
)

// newTable returns an indexed table of the given routes.
func newTable(routes ...*route.Route) *route.Table {
	t := &route.Table{Version: 1, Routes: routes}
	t.BuildIndex()
	return t
}

func TestLookupFindsLongestPrefix(t *testing.T) {
	short := &route.Route{Name: "short", Host: "shop.example", Prefix: "/a/"}
	long := &route.Route{Name: "long", Host: "Shop.example", Prefix: "/a/b/"}
	other := &route.Route{Name: "other", Host: "else.example", Prefix: "/a/b/c/"}
	table := newTable(short, long, other)
	for _, c := range []struct {
		host, path string
		want       *route.Route
	}{
		{"shop.example", "/a/x", short},
		{"shop.example", "/a/b/c/d", long},
		{"SHOP.example:8080", "/a/b/x?y=/z/", long},
		{"shop.example", "/a", nil},
		{"shop.example", "/b/a/", nil},
		{"shop.example", "/b/?q=/a/", nil},
		{"nobody.example", "/a/", nil},
	} {
		if got := table.Lookup(c.host, c.path); got != c.want {
			t.Errorf("%s%s: got %v, want %v", c.host, c.path, got, c.want)
		}
	}
}

// TestSplitFollowsWeights checks that in any number of requests each service gets
// its share to within four requests, which is the highest number of services drawn.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &route.Route{Host: "h", Prefix: "/"}
		totalWeight := 0
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			weight := rapid.IntRange(1, 100).Draw(t, "weight")
			r.Split = append(r.Split, route.WeightedService{Service: string(rune('a' + i)), Weight: weight})
			totalWeight += weight
		}
		s, requests := newSplitter(1), map[string]int{}
		n := rapid.IntRange(1, 1000).Draw(t, "requests")
		for range n {
			requests[s.ChooseService(r)]++
		}
		for _, share := range r.Split {
			want := float64(n*share.Weight) / float64(totalWeight)
			if diff := float64(requests[share.Service]) - want; diff > 4 || diff < -4 {
				t.Fatalf("%d of %d requests went to service %s, want %.1f", requests[share.Service], n, share.Service, want)
			}
		}
	})
}

func TestServiceWithZeroWeightGetsNoRequests(t *testing.T) {
	r := &route.Route{Host: "h", Prefix: "/", Split: []route.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 3}}}
	s := newSplitter(1)
	for range 50 {
		if got := s.ChooseService(r); got != "b" {
			t.Fatalf("chose service %s, want b", got)
		}
	}
}
