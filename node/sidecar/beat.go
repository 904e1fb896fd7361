package sidecar

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// maxHeartbeat bounds one heartbeat, in bytes; a larger one is not sent.
const maxHeartbeat = 1400

// beat sends heartbeats to the other instances until the node stops. They go
// over UDP: a connection that falls silent must not silence them, and a lost one
// is made up for by the next.
func (s *Sidecar) beat() {
	ticker := time.NewTicker(mesh.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			_ = s.heartbeats.Close()
			return
		case <-ticker.C:
			s.sendHeartbeats()
		}
	}
}

func (s *Sidecar) sendHeartbeats() {
	s.mu.Lock()
	s.node.Plan(s.now())
	b := s.node.Heartbeat(s.now())
	var to []string
	s.node.HeartbeatTargets(func(instance string) { to = append(to, instance) })
	s.mu.Unlock()
	text, err := cbor.Marshal(b)
	if err != nil || len(text) > maxHeartbeat {
		s.log.Warn("heartbeat not sent", field("bytes", len(text)), field("error", err))
		return
	}
	port := netip.MustParseAddrPort(s.settings.Load().Listen.Heartbeats).Port()
	for _, instance := range to {
		ip, err := netip.ParseAddr(instance)
		if err != nil {
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
