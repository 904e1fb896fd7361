package engine

import "container/heap"

// deadlineHeap is a min-heap of open calls, ordered by deadline and then by ID.
type deadlineHeap struct{ calls []*call }

func (h *deadlineHeap) Len() int { return len(h.calls) }

func (h *deadlineHeap) Less(i, j int) bool {
	a, b := h.calls[i], h.calls[j]
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.id < b.id
}

func (h *deadlineHeap) Swap(i, j int) {
	h.calls[i], h.calls[j] = h.calls[j], h.calls[i]
	h.calls[i].heapIndex = i
	h.calls[j].heapIndex = j
}

// Push implements heap.Interface; use add instead.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(h.calls)
	h.calls = append(h.calls, c)
}

// Pop implements heap.Interface; use remove instead.
func (h *deadlineHeap) Pop() any {
	last := len(h.calls) - 1
	c := h.calls[last]
	h.calls[last] = nil
	h.calls = h.calls[:last]
	c.heapIndex = -1
	return c
}

func (h *deadlineHeap) add(c *call) { heap.Push(h, c) }

func (h *deadlineHeap) remove(c *call) {
	if c.heapIndex >= 0 {
		heap.Remove(h, c.heapIndex)
	}
}

// first returns the call with the earliest deadline, nil if there is none.
func (h *deadlineHeap) first() *call {
	if len(h.calls) == 0 {
		return nil
	}
	return h.calls[0]
}
