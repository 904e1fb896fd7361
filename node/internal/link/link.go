package link

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"github.com/shallotspool/shallotspool/core/wire"
)

// The times and sizes of every link.
const (
	queueFrames  = 64
	writeLimit   = 5 * time.Second
	pingInterval = 2 * time.Second
	// silenceLimit is how long a link may bring nothing, not even a pong.
	silenceLimit = 3 * pingInterval
	helloLimit   = 2 * time.Second
	bufferBytes  = 4 << 10
)

// The rates a peer may send at.
const (
	framesPerSecond = 1000
	bytesPerSecond  = 4 << 20
)

// ErrRate is a peer that sends faster than it may.
var ErrRate = errors.New("peer sends too fast")

// link is one open link to one run of one node.
type link struct {
	conn *websocket.Conn
	peer wire.NodeID
	// dialled is true when this node opened it.
	dialled bool
	queue   chan *wire.Frame
	once    sync.Once
	closing chan struct{}
	// written is closed when the writer has ended.
	written chan struct{}
}

func newLink(conn *websocket.Conn, peer wire.NodeID, dialled bool) *link {
	return &link{
		conn: conn, peer: peer, dialled: dialled,
		queue: make(chan *wire.Frame, queueFrames), closing: make(chan struct{}), written: make(chan struct{}),
	}
}

// offer queues a frame and reports whether there was room. It never blocks.
func (l *link) offer(f *wire.Frame) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// close lets the writer send what is queued and then end the link.
func (l *link) close() { l.once.Do(func() { close(l.closing) }) }

// write sends queued frames and pings until the link ends.
func (l *link) write() {
	defer close(l.written)
	defer func() { _ = l.conn.Close() }()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var err error
		select {
		case f := <-l.queue:
			err = writeFrame(l.conn, f)
		case <-ping.C:
			err = l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeLimit))
		case <-l.closing:
			l.drain()
			return
		}
		if err != nil {
			return
		}
	}
}

// drain sends what is queued and says goodbye.
func (l *link) drain() {
	for {
		select {
		case f := <-l.queue:
			if writeFrame(l.conn, f) != nil {
				return
			}
		default:
			bye := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
			_ = l.conn.WriteControl(websocket.CloseMessage, bye, time.Now().Add(writeLimit))
			return
		}
	}
}

// read gives each frame to take until the link ends; the error tells why.
func (l *link) read(take func(*wire.Frame)) error {
	l.conn.SetPongHandler(func(string) error { return l.conn.SetReadDeadline(time.Now().Add(silenceLimit)) })
	allowed := newRate(time.Now())
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return errors.Wrap(err, "link")
		}
		f, size, err := readFrame(l.conn)
		if err != nil {
			return err
		}
		if !allowed.take(time.Now(), size) {
			return ErrRate
		}
		take(f)
	}
}

func writeFrame(conn *websocket.Conn, f *wire.Frame) error {
	text, err := wire.Encode(f)
	if err != nil {
		return errors.Wrap(err, "write frame")
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, text), "write frame")
}

func readFrame(conn *websocket.Conn) (*wire.Frame, int, error) {
	kind, text, err := conn.ReadMessage()
	if err != nil {
		return nil, 0, errors.Wrap(err, "read frame")
	}
	if kind != websocket.BinaryMessage {
		return nil, 0, errors.New("read frame: not a binary message")
	}
	f, err := wire.Decode(text)
	return f, len(text), errors.Wrap(err, "read frame")
}

// rate is a token bucket of one second for frames and one for bytes.
type rate struct {
	at     time.Time
	frames float64
	bytes  float64
}

func newRate(now time.Time) *rate {
	return &rate{at: now, frames: framesPerSecond, bytes: bytesPerSecond}
}

func (r *rate) take(now time.Time, size int) bool {
	passed := now.Sub(r.at).Seconds()
	r.at = now
	r.frames = min(r.frames+passed*framesPerSecond, framesPerSecond) - 1
	r.bytes = min(r.bytes+passed*bytesPerSecond, bytesPerSecond) - float64(size)
	return r.frames >= 0 && r.bytes >= 0
}

// remoteIP returns the other side's IP address.
func remoteIP(conn *websocket.Conn) net.IP {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP
	}
	return nil
}
