package engine

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in order: what is done for each of them must
// not depend on the order of a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// openAttempts returns the open attempts in the order they were made.
func (n *Node) openAttempts() []*attempt {
	open := make([]*attempt, 0, len(n.attempts))
	for _, id := range sortedKeys(n.attempts) {
		open = append(open, n.attempts[id])
	}
	return open
}
