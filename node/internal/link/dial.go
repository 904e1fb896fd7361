package link

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"github.com/shallotspool/shallotspool/core/http1"
)

// The bounds of the delay between attempts to open a link.
const (
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 5 * time.Second
)

// maintainLink keeps a link to target open until ctx is done. The delay before the
// next attempt doubles after each attempt. It is reset only if a link that the peer
// dialled is found open, not by a successful attempt.
func (h *Hub) maintainLink(ctx context.Context, target string) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		if h.isLinked(target) {
			delay = minReconnectDelay
		} else if err := h.dialAndServe(ctx, target); err != nil {
			h.cfg.OnLinkFailed(target, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(delay)):
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// dialAndServe opens a link and runs it until it ends. It returns an error if
// the link could not be opened.
func (h *Hub) dialAndServe(ctx context.Context, target string) error {
	inst, known := h.cfg.Directory.Instance(target)
	if !known {
		return ErrUnknownInstance
	}
	dialer := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		NetDialContext: h.dialChecked,
	}
	conn, _, err := dialer.DialContext(ctx, "ws://"+inst.LinkAddress+Path, nil)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	peer, err := h.handshakeAsClient(conn, target)
	if err != nil {
		_ = conn.Close()
		return err
	}
	h.runLink(newLink(conn, peer, true))
	return nil
}

// maxHeadBytes limits the head of the response that opens a link.
const maxHeadBytes = 4 << 10

// checkedConn is a connection on which the response that opens a link must be well-formed.
type checkedConn struct {
	net.Conn
	responses *http1.ResponseReader
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) { return c.responses.Read(b) }

func (h *Hub) dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := h.newNetDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{raw, http1.NewResponseReader(raw, http1.ResponseOptions{MaxHeadBytes: maxHeadBytes, AllowUpgrade: true})}, nil
}

// newNetDialer returns a dialer that connects from the configured source address.
func (h *Hub) newNetDialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: handshakeTimeout}
	if h.cfg.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: h.cfg.SourceIP}
	}
	return dialer
}
