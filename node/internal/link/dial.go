package link

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
)

// The pauses between attempts to open a link.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = 5 * time.Second
)

// keep opens the link to target again and again until ctx ends.
func (h *Hub) keep(ctx context.Context, target string) {
	pause := shortestPause
	for ctx.Err() == nil {
		if h.linked(target) {
			pause = shortestPause
		} else if err := h.dial(ctx, target); err != nil {
			h.cfg.Refused(target, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(pause)):
		}
		pause = min(2*pause, longestPause)
	}
}

// jitter returns between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// dial opens the link and returns when it has ended, or an error when it did
// not open.
func (h *Hub) dial(ctx context.Context, target string) error {
	inst, known := h.cfg.Directory.Instance(target)
	if !known {
		return ErrUnknown
	}
	dialer := websocket.Dialer{
		HandshakeTimeout: helloLimit, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		NetDialContext: h.netDialer().DialContext,
	}
	conn, _, err := dialer.DialContext(ctx, "ws://"+inst.LinkAddress+Path, nil)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	peer, err := h.greet(conn, target)
	if err != nil {
		_ = conn.Close()
		return err
	}
	h.serve(newLink(conn, peer, true))
	return nil
}

func (h *Hub) netDialer() *net.Dialer {
	d := &net.Dialer{Timeout: helloLimit}
	if h.cfg.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: h.cfg.Source}
	}
	return d
}
