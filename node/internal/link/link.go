package link

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"github.com/shallotspool/shallotspool/core/wire"
)

// The limits and intervals of a link.
const (
	maxQueuedFrames = 64
	writeTimeout    = 5 * time.Second
	pingInterval    = 2 * time.Second
	// idleTimeout is how long a link stays open without receiving a frame or a
	// pong.
	idleTimeout      = 3 * pingInterval
	handshakeTimeout = 2 * time.Second
	bufferBytes      = 4 << 10
)

// The rate limits for frames from one peer.
const (
	maxFramesPerSecond = 1000
	maxBytesPerSecond  = 4 << 20
)

// ErrRateExceeded is returned for a peer that exceeds the rate limits.
var ErrRateExceeded = errors.New("peer exceeds the rate limit")

// link is one open link to one run of a peer.
type link struct {
	conn *websocket.Conn
	peer wire.NodeID
	// dialled is true if this node dialled the peer.
	dialled   bool
	queue     chan *wire.Frame
	closeOnce sync.Once
	closing   chan struct{}
	// writerDone is closed when writeLoop has returned.
	writerDone chan struct{}
}

func newLink(conn *websocket.Conn, peer wire.NodeID, dialled bool) *link {
	return &link{
		conn: conn, peer: peer, dialled: dialled,
		queue: make(chan *wire.Frame, maxQueuedFrames), closing: make(chan struct{}), writerDone: make(chan struct{}),
	}
}

// enqueue queues a frame for sending. It never blocks and returns false if the
// queue is full.
func (l *link) enqueue(f *wire.Frame) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// startClosing makes writeLoop send the queued frames and close the link.
func (l *link) startClosing() { l.closeOnce.Do(func() { close(l.closing) }) }

// writeLoop sends queued frames and pings until the link is closing or a write
// fails. It closes the connection before it returns.
func (l *link) writeLoop() {
	defer close(l.writerDone)
	defer func() { _ = l.conn.Close() }()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var err error
		select {
		case f := <-l.queue:
			err = writeFrame(l.conn, f)
		case <-ping.C:
			err = l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout))
		case <-l.closing:
			l.flushAndSendClose()
			return
		}
		if err != nil {
			return
		}
	}
}

// flushAndSendClose sends the queued frames, then a WebSocket close message.
func (l *link) flushAndSendClose() {
	for {
		select {
		case f := <-l.queue:
			if writeFrame(l.conn, f) != nil {
				return
			}
		default:
			message := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
			_ = l.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(writeTimeout))
			return
		}
	}
}

// readLoop passes each received frame to handle until the link ends, and returns
// the reason for the end.
func (l *link) readLoop(handle func(*wire.Frame)) error {
	l.conn.SetPongHandler(func(string) error { return l.conn.SetReadDeadline(time.Now().Add(idleTimeout)) })
	limiter := newRateLimiter(time.Now())
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
		f, size, err := readFrame(l.conn)
		if err != nil {
			return err
		}
		if !limiter.allow(time.Now(), size) {
			return ErrRateExceeded
		}
		handle(f)
	}
}

// writeFrame encodes a frame and sends it as one binary message.
func writeFrame(conn *websocket.Conn, f *wire.Frame) error {
	data, err := wire.Encode(f)
	if err != nil {
		return errors.Wrap(err, "write frame")
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, data), "write frame")
}

// readFrame receives one binary message and returns its frame and its size in
// bytes.
func readFrame(conn *websocket.Conn) (*wire.Frame, int, error) {
	messageType, data, err := conn.ReadMessage()
	if err != nil {
		return nil, 0, errors.Wrap(err, "read frame")
	}
	if messageType != websocket.BinaryMessage {
		return nil, 0, errors.New("read frame: not a binary message")
	}
	f, err := wire.Decode(data)
	return f, len(data), errors.Wrap(err, "read frame")
}

// rateLimiter holds two token buckets, one for frames and one for bytes. Each has
// a capacity of one second's worth of tokens.
type rateLimiter struct {
	updatedAt time.Time
	frames    float64
	bytes     float64
}

func newRateLimiter(now time.Time) *rateLimiter {
	return &rateLimiter{updatedAt: now, frames: maxFramesPerSecond, bytes: maxBytesPerSecond}
}

// allow takes the tokens for one frame of size bytes and reports whether both
// buckets had enough.
func (r *rateLimiter) allow(now time.Time, size int) bool {
	elapsed := now.Sub(r.updatedAt).Seconds()
	r.updatedAt = now
	r.frames = min(r.frames+elapsed*maxFramesPerSecond, maxFramesPerSecond) - 1
	r.bytes = min(r.bytes+elapsed*maxBytesPerSecond, maxBytesPerSecond) - float64(size)
	return r.frames >= 0 && r.bytes >= 0
}

// remoteIP returns the IP address of the peer.
func remoteIP(conn *websocket.Conn) net.IP {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP
	}
	return nil
}
