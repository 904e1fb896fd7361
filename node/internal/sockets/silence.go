package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Silence bounds how long a connection may be silent before the kernel ends it:
// a partition, or a peer without power, sends no reset.
type Silence struct {
	// Unacknowledged is how long sent bytes may stay unacknowledged.
	Unacknowledged time.Duration
	// Idle is how long a connection may carry nothing before it is probed, and
	// Probe the time between two probes, of which Probes may fail.
	Idle, Probe time.Duration
	Probes      int
}

// Apply sets the bounds on a connection; one without a file descriptor is left
// alone.
func (s Silence) Apply(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(s.keepAlive()); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = s.set(fd) })
	if err != nil {
		return err
	}
	return failed
}

// Dialer returns a dialer whose connections have the bounds from the start.
func (s Silence) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: s.keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			if err := raw.Control(func(fd uintptr) { failed = s.set(fd) }); err != nil {
				return err
			}
			return failed
		},
	}
}

func (s Silence) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.Idle, Interval: s.Probe, Count: s.Probes}
}

func (s Silence) set(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.Unacknowledged.Milliseconds()))
}
