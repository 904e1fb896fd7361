package owner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/core/wire"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

const window = 10 * time.Second

// keyModel is what really happened to a key.
type keyModel struct {
	running bool
	ran     time.Duration
	hasRun  bool
}

// TestTableRunsAKeyOnceInItsWindow plays any interleaving of sends, ends of
// runs, document changes and time against a table.
func TestTableRunsAKeyOnceInItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := owner.Config{Window: window, MaxKeys: 4, MaxBytes: 100}
		table, now := owner.NewTable(cfg, 0), time.Duration(0)
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
				verdict, held := table.Admit(now, owner.Ask{Key: key, Fingerprint: 1})
				checkVerdict(t, verdict, held, k, now)
				k.running = k.running || verdict == owner.VerdictRun
			case 1:
				if k.running {
					finish(t, table, now, key, k)
				}
			case 2:
				now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "pass"))
				table.Tick(now)
			case 3:
				cfg.MaxKeys = rapid.IntRange(1, 6).Draw(t, "max")
				table.Configure(now, cfg)
			}
			if table.Bytes() > cfg.MaxBytes || table.Keys() > 6 {
				t.Fatalf("%d bytes and %d keys", table.Bytes(), table.Keys())
			}
		}
	})
}

func checkVerdict(t *rapid.T, verdict owner.Verdict, held any, k *keyModel, now time.Duration) {
	remembered := k.hasRun && now-k.ran < window
	switch {
	case verdict == owner.VerdictRun && (k.running || remembered || now < window):
		t.Fatalf("ran again at %v: %+v", now, k)
	case k.running && verdict != owner.VerdictJoin:
		t.Fatalf("verdict %d while it runs", verdict)
	case !k.running && remembered && verdict != owner.VerdictHeld && verdict != owner.VerdictUnknown:
		t.Fatalf("verdict %d after it ran", verdict)
	case verdict == owner.VerdictHeld && held == nil:
		t.Fatal("held nothing")
	}
}

func finish(t *rapid.T, table *owner.Table, now time.Duration, key string, k *keyModel) {
	ran := rapid.Bool().Draw(t, "ran")
	var result any
	if ran && rapid.Bool().Draw(t, "whole") {
		result = key
	}
	table.Finish(now, key, ran, result, rapid.IntRange(0, 60).Draw(t, "size"))
	k.running = false
	if ran {
		k.hasRun, k.ran = true, now
	}
}

func TestKeyStandsForOneRequest(t *testing.T) {
	table := owner.NewTable(owner.Config{Window: window, MaxKeys: 4, MaxBytes: 100}, 0)
	issued := owner.Ask{Key: "k", Fingerprint: 1, Issued: true}
	if v, _ := table.Admit(0, issued); v != owner.VerdictRun {
		t.Fatalf("an issued key waits: %d", v)
	}
	other := issued
	other.Fingerprint = 2
	if v, _ := table.Admit(0, other); v != owner.VerdictReused {
		t.Fatalf("the key stands for two requests: %d", v)
	}
}

func TestLongerWindowClosesTheTableForTheDifference(t *testing.T) {
	table := owner.NewTable(owner.Config{Window: window, MaxKeys: 4}, 0)
	now := 5 * window
	table.Configure(now, owner.Config{Window: 3 * window, MaxKeys: 4})
	if in := table.OpensIn(now, owner.Ask{Key: "k"}); in != 2*window {
		t.Fatalf("opens in %v", in)
	}
}

// TestSendIsTakenOnceAndNeverAfterItsRefusal plays any order of copies, fences,
// ends and time against the receipts; every copy bears the send's stamp.
func TestSendIsTakenOnceAndNeverAfterItsRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		receipts, now := owner.NewReceipts(100), time.Duration(0)
		stamp := func(at time.Duration) wire.Stamp {
			return wire.Stamp{Incarnation: 1, Clock: uint64(at / time.Millisecond)}
		}
		send, sent := wire.SendID{Sequence: 1}, stamp(0)
		taken, open, refused := 0, false, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			fresh := owner.Fresh(stamp(now), sent)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if fresh && receipts.Arrive(now, send) == owner.FateNew {
					taken++
					open = true
					if taken > 1 || refused {
						t.Fatalf("taken %d times, refused %v", taken, refused)
					}
				}
			case 1:
				if !receipts.Fence(now, send) && fresh {
					refused = true
					if open {
						t.Fatal("told not run while it is open")
					}
				}
			case 2:
				if open {
					ran := rapid.Bool().Draw(t, "ran")
					receipts.Finish(now, send, ran)
					open, refused = false, !ran
				}
			case 3:
				now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass"))
				receipts.Tick(now)
			}
		}
	})
}

func TestIssuedKeyNamesItsOwner(t *testing.T) {
	issuer := owner.NewIssuer("pay-1", 9)
	key := issuer.Issue(0)
	issued, ok := owner.ParseIssued(key)
	if !ok || issued.Target != "pay-1" || !issuer.Takes(issued) {
		t.Fatalf("%q gave %+v", key, issued)
	}
	if owner.NewIssuer("pay-1", 10).Takes(issued) {
		t.Fatal("a restarted owner took a key of its earlier run")
	}
	issuer.Tick(window, window)
	if issuer.Takes(issued) {
		t.Fatal("an old key was taken")
	}
	if _, ok := owner.ParseIssued("own.pay-1.x"); ok {
		t.Fatal("a broken key was taken for an issued one")
	}
}
