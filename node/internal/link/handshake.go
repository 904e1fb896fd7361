package link

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"github.com/shallotspool/shallotspool/core/wire"
)

// The reasons for refusing a link.
var (
	ErrNoHello         = errors.New("first frame is not a hello frame")
	ErrProtocolVersion = errors.New("unsupported protocol version")
	ErrUnknownInstance = errors.New("peer is not a listed instance")
	ErrOwnTarget       = errors.New("peer has the target name of this node")
	ErrTooManyLinks    = errors.New("too many links")
)

// helloFrame returns the frame that opens a link, with the identity of this node.
func (h *Hub) helloFrame() *wire.Frame {
	return &wire.Frame{Hello: &wire.Hello{
		Version: wire.ProtocolVersion, Node: h.cfg.Self, Service: h.cfg.Service, DataCentre: h.cfg.DataCentre,
	}}
}

// handshakeAsClient performs the handshake of a link that this node dialled. The
// node that dialled sends its hello frame first.
func (h *Hub) handshakeAsClient(conn *websocket.Conn, target string) (wire.NodeID, error) {
	if err := writeFrame(conn, h.helloFrame()); err != nil {
		return wire.NodeID{}, err
	}
	peer, err := h.readAndCheckHello(conn)
	if err == nil && peer.Target != target {
		err = errors.Wrapf(ErrUnknownInstance, "peer is %q instead of %q", peer.Target, target)
	}
	return peer, err
}

// handshakeAsServer performs the handshake of a link that another node dialled.
func (h *Hub) handshakeAsServer(conn *websocket.Conn) (wire.NodeID, error) {
	peer, err := h.readAndCheckHello(conn)
	if err != nil {
		return peer, err
	}
	return peer, writeFrame(conn, h.helloFrame())
}

// readAndCheckHello reads the peer's hello frame and returns the peer's identity.
// The peer must use the same protocol version and be a listed instance that
// connects from its listed address.
func (h *Hub) readAndCheckHello(conn *websocket.Conn) (wire.NodeID, error) {
	conn.SetReadLimit(wire.MaxDocumentFrameBytes)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	f, _, err := readFrame(conn)
	if err != nil {
		return wire.NodeID{}, err
	}
	if f.Hello == nil {
		return wire.NodeID{}, ErrNoHello
	}
	peer := f.Hello.Node
	ip, _ := netip.AddrFromSlice(remoteIP(conn))
	switch {
	case f.Hello.Version != wire.ProtocolVersion:
		return peer, errors.Wrapf(ErrProtocolVersion, "peer has version %d instead of %d", f.Hello.Version, wire.ProtocolVersion)
	case peer.Target == h.cfg.Self.Target:
		return peer, ErrOwnTarget
	case peer.Incarnation == 0 || !h.cfg.Directory.MatchesAddress(peer.Target, ip):
		return peer, errors.Wrapf(ErrUnknownInstance, "%q from %s", peer.Target, ip)
	}
	return peer, nil
}
