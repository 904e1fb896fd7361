package mesh

import (
	"testing"
	"time"
)

// relayMessage returns a round of a relay in data centre "x" of newFleet that tells of one
// instance.
func relayMessage(dataCentre string, round uint32, incarnation int64, state InstanceState) Message {
	return Message{
		Version: MessageVersion, Incarnation: incarnation, DataCentre: dataCentre, Round: round, RefreshMS: 200,
		Nodes: 50, Services: []ServiceSum{{Service: "a", Limit: 40, Capacities: []CapacityStat{{Slots: 40}}}}, Instances: []InstanceState{state},
	}
}

func stateOf(instance string, incarnation int64, flags InstanceFlags) InstanceState {
	return InstanceState{Address: encodeAddress(instance), Incarnation: incarnation, Flags: flags, Limit: 9}
}

// TestRelayOfAnotherDataCentreIsIgnored guards against an instance that speaks for a data centre
// which is not its own.
func TestRelayOfAnotherDataCentreIsIgnored(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	n.ReceiveMessage(time.Second, "10.0.0.2", relayMessage("y", 1, 1, stateOf("10.0.0.3", 1, 0)))
	if n.relay.sources["y"] != nil || n.peers["10.0.0.3"] != nil {
		t.Error("the message of an instance of data centre x was taken for one of y")
	}
}

// TestPausedRelayIsNotFollowedAtOnce guards against plans made from what a relay knew before its
// process was paused for seconds.
func TestPausedRelayIsNotFollowedAtOnce(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	first, second := "10.0.0.2", "10.0.0.3"
	if relayPosition(first) > relayPosition(second) {
		first, second = second, first
	}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	n.ReceiveMessage(at(200), first, relayMessage("x", 1, 1, stateOf("10.0.0.4", 1, 0)))
	// The first relay is paused, the second one takes over.
	for i := range 10 {
		n.ReceiveMessage(at(800+200*i), second, relayMessage("x", uint32(i+1), 1, stateOf("10.0.0.4", 1, FlagSilent)))
	}
	n.ReceiveMessage(at(2650), first, relayMessage("x", 2, 1, stateOf("10.0.0.4", 1, 0)))
	if got := n.relay.sources["x"].instance; got != second || !n.peer("10.0.0.4").silent(at(2650)) {
		t.Errorf("after its first round %s is followed, want %s still", got, second)
	}
	n.ReceiveMessage(at(2850), first, relayMessage("x", 3, 1, stateOf("10.0.0.4", 1, 0)))
	if got := n.relay.sources["x"].instance; got != first {
		t.Errorf("after its second round %s is followed, want %s", got, first)
	}
}

// TestStateOfEarlierRunIsIgnored guards against a restarted instance that is taken for its
// earlier run, because news of that arrive late.
func TestStateOfEarlierRunIsIgnored(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	n.ReceiveMessage(time.Second, "10.0.0.2", relayMessage("x", 1, 1, stateOf("10.0.0.4", 20, 0)))
	n.ReceiveMessage(time.Second, "10.0.0.2", relayMessage("x", 1, 1, stateOf("10.0.0.4", 10, FlagLeaving)))
	if p := n.peer("10.0.0.4"); p.leaving(time.Second) || p.heartbeat.Incarnation != 20 {
		t.Errorf("incarnation %d, leaving %v; want 20, false", p.heartbeat.Incarnation, p.leaving(time.Second))
	}
}

// TestOwnHeartbeatIsPreferredToRelay guards against an instance that is taken for silent or
// leaving by what a relay tells, though its own heartbeats arrive.
func TestOwnHeartbeatIsPreferredToRelay(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	n.ReceiveHeartbeat(time.Second, "10.0.0.4", Heartbeat{Incarnation: 20, Interval: HeartbeatInterval, Load: Load{Limit: 9}})
	n.ReceiveMessage(time.Second, "10.0.0.2", relayMessage("x", 1, 1, stateOf("10.0.0.4", 20, FlagSilent|FlagLeaving)))
	if p := n.peer("10.0.0.4"); p.silent(time.Second) || p.leaving(time.Second) {
		t.Errorf("silent %v, leaving %v; want neither", p.silent(time.Second), p.leaving(time.Second))
	}
}
