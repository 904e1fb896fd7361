package mesh

import (
	"testing"
	"time"
)

// TestFencedRequestNeverRuns guards against telling a caller that a request has not run
// although it has, or runs later.
func TestFencedRequestNeverRuns(t *testing.T) {
	const now = time.Hour
	n := newFleet(t, testRoute("a", true))[0]
	if !n.ReceiveWork(now, 1) || n.Fence(now, 1, time.Second) != FenceReceived {
		t.Error("a request that arrived is not known as received")
	}
	if n.Fence(now, 2, time.Second) != FenceSet || n.ReceiveWork(now, 2) {
		t.Error("a request that had not arrived runs after it was fenced")
	}
	if n.Fence(now, 2, time.Second) != FenceSet {
		t.Error("a second question about a fenced request has another answer")
	}
	restarted := startNode(t, Config{Instance: "10.0.0.1", StartedAt: now, RetryBounds: testRetryBounds}, testRoute("a", true))
	if got := restarted.Fence(now+2*time.Second, 3, 1500*time.Millisecond); got != FenceUnknown {
		t.Errorf("answer %d for a request that the earlier process may have run, want FenceUnknown", got)
	}
	if got := restarted.Fence(now+3*time.Second, 3, 1500*time.Millisecond); got != FenceSet {
		t.Errorf("answer %d for a request that was sent after the start, want FenceSet", got)
	}
}

// TestForgottenReceiptsAreUnknown guards against fencing a request that ran, because the
// table of receipts was full.
func TestForgottenReceiptsAreUnknown(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	for i := range uint64(maxReceipts + 1) {
		n.ReceiveWork(time.Hour+time.Duration(i)*time.Millisecond, i)
	}
	now := time.Hour + maxReceipts*time.Millisecond
	if got := n.Fence(now, 0, maxReceipts*time.Millisecond); got != FenceUnknown {
		t.Errorf("answer %d for a forgotten request, want FenceUnknown", got)
	}
	if got := n.Fence(now, maxReceipts+5, time.Second); got != FenceSet {
		t.Errorf("answer %d for a request sent a second ago, want FenceSet", got)
	}
	if len(n.receipts.entries) > maxReceipts {
		t.Errorf("%d receipts, want at most %d", len(n.receipts.entries), maxReceipts)
	}
}
