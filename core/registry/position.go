package registry

import "cmp"

// Position is a place in the history of the store. A store that was restored from an older
// copy goes on at a lower revision in the next era, so revisions of different eras cannot
// be compared.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1 if p comes before q, 0 if they are equal and 1 if p comes after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p comes after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// max returns the later of p and q.
func (p Position) max(q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
