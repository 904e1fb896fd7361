package sidecar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// TestHopLinesRoundTrip: what one node writes the other reads, and nothing else.
func TestHopLinesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := work{
			rank: mesh.Rank{
				Priority: rapid.IntRange(0, 100).Draw(t, "priority"),
				Age:      time.Duration(rapid.IntRange(0, 100000).Draw(t, "age")) * time.Millisecond,
				Root:     rapid.Uint32().Draw(t, "root"), Rerun: rapid.Bool().Draw(t, "rerun"),
			},
			route: rapid.Uint32().Draw(t, "route"), once: rapid.Bool().Draw(t, "once"),
		}
		var got work
		if !parseRank(formatRank(&w), &got) || got != w {
			t.Fatalf("%+v became %+v", w, got)
		}
		o := mesh.Outcome{
			Kind:   mesh.OutcomeKind(rapid.IntRange(int(mesh.Answered), int(mesh.Unknown)).Draw(t, "kind")),
			Reason: mesh.Reason(rapid.IntRange(0, int(mesh.ReasonCrasher)).Draw(t, "reason")), Reached: rapid.Bool().Draw(t, "reached"),
		}
		var told mesh.Outcome
		if !parseResult(formatResult(o), &told) || told != o {
			t.Fatalf("%+v became %+v", o, told)
		}
		l := mesh.Load{Running: rapid.IntRange(0, 999).Draw(t, "running"), Queued: rapid.IntRange(0, 999).Draw(t, "queued"), Limit: rapid.IntRange(0, 999).Draw(t, "limit")}
		if back, ok := parseLoad(formatLoad(l)); !ok || back != l {
			t.Fatalf("%+v became %+v", l, back)
		}
		text := rapid.String().Draw(t, "text")
		parseRank(text, &got)
		parseResult(text, &told)
		_, _ = parseLoad(text)
	})
}

func TestForeignResultsAreRefused(t *testing.T) {
	var o mesh.Outcome
	for _, text := range []string{"", "1 1", "0 1 none", "4 1 none", "x 1 none", "1 1 none more"} {
		if parseResult(text, &o) {
			t.Errorf("%q was taken as %+v", text, o)
		}
	}
}
