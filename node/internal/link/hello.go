package link

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"github.com/shallotspool/shallotspool/core/wire"
)

// The reasons a link is refused for.
var (
	ErrHello   = errors.New("link does not open with hello")
	ErrVersion = errors.New("peer speaks another version")
	ErrUnknown = errors.New("peer is not a known instance")
	ErrSelf    = errors.New("peer has this node's own target name")
	ErrTooMany = errors.New("too many links")
)

func (h *Hub) hello() *wire.Frame {
	return &wire.Frame{Hello: &wire.Hello{
		Version: wire.ProtocolVersion, Node: h.cfg.Self, Service: h.cfg.Service, DataCentre: h.cfg.DataCentre,
	}}
}

// greet opens a link that this node dialled: it speaks first.
func (h *Hub) greet(conn *websocket.Conn, target string) (wire.NodeID, error) {
	if err := writeFrame(conn, h.hello()); err != nil {
		return wire.NodeID{}, err
	}
	peer, err := h.readHello(conn)
	if err == nil && peer.Target != target {
		err = errors.Wrapf(ErrUnknown, "%q answers for %q", peer.Target, target)
	}
	return peer, err
}

// welcome opens a link that another node dialled.
func (h *Hub) welcome(conn *websocket.Conn) (wire.NodeID, error) {
	peer, err := h.readHello(conn)
	if err != nil {
		return peer, err
	}
	return peer, writeFrame(conn, h.hello())
}

func (h *Hub) readHello(conn *websocket.Conn) (wire.NodeID, error) {
	conn.SetReadLimit(wire.MaxDocumentFrameBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloLimit))
	f, _, err := readFrame(conn)
	if err != nil {
		return wire.NodeID{}, err
	}
	if f.Hello == nil {
		return wire.NodeID{}, ErrHello
	}
	peer := f.Hello.Node
	ip, _ := netip.AddrFromSlice(remoteIP(conn))
	switch {
	case f.Hello.Version != wire.ProtocolVersion:
		return peer, errors.Wrapf(ErrVersion, "%d", f.Hello.Version)
	case peer.Target == h.cfg.Self.Target:
		return peer, ErrSelf
	case peer.Incarnation == 0 || !h.cfg.Directory.Matches(peer.Target, ip):
		return peer, errors.Wrapf(ErrUnknown, "%q from %s", peer.Target, ip)
	}
	return peer, nil
}
