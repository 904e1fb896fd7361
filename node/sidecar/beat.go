package sidecar

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// planLogBeats is the number of heartbeats between two lines on the plan.
const planLogBeats = 5

// maxHeartbeat bounds one heartbeat, in bytes; a larger one is not sent.
const maxHeartbeat = 1400

// beat sends heartbeats to the other instances until the node stops. They go
// over UDP: a connection that falls silent must not silence them, and a lost one
// is made up for by the next.
func (s *Sidecar) beat() {
	beats := 0
	s.every(mesh.HeartbeatInterval, func() {
		s.sendHeartbeats()
		if beats%planLogBeats == 0 {
			s.logPlan()
		}
		beats++
	})
	_ = s.heartbeats.Close()
}

func (s *Sidecar) sendHeartbeats() {
	s.mu.Lock()
	now := s.now()
	s.node.Plan(now)
	b := s.node.Heartbeat(now)
	due := map[mesh.Beat][]string{}
	s.node.Beats(now, func(to mesh.Beat) {
		kind := mesh.Beat{Interval: to.Interval, Partial: to.Partial}
		due[kind] = append(due[kind], to.Instance)
	})
	events := s.node.Events()
	s.mu.Unlock()
	s.logBeliefs(events)
	for kind, instances := range due {
		s.sendHeartbeat(b.For(kind), instances)
	}
}

func (s *Sidecar) sendHeartbeat(b mesh.Heartbeat, instances []string) {
	text, err := cbor.Marshal(b)
	if err != nil || len(text) > maxHeartbeat {
		s.log.Warn("heartbeat not sent", field("bytes", len(text)), field("error", err))
		return
	}
	port := netip.MustParseAddrPort(s.settings.Load().Listen.Heartbeats).Port()
	for _, instance := range instances {
		ip, err := netip.ParseAddr(instance)
		if err != nil {
			s.log.Info("heartbeat not sent", field("instance", instance), field("error", err))
			continue
		}
		if _, err := s.heartbeats.WriteToUDPAddrPort(text, netip.AddrPortFrom(ip, port)); err != nil {
			s.log.Info("heartbeat not sent", field("instance", instance), field("error", err))
		}
	}
}

// hear takes in the heartbeats of others.
func (s *Sidecar) hear() {
	buffer := make([]byte, 2*maxHeartbeat)
	for {
		n, from, err := s.heartbeats.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Info("heartbeat not read", field("error", err))
			continue
		}
		var b mesh.Heartbeat
		if err := cbor.Unmarshal(buffer[:n], &b); err != nil {
			s.log.Info("heartbeat not read", field("instance", from.Addr()), field("error", err))
			continue
		}
		s.mu.Lock()
		s.node.Hear(s.now(), from.Addr().Unmap().String(), b)
		s.mu.Unlock()
	}
}
