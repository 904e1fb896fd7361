package registry

import (
	"cmp"
	"slices"
)

// SetServices tells which services the operators list. An entry of any other service takes neither
// an address nor an instance from one of these.
func (r *Registry) SetServices(listed func(service string) bool) {
	r.listed = listed
	r.rebuildIndex()
}

// rebuildIndex rebuilds the lists by service, each sorted by ID. Of several
// entries with the same address the one that holds it is used.
func (r *Registry) rebuildIndex() {
	clear(r.byService)
	for _, e := range r.newestBy(func(e *entry) string { return e.Address }) {
		r.byService[e.Service] = append(r.byService[e.Service], &e.Upstream)
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// newestBy returns, of the entries with the same key, the one that takes the place of the others.
func (r *Registry) newestBy(key func(*entry) string) map[string]*entry {
	newest := make(map[string]*entry, len(r.entries))
	for _, e := range r.entries {
		k := key(e)
		if current := newest[k]; current == nil || r.takesPlace(e, current) {
			newest[k] = e
		}
	}
	return newest
}

// takesPlace reports whether the entry a takes the place of b, which has the same address or
// instance: those of listed services go first.
func (r *Registry) takesPlace(a, b *entry) bool {
	if listed := r.isListed(a); listed != r.isListed(b) {
		return listed
	}
	return a.takesAddress(&b.Upstream)
}

func (r *Registry) isListed(e *entry) bool { return r.listed == nil || r.listed(e.Service) }
