// Package strictconn checks the requests on accepted connections before a server reads them that
// accepts more than HTTP/1.1 does.
package strictconn

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/http1"
)

// invalidRequest is read by the server in place of a malformed head, so that it responds with an error. The error
// of a read in its place would close the connection without a response.
const invalidRequest = "\x00\r\n\r\n"

// Config configures a listener.
type Config struct {
	// MaxHeadBytes is the maximum size of a head, and that of a trailer, in bytes.
	MaxHeadBytes int
	// AllowUpgrade passes on what follows a request with "Connection: Upgrade" unchecked. A server that
	// does not upgrade the connection must close it; see Conn.Unchecked.
	AllowUpgrade bool
	// OnMalformed is called with each malformed request. It may be nil.
	OnMalformed func(remote netip.Addr, err error)
}

// listener accepts connections whose requests are checked.
type listener struct {
	net.Listener
	cfg Config
}

// Wrap returns a listener that accepts the connections of ln as *Conn.
func Wrap(ln net.Listener, cfg Config) net.Listener { return &listener{ln, cfg} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	opts := http1.RequestOptions{MaxHeadBytes: l.cfg.MaxHeadBytes, AllowUpgrade: l.cfg.AllowUpgrade}
	return &Conn{Conn: raw, requests: http1.NewRequestReader(raw, opts), onMalformed: l.cfg.OnMalformed}, nil
}

// Conn is a connection of which only well-formed requests are read, without the fields of trailers.
type Conn struct {
	net.Conn
	requests    *http1.RequestReader
	onMalformed func(netip.Addr, error)
	// malformed is set once a request is malformed, and invalid is what is still to be read of
	// invalidRequest.
	malformed *http1.MalformedError
	invalid   string
}

// Read implements net.Conn. Its error is that of http1.RequestReader.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.invalid) == 0 {
		n, err := c.requests.Read(p)
		if err == nil || !c.recordMalformed(err) {
			return n, err
		}
	}
	n := copy(p, c.invalid)
	c.invalid = c.invalid[n:]
	return n, nil
}

// recordMalformed records the first malformed request, and reports whether invalidRequest is read in its place.
func (c *Conn) recordMalformed(err error) (replaced bool) {
	if c.malformed != nil || !errors.As(err, &c.malformed) {
		return false
	}
	if c.onMalformed != nil {
		remote, _ := c.RemoteAddr().(*net.TCPAddr)
		c.onMalformed(remote.AddrPort().Addr().Unmap(), err)
	}
	if !c.malformed.InHead() {
		return false
	}
	c.invalid = invalidRequest
	return true
}

// Malformed returns the error of the malformed request that ends the connection, nil if there is none.
func (c *Conn) Malformed() *http1.MalformedError { return c.malformed }

// Unchecked reports whether what follows the last request is passed on unchecked, so that no other request may be read.
func (c *Conn) Unchecked() bool { return c.requests.Unchecked() }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return raw.SyscallConn()
}
