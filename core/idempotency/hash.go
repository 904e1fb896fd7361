// Package idempotency ensures that a request which is not idempotent runs at most
// once. Each idempotency key is owned by one of the target names that the
// document configures for the service. These names are the same at every node,
// whatever the member list contains, so two nodes never both own a key.
package idempotency

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TargetName returns the i-th stable target name of a service, counted from 1.
func TargetName(service string, i int) string {
	return service + "-" + strconv.Itoa(i)
}

// TargetForKey returns the target name that owns key, selected by rendezvous
// hashing over the service's stable target names. It is empty if targets is 0.
func TargetForKey(service string, targets int, key string) string {
	var best string
	var bestScore uint64
	for i := 1; i <= targets; i++ {
		name := TargetName(service, i)
		score := rendezvousScore(name, key)
		if best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

func rendezvousScore(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
