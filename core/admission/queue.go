package admission

import (
	"cmp"
	"slices"
	"time"
)

// queue holds waiting items, the best first: by rank, then the deeper in its
// chain, then the earlier.
type queue struct {
	items []Item
	next  uint64
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.sequence, b.sequence))
}

func (q *queue) len() int { return len(q.items) }

// push adds item, in order.
func (q *queue) push(item Item) {
	q.next++
	item.sequence = q.next
	at, _ := slices.BinarySearchFunc(q.items, item, compareItems)
	q.items = slices.Insert(q.items, at, item)
}

// popBest takes the item that goes first.
func (q *queue) popBest() Item {
	item := q.items[0]
	q.items = slices.Delete(q.items, 0, 1)
	return item
}

// popWorst takes the item that gives way first.
func (q *queue) popWorst() Item {
	item := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return item
}

func (q *queue) best() Item { return q.items[0] }

func (q *queue) worst() Item { return q.items[len(q.items)-1] }

func (q *queue) remove(id uint64) {
	q.items = slices.DeleteFunc(q.items, func(i Item) bool { return i.ID == id })
}

// takeOld removes the items that wait longer than limit or whose deadline has
// come, and returns them.
func (q *queue) takeOld(now, limit time.Duration) []Item {
	var old []Item
	q.items = slices.DeleteFunc(q.items, func(i Item) bool {
		if now-i.queued <= limit && i.Deadline > now {
			return false
		}
		old = append(old, i)
		return true
	})
	return old
}
