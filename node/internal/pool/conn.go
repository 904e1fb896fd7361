package pool

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/http1"
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

	// responses checks what Reader gets.
	responses    *http1.ResponseReader
	bytesWritten atomic.Int64
	openedAt     time.Time
	idleSince    time.Time
}

func newConn(raw net.Conn, extraHeaderBytes int) *Conn {
	c := &Conn{Conn: raw, openedAt: time.Now(), idleSince: time.Now()}
	maxHeaderBytes := MaxHeaderBytes + extraHeaderBytes
	c.responses = http1.NewResponseReader(raw, http1.ResponseOptions{MaxHeadBytes: maxHeaderBytes})
	c.Reader = bufio.NewReaderSize(c, maxHeaderBytes)
	c.Writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Read reads well-formed responses from the socket; see http1.ResponseReader.
func (c *Conn) Read(b []byte) (int, error) { return c.responses.Read(b) }

// socketError returns the error of Read if that is why reading a response failed with err.
// fasthttp replaces all errors at the first byte of a response.
func (c *Conn) socketError(err error) error {
	readError := c.responses.Err()
	if err == nil || readError == nil || errors.Is(readError, io.EOF) {
		return err
	}
	return errors.Wrap(readError, "read response")
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
