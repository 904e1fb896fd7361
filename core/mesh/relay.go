package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExchangeInterval is the time between two calls of DueMessages.
const ExchangeInterval = 50 * time.Millisecond

const (
	// relayInterval is the time between two rounds of the acting relay of a data centre.
	relayInterval = HeartbeatInterval
	// relaysPerDataCentre is the number of nodes that get the heartbeats of all nodes of
	// their data centre. With three, the loss of two goes unnoticed.
	relaysPerDataCentre = 3
	// maxDirectNodes is the largest number of nodes of a data centre that all send their
	// heartbeats to each other. With more of them, the heartbeats would exceed 20 KB per
	// second at each node.
	maxDirectNodes = 10
	// relaySilence is the time without a round after which further nodes get heartbeats, so
	// that one of them can replace all relays.
	relaySilence = 4 * relayInterval
	// leavingRounds is the number of times that a node which is about to stop tells all
	// nodes of its data centre.
	leavingRounds = 3
	// maxSumMessages bounds the messages with sums of one kind that a relay sends to one
	// instance in one round, and maxStateBytes the size of the one with states of instances.
	maxSumMessages = 2
	maxStateBytes  = 700
	// dataCentreSilence is the time without a message from a data centre after which an
	// acting relay takes all nodes there for silent.
	dataCentreSilence = 1200 * time.Millisecond
	// runTimeRounds is the number of times that the state of an instance is passed on until
	// its run times are part of it again, because these change slowly.
	runTimeRounds = 4
	// maxRemoteReaders bounds the readers of other data centres in one message.
	maxRemoteReaders = 2
	// urgentDemandChange is the relative change of the demand or the capacity of a data
	// centre that is passed on without delay.
	urgentDemandChange = 0.2
)

// relay is the state of a node as a relay, and as a receiver of what relays send.
type relay struct {
	// sources holds, by data centre, from which of its nodes messages are taken.
	sources map[string]*relaySource
	// remote holds the sums of other data centres, own the sums of the own one and others
	// those of all others as the acting relay tells them.
	remote      map[string]*sumTable
	own, others *sumTable
	// round is the number of the last round of this node, and roundAt the time of the last
	// round that any relay of the own data centre sent.
	round   uint32
	roundAt time.Duration
	// urgent is set if the next round is due without delay.
	urgent bool
	// actingSince is when this node began to send rounds, 0 if it follows another relay.
	actingSince time.Duration
	// collecting is set while this node gets the heartbeats of its whole data centre.
	collecting bool
	// leavingSent is the number of rounds in which the stop of this node was told.
	leavingSent int
	// toldDemand and toldLimit are the demand and the capacity of the last round.
	toldDemand, toldLimit float64
	// sumCursor and stateCursor are where the next round starts if the last one could not
	// send everything.
	sumCursor, stateCursor map[string]int
	states                 map[string]*relayedState
	crashes                crashQueue
}

// relayedState is what a relay remembers of an instance whose state it passes on.
type relayedState struct {
	flags InstanceFlags
	// sent counts the messages with the state, by cursor. changed is the number of them in
	// which it still goes before others.
	sent, changed map[string]int
}

// The cursors of the sums and states that a relay sends: those of the own data centre and of
// all others to the nodes of the own one, and those of the own one to other data centres.
const (
	cursorOwn    = "own"
	cursorOthers = "others"
	cursorRemote = "remote"
)

var stateCursors = []string{cursorOwn, cursorOthers, cursorRemote}

// changedRounds is the number of rounds in which the changed state of an instance goes before
// those of others, so that the loss of a message does not delay it.
const changedRounds = 2

func newRelay() relay {
	return relay{
		sources: map[string]*relaySource{}, remote: map[string]*sumTable{}, own: newSumTable(), others: newSumTable(),
		sumCursor: map[string]int{}, stateCursor: map[string]int{}, states: map[string]*relayedState{},
	}
}

// relayPosition returns the position of an instance in the order in which nodes are chosen
// as relays, the lowest first. It differs from that of readers, so that the loss of one node
// is rarely that of both.
func relayPosition(instance string) uint64 { return xxhash.Sum64String("relay " + instance) }

// members returns, sorted, the nodes of the own data centre, this one included: those with a
// registered upstream, and others whose heartbeats arrive here.
func (n *Node) members(now time.Duration) []string {
	list := slices.Clone(n.byDataCentre[n.cfg.DataCentre])
	if n.instances[n.cfg.Instance] != n.cfg.DataCentre {
		list = append(list, n.cfg.Instance)
	}
	for instance, p := range n.peers {
		if _, registered := n.instances[instance]; !registered && instance != n.cfg.Instance && p.reportsDirectly(now) && p.legacyAt == 0 {
			list = append(list, instance)
		}
	}
	slices.Sort(list)
	return list
}

// relayCandidates returns the instances of a data centre in the order in which they are
// chosen as relays. Silent and leaving ones, and those that do not know relays, are left out.
func (n *Node) relayCandidates(now time.Duration, dataCentre string) []string {
	var list []string
	for _, instance := range n.byDataCentre[dataCentre] {
		p := n.peers[instance]
		usable := p == nil || !p.silent(now) && !p.leaving(now) && !p.legacy(now)
		if instance == n.cfg.Instance {
			usable = !n.leaving
		}
		if usable {
			list = append(list, instance)
		}
	}
	return list
}

// inRelayOrder returns the instances of each data centre in the order of relayPosition.
// dataCentres maps instances to data centres.
func inRelayOrder(dataCentres map[string]string) map[string][]string {
	order := map[string][]string{}
	for instance, dataCentre := range dataCentres {
		order[dataCentre] = append(order[dataCentre], instance)
	}
	for _, list := range order {
		slices.SortFunc(list, func(a, b string) int {
			return cmp.Or(cmp.Compare(relayPosition(a), relayPosition(b)), cmp.Compare(a, b))
		})
	}
	return order
}

// collectors returns the instances to which this node sends its heartbeats.
func (n *Node) collectors(now time.Duration) []string {
	members := n.members(now)
	if len(members) <= maxDirectNodes || n.leaving && n.relay.leavingSent < leavingRounds {
		return members
	}
	candidates := n.relayCandidates(now, n.cfg.DataCentre)
	count := relaysPerDataCentre
	if now-n.relay.roundAt > relaySilence {
		count *= 2
	}
	list := slices.Clone(candidates[:min(count, len(candidates))])
	if source := n.relay.sources[n.cfg.DataCentre]; source != nil && !slices.Contains(list, source.instance) {
		list = append(list, source.instance)
	}
	return list
}

// relayRank returns the position of this node among the relays of its data centre, -1 if it
// is none.
func (n *Node) relayRank(now time.Duration) int {
	return slices.Index(n.relayCandidates(now, n.cfg.DataCentre), n.cfg.Instance)
}

// DueMessages returns the messages that are due. It must be called once per
// ExchangeInterval.
//
// The first relay of a data centre sends a round every relayInterval. Each further one does
// so if there was none for one interval more than the relay before it waits, so that no node
// has to find out that a relay was lost.
func (n *Node) DueMessages(now time.Duration) []Outgoing {
	n.updateCollecting(now)
	n.noteSilentDataCentres(now)
	out := n.heartbeatMessages(now)
	if n.roundDue(now) {
		out = append(out, n.relayRound(now)...)
	}
	return out
}

// updateCollecting notes whether this node gets the heartbeats of all nodes of its data
// centre. Only an acting relay may take missing heartbeats for silence: nodes that know of
// other relays send them there.
func (n *Node) updateCollecting(now time.Duration) {
	r := &n.relay
	rank := n.relayRank(now)
	direct := len(n.members(now)) <= maxDirectNodes
	r.collecting = direct || rank >= 0 && rank < relaysPerDataCentre || r.actingSince > 0
	if direct || r.actingSince > 0 && now-r.actingSince > relaySilence {
		return
	}
	for _, instance := range n.byDataCentre[n.cfg.DataCentre] {
		p := n.peers[instance]
		if p != nil && p.legacyAt == 0 && p.directAt > 0 && now-p.directAt > directReportAge {
			p.directAt, p.heartbeat.Interval = 0, localStateInterval
		}
	}
}

// noteSilentDataCentres takes all nodes of a data centre for silent if this node, which acts
// as the relay of its own, no longer hears a relay there.
func (n *Node) noteSilentDataCentres(now time.Duration) {
	if since := n.relay.actingSince; since == 0 || now-since <= dataCentreSilence {
		return
	}
	for instance, dataCentre := range n.instances {
		source, p := n.relay.sources[dataCentre], n.peers[instance]
		if dataCentre != n.cfg.DataCentre && source != nil && now-source.heardAt > dataCentreSilence && p != nil && p.relayedAt > 0 {
			p.reportedSilent = true
		}
	}
}

// roundDue reports whether this node is to send a round as a relay.
func (n *Node) roundDue(now time.Duration) bool {
	rank := n.relayRank(now)
	if rank < 0 || n.table == nil && n.registry.Len() == 0 {
		return false
	}
	since := now - n.relay.roundAt + ExchangeInterval/2
	switch {
	case rank == 0:
		return since >= relayInterval || n.relay.urgent && since >= ExchangeInterval
	case rank < relaysPerDataCentre:
		return since >= relayInterval*time.Duration(1+rank)
	case rank < 2*relaysPerDataCentre:
		return since >= relaySilence+relayInterval*time.Duration(2+rank-relaysPerDataCentre)
	}
	return false
}

// heartbeatMessages returns the heartbeats that are due.
func (n *Node) heartbeatMessages(now time.Duration) (out []Outgoing) {
	// Instances are grouped by the kind of heartbeat that they are due, a DueHeartbeat
	// without its Instance, so that each kind is encoded once.
	var kinds []DueHeartbeat
	recipients := map[DueHeartbeat][]string{}
	n.DueHeartbeats(now, func(due DueHeartbeat) {
		instance := due.Instance
		due.Instance = ""
		if recipients[due] == nil {
			kinds = append(kinds, due)
		}
		recipients[due] = append(recipients[due], instance)
	})
	if len(kinds) == 0 {
		return nil
	}
	if n.leaving {
		n.relay.leavingSent++
	}
	heartbeat := n.Heartbeat(now)
	n.relay.crashes.put(now, n.cfg.Instance, n.cfg.Incarnation, crashPage(heartbeat.Crashes, kinds[0].CrashPage))
	for _, kind := range kinds {
		h := heartbeat.For(kind)
		if kind.Legacy {
			h.Interval += versionedMark
		}
		out = append(out, Outgoing{To: recipients[kind], Message: Message{Version: MessageVersion, Heartbeat: &h}, Legacy: kind.Legacy})
	}
	return out
}

// noteReport makes the next round urgent if a heartbeat that has just arrived changes what
// other nodes should know soon.
func (n *Node) noteReport(p *peer, before Heartbeat) {
	h := &p.heartbeat
	queueThreshold := func(h *Heartbeat) bool {
		return float64(h.Load.Queued) > urgentQueueShare*float64(h.Load.Limit)
	}
	faulty := func(h *Heartbeat) bool { return h.FaultShare >= faultyThreshold }
	if h.Leaving != before.Leaving || h.Incarnation != before.Incarnation || faulty(h) != faulty(&before) || queueThreshold(h) != queueThreshold(&before) {
		n.relay.urgent = true
	}
}

// notePlan makes the next round urgent if the demand or the capacity of the own data centre
// has changed much since the last round.
func (n *Node) notePlan(own *sums) {
	if !n.relay.collecting {
		return
	}
	offered, limit := own.totals()
	changed := func(now, told float64) bool {
		return math.Abs(now-told) > urgentDemandChange*max(told, 1)
	}
	if changed(offered, n.relay.toldDemand) || changed(limit, n.relay.toldLimit) {
		n.relay.urgent = true
	}
}
