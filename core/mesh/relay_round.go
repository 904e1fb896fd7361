package mesh

import (
	"cmp"
	"slices"
	"time"
)

// relayRound returns the messages of one round: to the nodes of the own data centre and to
// the relays of the others.
func (n *Node) relayRound(now time.Duration) []Outgoing {
	r := &n.relay
	r.round++
	header := Message{Version: MessageVersion, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre, Round: r.round, Urgent: r.urgent}
	r.roundAt, r.urgent = now, false
	if r.actingSince == 0 {
		r.actingSince = now
	}
	members := n.members(now)
	n.updateRelayedStates(now, members)
	own := n.sumReporters(now, false)
	r.toldDemand, r.toldLimit = own.totals()
	readers := n.storeReaders(now)
	crashes, ownCrashes := r.crashes.take(now, n.instances, n.cfg.DataCentre)
	out := outgoing(n.roundRecipients(now, members), n.localMessages(now, header, members, own, readers), crashMessages(header, crashes))
	return append(out, outgoing(n.remoteRelays(now), n.remoteMessages(header, members, own, readers), crashMessages(header, ownCrashes))...)
}

// roundRecipients returns the members that get the rounds of this node: all others that know
// relays, also silent ones, so that they hear of the relay when they are back.
func (n *Node) roundRecipients(now time.Duration, members []string) (list []string) {
	for _, instance := range members {
		if p := n.peers[instance]; instance != n.cfg.Instance && (p == nil || !p.legacy(now)) {
			list = append(list, instance)
		}
	}
	return list
}

// localMessages returns what a round tells the nodes of the own data centre. Sums and states of
// the own one are left out if its nodes hear each other.
func (n *Node) localMessages(now time.Duration, header Message, members []string, own *sums, readers []StoreReader) (out []Message) {
	if len(members) > maxDirectNodes {
		out = append(out, n.sumMessages(header, cursorOwn, own, nil)...)
		out = append(out, n.stateMessages(header, cursorOwn, members, readers)...)
		readers = nil
	}
	if others, covered := n.otherSums(now); others.nodes > 0 {
		out = append(out, n.sumMessages(header, cursorOthers, others, covered)...)
	}
	return append(out, n.stateMessages(header, cursorOthers, n.remoteInstances(), readers)...)
}

// remoteMessages returns what a round tells the relays of other data centres.
func (n *Node) remoteMessages(header Message, members []string, own *sums, readers []StoreReader) []Message {
	return append(n.sumMessages(header, cursorRemote, own, nil), n.stateMessages(header, cursorRemote, members, n.ownReaders(readers))...)
}

// outgoing addresses messages to the same instances, none if there are no instances.
func outgoing(to []string, lists ...[]Message) (out []Outgoing) {
	if len(to) == 0 {
		return nil
	}
	for _, m := range slices.Concat(lists...) {
		out = append(out, Outgoing{To: to, Message: m})
	}
	return out
}

// otherSums returns the sums over all other data centres, and which these are: as this node
// got them from the relays there, or from the acting relay of its own data centre if that
// knows more of them.
func (n *Node) otherSums(now time.Duration) (total *sums, covered []string) {
	total = newSums()
	for dataCentre, table := range n.relay.remote {
		if s := table.current(now); s != nil {
			total.add(s)
			covered = append(covered, dataCentre)
		}
	}
	if told := n.relay.others.current(now); told != nil && len(n.relay.others.covered) > len(covered) {
		return told, n.relay.others.covered
	}
	slices.Sort(covered)
	return total, covered
}

// ownSums returns the sums over the own data centre: from the heartbeats that arrive here, or
// from the acting relay if that hears more nodes.
func (n *Node) ownSums(now time.Duration) *sums {
	own := n.sumReporters(now, true)
	if told := n.relay.own.current(now); told != nil && told.nodes > own.nodes {
		return told
	}
	return own
}

// remoteRelays returns the instances of other data centres to which a round is sent: the
// acting relay of each. If none was heard lately, these are the first two candidates, and each
// instance there in turn: all of them may count as silent after a cut that has ended since.
func (n *Node) remoteRelays(now time.Duration) (list []string) {
	for dataCentre, all := range n.byDataCentre {
		if dataCentre == n.cfg.DataCentre {
			continue
		}
		if source := n.relay.sources[dataCentre]; source != nil && now-source.heardAt <= relaySilence && n.instances[source.instance] == dataCentre {
			list = append(list, source.instance)
			continue
		}
		candidates := n.relayCandidates(now, dataCentre)
		list = append(list, candidates[:min(2, len(candidates))]...)
		list = append(list, all[int(n.relay.round)%len(all)])
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// storeReaders returns the nodes of the own data centre that are in touch with the store, and
// the most current ones of the others.
func (n *Node) storeReaders(now time.Duration) []StoreReader {
	var own, remote []StoreReader
	for instance, dataCentre := range n.instances {
		var h *Heartbeat
		switch p := n.peers[instance]; {
		case instance == n.cfg.Instance:
			h = n.directReport(now, instance)
		case p != nil && p.heartbeatAt > 0 && !p.silent(now):
			h = &p.heartbeat
		}
		if h == nil || !h.ReadsStore || h.Leaving || h.Version == 0 && h.Revision == 0 {
			continue
		}
		reader := StoreReader{Address: encodeAddress(instance), Version: h.Version, Era: h.Era, Revision: h.Revision, RegistryDigest: h.RegistryDigest}
		if dataCentre == n.cfg.DataCentre {
			own = append(own, reader)
		} else {
			remote = append(remote, reader)
		}
	}
	byCurrency := func(a, b StoreReader) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(b.Era, a.Era), cmp.Compare(b.Revision, a.Revision), slices.Compare(a.Address, b.Address))
	}
	slices.SortFunc(own, byCurrency)
	slices.SortFunc(remote, byCurrency)
	own = own[:min(len(own), readersPerDataCentre+1)]
	return append(own, remote[:min(len(remote), maxRemoteReaders)]...)
}

// ownReaders returns those of the readers that are in the own data centre.
func (n *Node) ownReaders(readers []StoreReader) (own []StoreReader) {
	for _, r := range readers {
		if n.instances[decodeAddress(r.Address)] == n.cfg.DataCentre {
			own = append(own, r)
		}
	}
	return own
}
