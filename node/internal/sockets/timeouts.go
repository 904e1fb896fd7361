package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Silence holds the TCP timeouts after which the kernel closes a connection
// whose remote side is unreachable. A network partition or a remote host that
// lost power sends no reset, so that only these timeouts detect it.
type Silence struct {
	// Unacknowledged is how long sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	Unacknowledged time.Duration
	// Idle is how long a connection is idle before the first keep-alive
	// probe, and Silence.Probe is the time between two probes.
	Idle, Probe time.Duration
	// Probes is the number of unanswered probes after which the connection is
	// closed.
	Probes int
}

// Apply sets the timeouts on a connection. It ignores connections other than
// TCP.
func (t Silence) Apply(conn net.Conn) error {
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
func (t Silence) Dialer(timeout time.Duration) *net.Dialer {
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

func (t Silence) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: t.Idle, Interval: t.Probe, Count: t.Probes}
}

func (t Silence) setUserTimeout(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(t.Unacknowledged.Milliseconds()))
}
