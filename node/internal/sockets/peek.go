// Package sockets inspects TCP connections without reading from them, and sets
// their timeouts.
package sockets

import (
	"net"
	"syscall"
)

// State is the state of a connection as seen by Peek.
type State uint8

// The states of a connection.
const (
	// Open means that the connection is open and has no unread bytes.
	Open State = iota + 1
	// Readable means that there are unread bytes.
	Readable
	// Closed means that the remote side closed or reset the connection.
	Closed
)

// Peek returns the state of conn without reading from it. A connection without
// a file descriptor counts as Open.
func Peek(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Open
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Open
	err = raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peekDescriptor(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Open
	case err != nil || n == 0:
		return Closed
	}
	return Readable
}
