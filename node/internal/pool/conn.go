package pool

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// Buffer sizes of a connection, in bytes. The reader's bounds the header of an
// answer.
const (
	readBuffer  = 16 << 10
	writeBuffer = 4 << 10
)

// Conn is one connection to a target. Only Close may be called while another
// goroutine uses it.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Writer *bufio.Writer
	// Reused is false for the first request of a connection.
	Reused bool
	// Spent is true once the connection cannot carry another request.
	Spent bool

	written   atomic.Int64
	idleSince time.Time
}

func newConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	c.Reader = bufio.NewReaderSize(raw, readBuffer)
	c.Writer = bufio.NewWriterSize(c, writeBuffer)
	return c
}

// Write counts what left for the other side.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Sent tells whether any byte left since the connection was taken.
func (c *Conn) Sent() bool { return c.written.Load() > 0 }
