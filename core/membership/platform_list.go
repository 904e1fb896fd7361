package membership

import "time"

const (
	// shrinkConfirmDelay is how long a list that lost half of its entries must
	// remain so before it is accepted without other evidence.
	shrinkConfirmDelay = 2 * time.Minute
	// minGuardedEntries is the list size from which the loss of half of the entries
	// must be confirmed.
	minGuardedEntries = 4
	// removalDelay is how long an instance that is no longer listed is kept
	// after it was last heard from.
	removalDelay = 5 * time.Minute
)

// shrunkList tracks a list that lost half of its entries at once. since is when it
// was first received.
type shrunkList struct {
	active bool
	since  time.Duration
}

// MergeList applies the platform's member list. New entries take effect
// immediately. Missing entries do too, unless half or more of the listed nodes
// are missing: the list is then accepted only once it has remained so for
// shrinkConfirmDelay, or if the links to at least half of the missing nodes are
// lost or silent as well.
func (v *View) MergeList(now time.Duration, list []Instance) {
	inList := make(map[string]bool, len(list))
	for i := range list {
		inList[list[i].Target] = true
		v.mergeInstance(now, list[i])
	}
	var missing []*Peer
	listed := 0
	for _, p := range v.All() {
		if !p.listed {
			continue
		}
		listed++
		if !inList[p.Target] {
			missing = append(missing, p)
		}
	}
	if v.confirmMissing(now, listed, missing) {
		for _, p := range missing {
			v.markUnlisted(p)
		}
	}
}

// mergeInstance applies one entry of the list.
func (v *View) mergeInstance(now time.Duration, inst Instance) {
	p := v.peers[inst.Target]
	if p == nil {
		if p = v.add(inst); p == nil {
			return
		}
		p.lastHeard = now
	}
	if p.Target == v.cfg.Self.Target {
		// The entry may refer to an earlier run of this node.
		inst.Leaving = false
	}
	if inst.Leaving && (!p.Leaving || !p.listed) {
		p.leavingIncarnation = p.Incarnation
	}
	if !p.listed || p.dropped || p.Leaving != inst.Leaving {
		v.epoch++
	}
	p.Leaving = inst.Leaving
	p.listed, p.dropped = true, false
	v.updateInstance(p, inst)
}

// updateInstance adopts service, data centre and addresses from the list, unless
// a newer run has announced other values that the list does not contain yet. If
// that run is unreachable, the list wins.
func (v *View) updateInstance(p *Peer, inst Instance) {
	if p.Instance == inst {
		p.instanceOverridden = false
		return
	}
	if p.instanceOverridden && !p.unreachable {
		return
	}
	v.removeFromService(p)
	p.Instance = inst
	v.addToService(p)
	v.invalidate()
}

// markUnlisted records that the list no longer contains p. A linked node stays
// in use, because the list may lag behind.
func (v *View) markUnlisted(p *Peer) {
	p.listed = false
	p.dropped = !p.Linked && p.Target != v.cfg.Self.Target
	v.epoch++
}

// confirmMissing reports whether the entries missing from the list may be
// removed, and updates shrunkList; listed is the number of nodes listed before.
func (v *View) confirmMissing(now time.Duration, listed int, missing []*Peer) bool {
	if listed < minGuardedEntries || 2*len(missing) < listed {
		v.shrunkList.active = false
		return true
	}
	if !v.shrunkList.active {
		v.shrunkList = shrunkList{active: true, since: now}
	}
	unreachable := 0
	for _, p := range missing {
		if p.unreachable {
			unreachable++
		}
	}
	return 2*unreachable >= len(missing) || now-v.shrunkList.since >= shrinkConfirmDelay
}

// ListShrunk reports whether the latest list lost half of its entries at once. It
// stays true until the next list, even if the loss was confirmed.
func (v *View) ListShrunk() bool { return v.shrunkList.active }
