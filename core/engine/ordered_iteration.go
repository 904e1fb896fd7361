package engine

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in ascending order. Map iteration order must
// not influence the engine's actions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// openAttempts returns the open attempts in the order in which they were
// started.
func (n *Node) openAttempts() []*attempt {
	open := make([]*attempt, 0, len(n.attempts))
	for _, id := range sortedKeys(n.attempts) {
		open = append(open, n.attempts[id])
	}
	return open
}
