package mesh

import (
	"cmp"
	"slices"
	"time"
)

// sumMessages splits sums into messages. If they take more than maxSumMessages, the next
// round goes on where this one ends.
func (n *Node) sumMessages(header Message, cursor string, s *sums, covered []string) []Message {
	header.Nodes, header.Covered = uint16(min(s.nodes, 1<<16-1)), covered
	fixed := messageHeaderBytes + len(header.DataCentre)
	for _, name := range covered {
		fixed += coveredBytes + len(name)
	}
	all := []Message{header}
	used := fixed
	next := func(size int) *Message {
		if used+size > MaxMessageBytes {
			all, used = append(all, header), fixed
		}
		used += size
		return &all[len(all)-1]
	}
	for _, sum := range s.sortedServices() {
		m := next(sum.bytes())
		m.Services = append(m.Services, sum)
	}
	for _, d := range s.sortedDemand() {
		m := next(demandStatBytes)
		m.Demand = append(m.Demand, d)
	}
	rounds := (len(all) + maxSumMessages - 1) / maxSumMessages
	for i := range all {
		all[i].RefreshMS = uint32(time.Duration(rounds) * relayInterval / time.Millisecond)
	}
	start := n.relay.sumCursor[cursor] % len(all)
	count := min(len(all), maxSumMessages)
	n.relay.sumCursor[cursor] = start + count
	var out []Message
	for i := range count {
		out = append(out, all[(start+i)%len(all)])
	}
	return out
}

// remoteInstances returns, sorted, the instances of other data centres of which relays told.
func (n *Node) remoteInstances() (list []string) {
	for instance, dataCentre := range n.instances {
		if dataCentre != n.cfg.DataCentre && n.peers[instance] != nil && n.peers[instance].relayedAt > 0 {
			list = append(list, instance)
		}
	}
	slices.Sort(list)
	return list
}

// updateRelayedStates notes which states have changed since the last round.
func (n *Node) updateRelayedStates(now time.Duration, members []string) {
	for instance := range n.relay.states {
		if n.instances[instance] == "" && !slices.Contains(members, instance) {
			delete(n.relay.states, instance)
		}
	}
	update := func(instance string) {
		s := n.relay.states[instance]
		if s == nil {
			s = &relayedState{sent: map[string]int{}, changed: map[string]int{}}
			n.relay.states[instance] = s
		}
		if flags := n.instanceFlags(now, instance); flags != s.flags {
			s.flags = flags
			for _, cursor := range stateCursors {
				s.changed[cursor] = changedRounds
			}
		}
	}
	for instance := range n.instances {
		update(instance)
	}
	for _, instance := range members {
		update(instance)
	}
}

func (n *Node) instanceFlags(now time.Duration, instance string) (flags InstanceFlags) {
	if instance == n.cfg.Instance {
		if n.leaving {
			flags |= FlagLeaving
		}
		if n.readsStore(now) {
			flags |= FlagReadsStore
		}
		return flags
	}
	p := n.peers[instance]
	if p == nil {
		return 0
	}
	if p.silent(now) {
		flags |= FlagSilent
	}
	if p.leaving(now) {
		flags |= FlagLeaving
	}
	if p.heartbeat.ReadsStore {
		flags |= FlagReadsStore
	}
	return flags
}

// stateMessages returns the message of one round with the states of instances, changed ones
// first, none if there is nothing to tell. If they do not fit, the next round goes on where
// this one ends.
func (n *Node) stateMessages(header Message, cursor string, instances []string, readers []StoreReader) []Message {
	header.Readers = readers
	used := messageHeaderBytes + len(header.DataCentre)
	for i := range readers {
		used += readers[i].bytes()
	}
	examined, inTurn := 0, 0
	for _, instance := range n.orderStates(cursor, instances) {
		relayed := n.relay.states[instance]
		if state, ok := n.instanceState(cursor, instance); ok {
			if used += state.bytes(); used > maxStateBytes {
				break
			}
			header.Instances = append(header.Instances, state)
			relayed.sent[cursor]++
		}
		examined++
		if relayed != nil && relayed.changed[cursor] > 0 {
			relayed.changed[cursor]--
		} else {
			inTurn++
		}
	}
	n.relay.stateCursor[cursor] += inTurn
	if len(header.Instances) == 0 && len(readers) == 0 {
		return nil
	}
	rounds := (len(instances) + max(examined, 1) - 1) / max(examined, 1)
	header.StateRefreshMS = uint32(time.Duration(rounds) * relayInterval / time.Millisecond)
	return []Message{header}
}

// crashMessages returns the messages with pages of crash records.
func crashMessages(header Message, pages []InstanceCrashes) (out []Message) {
	for _, page := range pages {
		m := header
		m.Crashes = []InstanceCrashes{page}
		out = append(out, m)
	}
	return out
}

// orderStates returns the instances in the order in which their states are sent: those that
// changed, then the others from where the last round ended.
func (n *Node) orderStates(cursor string, instances []string) (ordered []string) {
	if len(instances) == 0 {
		return nil
	}
	start := n.relay.stateCursor[cursor] % len(instances)
	for i := range instances {
		ordered = append(ordered, instances[(start+i)%len(instances)])
	}
	unchanged := func(instance string) int {
		s := n.relay.states[instance]
		return boolRank(s == nil || s.changed[cursor] == 0)
	}
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(unchanged(a), unchanged(b)) })
	return ordered
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// instanceState returns the state of an instance as it is passed on. It reports false if
// nothing is known of it.
func (n *Node) instanceState(cursor, instance string) (InstanceState, bool) {
	relayed := n.relay.states[instance]
	address := encodeAddress(instance)
	if relayed == nil || address == nil {
		return InstanceState{}, false
	}
	h, load, routes := &Heartbeat{}, n.Load(), n.runTimes.stats()
	if instance == n.cfg.Instance {
		h.Incarnation, h.FaultShare = n.cfg.Incarnation, float32(n.faults.share)
	} else {
		p := n.peers[instance]
		if p == nil || p.heartbeatAt == 0 {
			return InstanceState{}, false
		}
		h, load, routes = &p.heartbeat, p.load, p.heartbeat.Routes
	}
	state := InstanceState{
		Address: address, Incarnation: h.Incarnation, Flags: relayed.flags, Running: limitedUint16(load.Running),
		Queued: limitedUint16(load.Queued), Limit: limitedUint16(load.Limit), FaultLevel: faultLevel(float64(h.FaultShare)),
	}
	if relayed.sent[cursor]%runTimeRounds == 0 {
		state.Routes = routes
	}
	return state, true
}

func limitedUint16(v int) uint16 { return uint16(min(max(v, 0), 1<<16-1)) }
