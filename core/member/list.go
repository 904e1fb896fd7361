package member

import "time"

const (
	// confirmAfter is how long a list that lost half its lines at once has to
	// stay so before it is believed without other signs.
	confirmAfter = 2 * time.Minute
	// doubtFrom is the number of lines from which a loss of half is doubted.
	doubtFrom = 4
	// dropAfter is how long an instance that the list no longer names is kept
	// after it was last heard.
	dropAfter = 5 * time.Minute
)

// doubt is a list that lost half of its lines at once.
type doubt struct {
	active bool
	since  time.Duration
}

// Merge takes the platform's list in. New lines count at once. Missing lines
// count at once too, unless half or more of them are missing: then only when
// the list stays so for confirmAfter, or half of the missing are lost as links
// as well.
func (v *View) Merge(now time.Duration, list []Instance) {
	named := make(map[string]bool, len(list))
	for i := range list {
		named[list[i].Target] = true
		v.mergeLine(now, list[i])
	}
	var missing []*Peer
	listed := 0
	for _, p := range v.All() {
		if !p.listed {
			continue
		}
		listed++
		if !named[p.Target] {
			missing = append(missing, p)
		}
	}
	if v.believe(now, listed, missing) {
		for _, p := range missing {
			v.unlist(p)
		}
	}
}

func (v *View) mergeLine(now time.Duration, inst Instance) {
	p := v.peers[inst.Target]
	if p == nil {
		if p = v.add(inst); p == nil {
			return
		}
		p.heard = now
	}
	if p.Target == v.cfg.Self.Target {
		// The list may still speak of the run before this one.
		inst.Leaving = false
	}
	if inst.Leaving && (!p.Leaving || !p.listed) {
		p.leavingRun = p.Incarnation
	}
	if !p.listed || p.gone || p.Leaving != inst.Leaving {
		v.epoch++
	}
	p.Leaving = inst.Leaving
	p.listed, p.gone = true, false
	v.readdress(p, inst)
}

// readdress takes service, data centre and addresses over from the list, unless
// a newer run has told others that the list does not name yet.
func (v *View) readdress(p *Peer, inst Instance) {
	if p.Instance == inst {
		p.moved = false
		return
	}
	if p.moved && !p.avoid {
		return
	}
	v.part(p)
	p.Instance = inst
	v.join(p)
	v.changed()
}

// unlist notes that the list no longer names p. While p is heard it stays in
// use: the list may be behind.
func (v *View) unlist(p *Peer) {
	p.listed = false
	p.gone = !p.Linked && p.Target != v.cfg.Self.Target
	v.epoch++
}

func (v *View) believe(now time.Duration, listed int, missing []*Peer) bool {
	if listed < doubtFrom || 2*len(missing) < listed {
		v.doubt.active = false
		return true
	}
	if !v.doubt.active {
		v.doubt = doubt{active: true, since: now}
	}
	lost := 0
	for _, p := range missing {
		if p.avoid {
			lost++
		}
	}
	return 2*lost >= len(missing) || now-v.doubt.since >= confirmAfter
}

// Doubted tells whether the latest list is not believed yet.
func (v *View) Doubted() bool { return v.doubt.active }
