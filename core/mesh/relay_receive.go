package mesh

import (
	"slices"
	"time"
)

const (
	// localStateInterval and remoteStateInterval stand in for the interval of heartbeats of
	// an instance whose state is passed on by relays. An instance of which relays tell
	// nothing for maxMissedHeartbeats of them is silent. Usually a relay says so earlier.
	localStateInterval  = 500 * time.Millisecond
	remoteStateInterval = 1500 * time.Millisecond
	// directReportAge is the age up to which the heartbeat of an instance is preferred to
	// the state that relays tell.
	directReportAge = HeartbeatInterval + 2*ExchangeInterval
	// relayedLoadAge is the age from which the load of an instance is replaced by the one
	// that relays tell, which is some hundred milliseconds old itself.
	relayedLoadAge = 400 * time.Millisecond
	// maxDataCentres bounds the data centres of which sums are held.
	maxDataCentres = 64
)

// relaySource selects the node whose messages are taken for those of a data centre. A relay
// that precedes the current one takes over with its second round: the first one after a
// pause of its process may tell what was true before the pause.
type relaySource struct {
	// instance is the node whose messages are taken, heardAt when one was, and incarnation
	// and round those of that message.
	instance    string
	heardAt     time.Duration
	incarnation int64
	round       uint32
	// candidate is another node whose messages arrived last, at candidateAt.
	candidate      string
	candidateRound uint32
	candidateAt    time.Duration
}

// accept reports whether a message of a relay is to be used.
func (s *relaySource) accept(now time.Duration, from string, m *Message) bool {
	if from == s.instance {
		restarted := m.Incarnation != s.incarnation
		if restarted && m.Incarnation < s.incarnation && now-s.heardAt <= relaySilence || !restarted && m.Round < s.round {
			return false
		}
		s.heardAt, s.incarnation, s.round = now, m.Incarnation, m.Round
		return true
	}
	silent := s.instance == "" || now-s.heardAt > 2*relayInterval+ExchangeInterval
	confirmed := s.candidate == from && m.Round != s.candidateRound && now-s.candidateAt <= 3*relayInterval
	if silent || confirmed && relayPosition(from) < relayPosition(s.instance) {
		s.instance, s.heardAt, s.incarnation, s.round, s.candidate = from, now, m.Incarnation, m.Round, ""
		return true
	}
	if s.candidate != from || m.Round != s.candidateRound {
		s.candidate, s.candidateRound, s.candidateAt = from, m.Round, now
	}
	return false
}

// ReceiveMessage processes a message from another instance, which must be valid. It ignores a
// relay that speaks for a data centre in which it is not registered.
func (n *Node) ReceiveMessage(now time.Duration, from string, m Message) {
	if m.Heartbeat != nil {
		n.ReceiveHeartbeat(now, from, *m.Heartbeat)
		p := n.peer(from)
		p.legacyAt = 0
		if len(m.Heartbeat.Crashes) > 0 {
			n.relay.crashes.put(now, from, m.Heartbeat.Incarnation, m.Heartbeat.Crashes)
		}
		return
	}
	if !m.fromRelay() || from == n.cfg.Instance {
		return
	}
	if at, registered := n.instances[from]; registered && at != m.DataCentre {
		return
	}
	source := n.relay.sources[m.DataCentre]
	if source == nil {
		if len(n.relay.sources) >= maxDataCentres {
			return
		}
		source = &relaySource{}
		n.relay.sources[m.DataCentre] = source
	}
	n.applyCrashes(now, m.Crashes, m.DataCentre != n.cfg.DataCentre)
	followed := source.instance
	if !source.accept(now, from, &m) {
		return
	}
	if source.instance != followed {
		n.recordEvent(Event{Kind: EventRelayFollowed, Instance: from, DataCentre: m.DataCentre})
	}
	if m.DataCentre == n.cfg.DataCentre {
		n.relay.roundAt, n.relay.actingSince = now, 0
	}
	n.applySums(now, &m)
	for i := range m.Instances {
		n.applyState(now, &m.Instances[i], time.Duration(m.StateRefreshMS)*time.Millisecond)
	}
	for i := range m.Readers {
		n.applyReader(now, &m.Readers[i])
	}
	n.planStale = n.planStale || m.Urgent
}

// ReceiveLegacyHeartbeat processes a heartbeat in the format of LegacyHeartbeat. Heartbeats are
// sent to its sender in that format from now on, unless the sender only used it because it takes
// this node for one that knows no other.
func (n *Node) ReceiveLegacyHeartbeat(now time.Duration, from string, h Heartbeat) {
	n.ReceiveHeartbeat(now, from, h)
	n.peer(from).legacyAt = now
	if h.Interval%time.Millisecond == versionedMark {
		n.peer(from).legacyAt = 0
	}
}

// versionedMark is added to the interval in heartbeats in the format of LegacyHeartbeat by nodes
// that know versions. Intervals of the others are whole milliseconds.
const versionedMark = time.Nanosecond

// applySums takes over the sums of a message.
func (n *Node) applySums(now time.Duration, m *Message) {
	if m.Nodes == 0 {
		return
	}
	switch {
	case m.DataCentre != n.cfg.DataCentre:
		table := n.relay.remote[m.DataCentre]
		if table == nil {
			table = newSumTable()
			n.relay.remote[m.DataCentre] = table
		}
		table.merge(now, m)
	case len(m.Covered) > 0:
		n.relay.others.merge(now, m)
	default:
		n.relay.own.merge(now, m)
	}
}

// applyState takes over the state of an instance that a relay tells, unless this node hears
// the instance itself. refresh is the time within which the relay tells of it again.
func (n *Node) applyState(now time.Duration, s *InstanceState, refresh time.Duration) {
	instance := decodeAddress(s.Address)
	if instance == "" || instance == n.cfg.Instance {
		return
	}
	p := n.peer(instance)
	if p.directAt > 0 && now-p.directAt <= directReportAge || p.legacy(now) && !p.silent(now) && s.Incarnation <= p.heartbeat.Incarnation {
		return
	}
	if s.Incarnation < p.heartbeat.Incarnation && !p.silent(now) {
		return
	}
	if s.Flags&FlagSilent != 0 {
		p.reportedSilent = p.heartbeatAt > 0
		return
	}
	restarted := s.Incarnation != p.heartbeat.Incarnation
	if restarted {
		p.leavingUntil, p.legacyAt = 0, 0
		p.heartbeat = Heartbeat{Service: p.heartbeat.Service}
	}
	if s.Flags&FlagLeaving != 0 {
		p.leavingUntil = max(p.leavingUntil, now+leavingHold)
	}
	h := &p.heartbeat
	h.Incarnation, h.Leaving, h.ReadsStore = s.Incarnation, s.Flags&FlagLeaving != 0, s.Flags&FlagReadsStore != 0
	h.FaultShare, h.Interval = float32(faultShareOf(s.FaultLevel)), remoteStateInterval
	if n.instances[instance] == n.cfg.DataCentre {
		h.Interval = localStateInterval
	}
	h.Interval = max(h.Interval, refresh)
	if len(s.Routes) > 0 {
		h.Routes = slices.Clone(s.Routes[:min(len(s.Routes), maxReportedRoutes)])
	}
	h.Load = Load{Running: int(s.Running), Queued: int(s.Queued), Limit: int(s.Limit)}
	if now-p.loadAt > relayedLoadAge || restarted {
		p.recordLoad(now, h.Load)
	}
	p.heartbeatAt, p.relayedAt, p.directAt, p.reportedSilent = now, now, 0, false
}

// applyReader takes over how current a node in touch with the store is.
func (n *Node) applyReader(now time.Duration, r *StoreReader) {
	instance := decodeAddress(r.Address)
	if instance == "" || instance == n.cfg.Instance {
		return
	}
	p := n.peer(instance)
	if p.directAt > 0 && now-p.directAt <= directReportAge || p.heartbeatAt == 0 {
		return
	}
	h := &p.heartbeat
	h.Version, h.Era, h.Revision, h.RegistryDigest, h.ReadsStore = r.Version, r.Era, r.Revision, r.RegistryDigest, true
}

// applyCrashes records crashes that a relay passes on. Those from another data centre are
// passed on within the own one.
func (n *Node) applyCrashes(now time.Duration, list []InstanceCrashes, fromOtherDataCentre bool) {
	for _, c := range list {
		instance := decodeAddress(c.Address)
		if instance == "" || instance == n.cfg.Instance {
			continue
		}
		n.recordCrashes(now, instance, c.Incarnation, c.Crashes)
		if fromOtherDataCentre {
			n.relay.crashes.put(now, instance, c.Incarnation, c.Crashes)
		}
	}
}
