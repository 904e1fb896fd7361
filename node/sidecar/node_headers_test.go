package sidecar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// TestRateLimitMustBeFinite guards against a limit that stops all requests to an upstream
// for good, because it is not a number to reckon with.
func TestRateLimitMustBeFinite(t *testing.T) {
	for text, want := range map[string]bool{"8.3": true, "0": true, "": false, "-1": false, "NaN": false, "Inf": false, "1e999": false, "8,3": false} {
		if limit, ok := parseRateLimit(text); ok != want {
			t.Errorf("%q: got %v and %v, want %v", text, limit, ok, want)
		}
	}
}

// TestNodeHeadersRoundTrip checks that the header fields between nodes decode to what
// was encoded, and that arbitrary text does not cause a panic.
func TestNodeHeadersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := upstreamRequest{
			rank: mesh.Rank{
				Priority: rapid.IntRange(0, 100).Draw(t, "priority"),
				Age:      time.Duration(rapid.IntRange(0, 100000).Draw(t, "age")) * time.Millisecond,
				Root:     rapid.Uint32().Draw(t, "root"), IsRetry: rapid.Bool().Draw(t, "rerun"),
			},
			routeID: rapid.Uint32().Draw(t, "route"), nonIdempotent: rapid.Bool().Draw(t, "once"),
		}
		if req.limited = rapid.Bool().Draw(t, "limited"); req.limited {
			req.rateLimit = rapid.Float64Range(0, 1e6).Draw(t, "limit")
		}
		var got upstreamRequest
		if !parseRank(formatRank(&req), &got) || got != req {
			t.Fatalf("%+v became %+v", req, got)
		}
		o := mesh.Outcome{
			Kind:   mesh.OutcomeKind(rapid.IntRange(int(mesh.OutcomeAnswered), int(mesh.OutcomeUnknown)).Draw(t, "kind")),
			Reason: mesh.Reason(rapid.IntRange(0, int(mesh.ReasonCrashed)).Draw(t, "reason")), ReachedUpstream: rapid.Bool().Draw(t, "reached"),
		}
		var parsed mesh.Outcome
		if !parseResult(formatResult(o), &parsed) || parsed != o {
			t.Fatalf("%+v became %+v", o, parsed)
		}
		load := mesh.Load{Running: rapid.IntRange(0, 999).Draw(t, "running"), Queued: rapid.IntRange(0, 999).Draw(t, "queued"), Limit: rapid.IntRange(0, 999).Draw(t, "limit")}
		if decoded, ok := parseLoad(formatLoad(load)); !ok || decoded != load {
			t.Fatalf("%+v became %+v", load, decoded)
		}
		text := rapid.String().Draw(t, "text")
		parseRank(text, &got)
		parseResult(text, &parsed)
		_, _ = parseLoad(text)
	})
}

func TestParseResultRejectsMalformedText(t *testing.T) {
	var o mesh.Outcome
	for _, text := range []string{"", "1 1", "0 1 none", "4 1 none", "x 1 none", "1 1 none more"} {
		if parseResult(text, &o) {
			t.Errorf("%q was parsed as %+v", text, o)
		}
	}
}
