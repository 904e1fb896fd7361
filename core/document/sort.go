package document

import (
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in order: what is built from a map must not
// depend on the order of its iteration.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
