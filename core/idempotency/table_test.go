package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/wire"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

const window = 10 * time.Second

// keyModel is the expected state of a key.
type keyModel struct {
	running   bool
	lastRunAt time.Duration
	hasRun    bool
}

// TestKeyRunsOnceWithinWindow applies any sequence of calls, ends of runs,
// configuration changes and passing time to a table. The request of a key must not
// run again before the window of the key has passed.
func TestKeyRunsOnceWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := idempotency.KeyTableConfig{Window: window, MaxKeys: 4, MaxBytes: 100}
		table, now := idempotency.NewKeyTable(cfg, 0), time.Duration(0)
		keys := map[string]*keyModel{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "key"))
			k := keys[key]
			if k == nil {
				k = &keyModel{}
				keys[key] = k
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				decision, result := table.Admit(now, idempotency.KeyRequest{Key: key, Fingerprint: 1})
				checkDecision(t, decision, result, k, now)
				k.running = k.running || decision == idempotency.DecisionRun
			case 1:
				if k.running {
					finishKey(t, table, now, key, k)
				}
			case 2:
				now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "pass"))
				table.Tick(now)
			case 3:
				cfg.MaxKeys = rapid.IntRange(1, 6).Draw(t, "max")
				table.Configure(now, cfg)
			}
			// 6 is the highest MaxKeys drawn; a lower one forgets no keys.
			if table.ResultBytes() > cfg.MaxBytes || table.KeyCount() > 6 {
				t.Fatalf("%d bytes and %d keys, want at most %d and 6", table.ResultBytes(), table.KeyCount(), cfg.MaxBytes)
			}
		}
	})
}

// checkDecision fails if the decision on a call contradicts the model.
func checkDecision(t *rapid.T, decision idempotency.Decision, result any, k *keyModel, now time.Duration) {
	remembered := k.hasRun && now-k.lastRunAt < window
	switch {
	case decision == idempotency.DecisionRun && (k.running || remembered || now < window):
		t.Fatalf("DecisionRun at %v, want none during a run, within %v of one or of the start: %+v", now, window, k)
	case k.running && decision != idempotency.DecisionJoin:
		t.Fatalf("decision %d during a run, want DecisionJoin", decision)
	case !k.running && remembered && decision != idempotency.DecisionReplay && decision != idempotency.DecisionUnknown:
		t.Fatalf("decision %d after a run, want DecisionReplay or DecisionUnknown", decision)
	case decision == idempotency.DecisionReplay && result == nil:
		t.Fatal("DecisionReplay without a stored result")
	}
}

// finishKey ends the run of a key in the table and the model.
func finishKey(t *rapid.T, table *idempotency.KeyTable, now time.Duration, key string, k *keyModel) {
	ran := rapid.Bool().Draw(t, "ran")
	var result any
	if ran && rapid.Bool().Draw(t, "whole") {
		result = key
	}
	table.Finish(now, key, ran, result, rapid.IntRange(0, 60).Draw(t, "size"))
	k.running = false
	if ran {
		k.hasRun, k.lastRunAt = true, now
	}
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	table := idempotency.NewKeyTable(idempotency.KeyTableConfig{Window: window, MaxKeys: 4, MaxBytes: 100}, 0)
	issued := idempotency.KeyRequest{Key: "k", Fingerprint: 1, Issued: true}
	if decision, _ := table.Admit(0, issued); decision != idempotency.DecisionRun {
		t.Fatalf("decision on an issued key: %d, want DecisionRun", decision)
	}
	other := issued
	other.Fingerprint = 2
	if decision, _ := table.Admit(0, other); decision != idempotency.DecisionKeyReused {
		t.Fatalf("decision on a key used for another request: %d, want DecisionKeyReused", decision)
	}
}

func TestLongerWindowDelaysUnknownKeys(t *testing.T) {
	table := idempotency.NewKeyTable(idempotency.KeyTableConfig{Window: window, MaxKeys: 4}, 0)
	now := 5 * window
	table.Configure(now, idempotency.KeyTableConfig{Window: 3 * window, MaxKeys: 4})
	if wait := table.WaitTime(now, idempotency.KeyRequest{Key: "k"}); wait != 2*window {
		t.Fatalf("a request with an unknown key must wait %v, want %v", wait, 2*window)
	}
}

// TestSendRunsOnceAndNeverAfterRefusal applies any sequence of copies, fences,
// ends of runs and passing time to the table of sends. All copies have the stamp
// of the original send.
func TestSendRunsOnceAndNeverAfterRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sends, now := idempotency.NewSendTable(100), time.Duration(0)
		stamp := func(at time.Duration) wire.Stamp {
			return wire.Stamp{Incarnation: 1, UptimeMS: uint64(at / time.Millisecond)}
		}
		send, sent := wire.SendID{Sequence: 1}, stamp(0)
		accepted, inProgress, refused := 0, false, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			fresh := idempotency.IsStampFresh(stamp(now), sent)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if fresh && sends.RecordArrival(now, send) == idempotency.SendNew {
					accepted++
					inProgress = true
					if accepted > 1 || refused {
						t.Fatalf("send accepted %d times, refused: %v; want it accepted once and never after a refusal", accepted, refused)
					}
				}
			case 1:
				if !sends.Fence(now, send) && fresh {
					refused = true
					if inProgress {
						t.Fatal("Fence reported a send in progress as not run")
					}
				}
			case 2:
				if inProgress {
					ran := rapid.Bool().Draw(t, "ran")
					sends.Finish(now, send, ran)
					inProgress, refused = false, !ran
				}
			case 3:
				now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass"))
				sends.Tick(now)
			}
		}
	})
}

func TestIssuedKeyIsAcceptedOnlyByItsIssuer(t *testing.T) {
	issuer := idempotency.NewIssuer("pay-1", 9)
	key := issuer.Issue(0)
	issued, ok := idempotency.ParseIssuedKey(key)
	if !ok || issued.Target != "pay-1" || !issuer.Accepts(issued) {
		t.Fatalf("key %q parsed as %+v, want a key of pay-1 that its issuer accepts", key, issued)
	}
	if idempotency.NewIssuer("pay-1", 10).Accepts(issued) {
		t.Fatal("a restarted owner accepted a key of its earlier run")
	}
	issuer.Tick(window, window)
	if issuer.Accepts(issued) {
		t.Fatal("an expired key was accepted")
	}
	if _, ok := idempotency.ParseIssuedKey("own.pay-1.x"); ok {
		t.Fatal("a malformed key was parsed as an issued key")
	}
}
