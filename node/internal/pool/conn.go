package pool

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxHeaderBytes is the size of the read buffer of a connection, into which a response header must
// fit, unless Config.ExtraHeaderBytes adds to it.
const MaxHeaderBytes = 16 << 10

const writeBufferBytes = 4 << 10

// Conn is a connection to a target. While one goroutine uses it, others may
// call only Close.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Writer *bufio.Writer
	// Reused is false for the first request on the connection.
	Reused bool
	// NotReusable is true if the connection cannot carry another request.
	NotReusable bool

	// answered is true once a response has been read from the connection.
	answered bool

	bytesWritten atomic.Int64
	// readError is the error of the last read from the socket.
	readError error
	openedAt  time.Time
	idleSince time.Time
}

func newConn(raw net.Conn, extraHeaderBytes int) *Conn {
	c := &Conn{Conn: raw, openedAt: time.Now(), idleSince: time.Now()}
	c.Reader = bufio.NewReaderSize(c, MaxHeaderBytes+extraHeaderBytes)
	c.Writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Read reads from the socket and keeps the error.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readError = err
	return n, err
}

// socketError returns the error of the socket if that is why reading a response failed with
// err. fasthttp replaces all errors at the first byte of a response.
func (c *Conn) socketError(err error) error {
	if err == nil || c.readError == nil || errors.Is(c.readError, io.EOF) {
		return err
	}
	return errors.Wrap(c.readError, "read response")
}

// Write writes to the socket and counts the bytes written.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// Sent reports whether any byte has been written to the socket since the
// connection was taken from the pool.
func (c *Conn) Sent() bool { return c.bytesWritten.Load() > 0 }
