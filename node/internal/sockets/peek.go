// Package sockets looks at the state of TCP connections without reading them.
package sockets

import (
	"net"
	"syscall"
)

// State is what a look at a connection showed.
type State uint8

// The states.
const (
	// Open means that the other side has sent nothing that was not read yet.
	Open State = iota + 1
	// Readable means that unread bytes wait.
	Readable
	// Closed means that the other side closed or reset it.
	Closed
)

// Peek tells the state of conn and reads nothing. A connection that has no file
// descriptor counts as Open.
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
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
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
