package registry_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestUnusableUpstreamIsRefused guards against a registration that one node accepts and another
// one refuses, or that no request can be sent to.
func TestUnusableUpstreamIsRefused(t *testing.T) {
	valid := registry.Upstream{ID: "i", Service: "s", Address: "10.0.0.2:80", Instance: "10.0.0.2", DataCentre: "a", Slots: 5}
	if err := valid.Validate(); err != nil {
		t.Fatalf("a valid registration is refused: %v", err)
	}
	long := strings.Repeat("x", 257)
	for name, change := range map[string]func(*registry.Upstream){
		"no ID":           func(u *registry.Upstream) { u.ID = "" },
		"long ID":         func(u *registry.Upstream) { u.ID = long },
		"no service":      func(u *registry.Upstream) { u.Service = "" },
		"long service":    func(u *registry.Upstream) { u.Service = long },
		"long zone":       func(u *registry.Upstream) { u.DataCentre = long },
		"no port":         func(u *registry.Upstream) { u.Address = "10.0.0.2:" },
		"port 0":          func(u *registry.Upstream) { u.Address = "10.0.0.2:0" },
		"port too large":  func(u *registry.Upstream) { u.Address = "10.0.0.2:65536" },
		"other instance":  func(u *registry.Upstream) { u.Instance = "10.0.0.3" },
		"other spelling":  func(u *registry.Upstream) { u.Address = "10.0.0.2:0080" },
		"no upstream":     func(u *registry.Upstream) { u.Address, u.Instance = "0.0.0.0:80", "0.0.0.0" },
		"no slots":        func(u *registry.Upstream) { u.Slots = 0 },
		"too many slots":  func(u *registry.Upstream) { u.Slots = 1_000_001 },
		"cold for ever":   func(u *registry.Upstream) { u.ColdUntil = math.MaxInt64 },
		"warm before now": func(u *registry.Upstream) { u.ColdUntil = -time.Second },
		"negative start":  func(u *registry.Upstream) { u.Born = -1 },
		"negative count":  func(u *registry.Upstream) { u.Sequence = -1 },
	} {
		u := valid
		change(&u)
		if err := u.Validate(); !errors.Is(err, registry.ErrInvalidUpstream) || len(err.Error()) > 400 {
			t.Errorf("%s: error %v, want a short one marked with ErrInvalidUpstream", name, err)
		}
	}
}
