package mesh

import "time"

const (
	// maxReceipts bounds the received requests that are remembered, in 1 MB of memory. A node
	// that receives 300 requests per second remembers them for nearly a minute.
	maxReceipts = 16_384
	// fenceMargin is the longest time that the question whether a request has arrived may
	// take on its way. It lengthens the period for which receipts have to be known.
	fenceMargin = time.Second
)

// FenceResult is the answer to the question whether a request has arrived.
type FenceResult uint8

// The answers.
const (
	// FenceUnknown means that the node cannot tell.
	FenceUnknown FenceResult = iota
	// FenceReceived means that the request has arrived and may have run.
	FenceReceived
	// FenceSet means that the request has not arrived. If it does later, it does not run.
	FenceSet
)

// receipts remembers which requests of other nodes have arrived, and which must not run any
// more, by a hash of their IDs.
type receipts struct {
	entries map[uint64]receipt
	// order is a ring of the hashes in the order in which they were added; next is the
	// position of the oldest one once the ring is full.
	order []uint64
	next  int
	// complete is the time from which on all receipts are known.
	complete time.Duration
}

// receipt is one request. fenced is set if it must not run.
type receipt struct {
	at     time.Duration
	fenced bool
}

func newReceipts(startedAt time.Duration) receipts {
	return receipts{entries: map[uint64]receipt{}, complete: startedAt}
}

func (r *receipts) add(hash uint64, entry receipt) {
	if len(r.order) < maxReceipts {
		r.order = append(r.order, hash)
	} else {
		oldest := r.order[r.next]
		r.complete = max(r.complete, r.entries[oldest].at)
		delete(r.entries, oldest)
		r.order[r.next] = hash
		r.next = (r.next + 1) % maxReceipts
	}
	r.entries[hash] = entry
}

// ReceiveWork records that a request of another node has arrived. It reports false if the
// request must not run, because the other node was told so.
func (n *Node) ReceiveWork(now time.Duration, requestHash uint64) bool {
	known, ok := n.receipts.entries[requestHash]
	if !ok {
		n.receipts.add(requestHash, receipt{at: now})
	}
	return !known.fenced
}

// Fence answers whether a request that another node sent so long ago has arrived. If it has
// certainly not, it will never run.
func (n *Node) Fence(now time.Duration, requestHash uint64, sentAgo time.Duration) FenceResult {
	known, ok := n.receipts.entries[requestHash]
	switch {
	case ok && known.fenced:
		return FenceSet
	case ok:
		return FenceReceived
	case now-sentAgo-fenceMargin < n.receipts.complete:
		return FenceUnknown
	}
	n.receipts.add(requestHash, receipt{at: now, fenced: true})
	return FenceSet
}
