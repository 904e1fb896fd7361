package sidecar

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// planLogPeriod is the number of heartbeat intervals between two calls of logPlan.
const planLogPeriod = 5

// maxHeartbeatBytes limits the size of one heartbeat to below the usual MTU of 1500
// bytes. Larger ones are not sent.
const maxHeartbeatBytes = 1400

// runHeartbeats sends heartbeats to the other instances until the node stops. Then it
// closes the socket, which ends receiveHeartbeats. Heartbeats use UDP, so that a stalled
// connection cannot hold them up; the next heartbeat makes up for a lost one.
func (s *Sidecar) runHeartbeats() {
	intervals := 0
	s.runEvery(mesh.HeartbeatInterval, func() {
		s.sendHeartbeats()
		if intervals%planLogPeriod == 0 {
			s.logPlan()
		}
		intervals++
	})
	_ = s.heartbeatConn.Close()
}

// sendHeartbeats updates the plan, logs the events since the last call and sends the
// heartbeats that are due.
func (s *Sidecar) sendHeartbeats() {
	s.mu.Lock()
	now := s.now()
	s.node.UpdatePlan(now)
	heartbeat := s.node.Heartbeat(now)
	// Instances are grouped by the kind of heartbeat that they are due, a DueHeartbeat
	// without its Instance, so that each kind is encoded once.
	recipients := map[mesh.DueHeartbeat][]string{}
	s.node.DueHeartbeats(now, func(due mesh.DueHeartbeat) {
		instance := due.Instance
		due.Instance = ""
		recipients[due] = append(recipients[due], instance)
	})
	events := s.node.TakeEvents()
	s.mu.Unlock()
	s.logPeerEvents(events)
	for kind, instances := range recipients {
		s.sendHeartbeat(heartbeat.For(kind), instances)
	}
}

// sendHeartbeat sends a heartbeat. If it is too large for one datagram, its crash records
// go into a partial one of their own.
func (s *Sidecar) sendHeartbeat(heartbeat mesh.Heartbeat, instances []string) {
	encoded, err := cbor.Marshal(heartbeat)
	if err == nil && len(encoded) > maxHeartbeatBytes && len(heartbeat.Crashes) > 0 {
		rest := heartbeat
		rest.Crashes = nil
		s.sendHeartbeat(rest, instances)
		encoded, err = cbor.Marshal(heartbeat.WithoutStatistics())
	}
	if err != nil || len(encoded) > maxHeartbeatBytes {
		s.log.Warn("heartbeat not encoded or too large", field("bytes", len(encoded)), field("error", err))
		return
	}
	port := netip.MustParseAddrPort(s.settings.Load().Listen.Heartbeats).Port()
	for _, instance := range instances {
		ip, err := netip.ParseAddr(instance)
		if err != nil {
			s.log.Info("heartbeat not sent", field("instance", instance), field("error", err))
			continue
		}
		if _, err := s.heartbeatConn.WriteToUDPAddrPort(encoded, netip.AddrPortFrom(ip, port)); err != nil {
			s.log.Info("heartbeat not sent", field("instance", instance), field("error", err))
		}
	}
}

// receiveHeartbeats passes the heartbeats of other instances to the node until the
// socket is closed.
func (s *Sidecar) receiveHeartbeats() {
	buffer := make([]byte, 2*maxHeartbeatBytes)
	for {
		n, from, err := s.heartbeatConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Info("heartbeat not read", field("error", err))
			continue
		}
		var heartbeat mesh.Heartbeat
		if err := cbor.Unmarshal(buffer[:n], &heartbeat); err != nil {
			s.log.Info("heartbeat not decoded", field("instance", from.Addr()), field("error", err))
			continue
		}
		s.mu.Lock()
		s.node.ReceiveHeartbeat(s.now(), from.Addr().Unmap().String(), heartbeat)
		s.mu.Unlock()
	}
}
