package sidecar

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// planLogInterval is the time between two calls of logPlan.
const planLogInterval = 5 * mesh.HeartbeatInterval

// The counters of the bytes of messages between nodes, and the bytes that IP and UDP add to
// each of them.
const (
	controlSentName     = "shallot_control_sent_bytes_total"
	controlReceivedName = "shallot_control_received_bytes_total"
	datagramHeaderBytes = 28
)

// errInvalidMessage marks a datagram that holds no message of a node.
var errInvalidMessage = errors.New("invalid message")

// runMessages sends messages to the other instances until the node stops. Then it closes the
// socket, which ends receiveMessages. Messages use UDP, so that a stalled connection cannot
// hold them up; the next message makes up for a lost one.
func (s *Sidecar) runMessages() {
	var plannedAt, loggedAt time.Duration
	s.runEvery(mesh.ExchangeInterval, func() {
		now := s.now()
		planDue := now >= plannedAt+mesh.HeartbeatInterval-mesh.ExchangeInterval/2
		if planDue {
			plannedAt = now
		}
		s.sendMessages(planDue)
		if now >= loggedAt+planLogInterval {
			loggedAt = now
			s.logPlan()
		}
	})
	_ = s.heartbeatConn.Close()
}

// sendMessages sends the messages that are due and logs the events since the last call. It
// makes a new plan before that if planDue is set.
func (s *Sidecar) sendMessages(planDue bool) {
	s.mu.Lock()
	now := s.now()
	if planDue {
		s.node.UpdatePlan(now)
	} else {
		s.node.Replan(now)
	}
	due := s.node.DueMessages(now)
	events := s.node.TakeEvents()
	s.mu.Unlock()
	s.logPeerEvents(events)
	for i := range due {
		s.sendMessage(&due[i])
	}
}

// sendMessage sends one message. If a heartbeat is too large for one datagram, its crash
// records go into a partial one of their own.
func (s *Sidecar) sendMessage(m *mesh.Outgoing) {
	encoded, err := encodeMessage(m)
	if h := m.Message.Heartbeat; err == nil && len(encoded) > mesh.MaxMessageBytes && h != nil && len(h.Crashes) > 0 {
		rest, crashes := *h, h.WithoutStatistics()
		rest.Crashes = nil
		s.sendMessage(&mesh.Outgoing{To: m.To, Legacy: m.Legacy, Message: mesh.Message{Version: m.Message.Version, Heartbeat: &rest}})
		encoded, err = encodeMessage(&mesh.Outgoing{Legacy: m.Legacy, Message: mesh.Message{Version: m.Message.Version, Heartbeat: &crashes}})
	}
	if err != nil || len(encoded) > mesh.MaxMessageBytes {
		s.log.Warn("heartbeat not encoded or too large", field("bytes", len(encoded)), field("error", err))
		return
	}
	port := netip.MustParseAddrPort(s.settings.Load().Listen.Heartbeats).Port()
	for _, instance := range m.To {
		ip, err := netip.ParseAddr(instance)
		if err != nil {
			s.log.Info("heartbeat not sent", field("instance", instance), field("error", err))
			continue
		}
		if _, err := s.heartbeatConn.WriteToUDPAddrPort(encoded, netip.AddrPortFrom(ip, port)); err != nil {
			s.log.Info("heartbeat not sent", field("instance", instance), field("error", err))
			continue
		}
		s.metrics.AddToCounter(controlSentName, int64(len(encoded)+datagramHeaderBytes))
	}
}

// encodeMessage encodes a message for its recipients.
func encodeMessage(m *mesh.Outgoing) ([]byte, error) {
	if m.Legacy {
		return cbor.Marshal(mesh.LegacyHeartbeat(*m.Message.Heartbeat))
	}
	return cbor.Marshal(m.Message)
}

// receiveMessages passes the messages of other instances to the node until the socket is
// closed.
func (s *Sidecar) receiveMessages() {
	buffer := make([]byte, 2*mesh.MaxMessageBytes)
	for {
		n, from, err := s.heartbeatConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Info("heartbeat not read", field("error", err))
			continue
		}
		s.metrics.AddToCounter(controlReceivedName, int64(n+datagramHeaderBytes))
		if err := s.receiveMessage(from.Addr().Unmap().String(), buffer[:n]); err != nil {
			s.log.Info("heartbeat not decoded", field("instance", from.Addr()), field("error", err))
		}
	}
}

// cborArray is the major type of a CBOR array, in the upper three bits of its first byte.
const cborArray = 4

// receiveMessage decodes one datagram and passes it to the node. Its error is marked with
// errInvalidMessage.
func (s *Sidecar) receiveMessage(instance string, data []byte) error {
	if len(data) > 0 && data[0]>>5 == cborArray {
		var legacy mesh.LegacyHeartbeat
		if err := cbor.Unmarshal(data, &legacy); err != nil {
			return errors.Mark(errors.Wrap(err, "heartbeat without version"), errInvalidMessage)
		}
		heartbeat := mesh.Heartbeat(legacy)
		m := mesh.Message{Heartbeat: &heartbeat}
		if err := m.Validate(); err != nil {
			return errors.Mark(err, errInvalidMessage)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.node.ReceiveLegacyHeartbeat(s.now(), instance, heartbeat)
		return nil
	}
	var m mesh.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return errors.Mark(errors.Wrap(err, "message"), errInvalidMessage)
	}
	if m.Version == 0 {
		return errors.Mark(errors.New("message without version"), errInvalidMessage)
	}
	if err := m.Validate(); err != nil {
		return errors.Mark(err, errInvalidMessage)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.ReceiveMessage(s.now(), instance, m)
	return nil
}
