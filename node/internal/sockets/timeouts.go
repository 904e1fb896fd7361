package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPTimeouts holds the TCP timeouts after which the kernel closes a connection
// whose remote side is unreachable. A network partition or a remote host that
// lost power sends no reset, so that only these timeouts detect it.
type TCPTimeouts struct {
	// UserTimeout is how long sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveIdle is how long a connection is idle before the first keep-alive
	// probe, and KeepAliveInterval is the time between two probes.
	KeepAliveIdle, KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes after which the connection
	// is closed.
	KeepAliveCount int
}

// Apply sets the timeouts on a connection. It ignores connections other than
// TCP.
func (t TCPTimeouts) Apply(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(t.keepAlive()); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = t.setUserTimeout(fd) })
	if err != nil {
		return err
	}
	return optErr
}

// Dialer returns a dialer that sets the timeouts on each connection before it
// connects.
func (t TCPTimeouts) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: t.keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			if err := raw.Control(func(fd uintptr) { optErr = t.setUserTimeout(fd) }); err != nil {
				return err
			}
			return optErr
		},
	}
}

func (t TCPTimeouts) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: t.KeepAliveIdle, Interval: t.KeepAliveInterval, Count: t.KeepAliveCount}
}

func (t TCPTimeouts) setUserTimeout(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(t.UserTimeout.Milliseconds()))
}
