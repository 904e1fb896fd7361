// Package freeport chooses ports for processes that are told their ports before they
// listen. They are below the range from which the system takes the ports of outgoing
// connections, so that none of these takes a port between its choice and its use.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports that are chosen from. Linux takes those of outgoing connections from 32768 on.
const (
	firstPort = 12000
	lastPort  = 31999
)

// ErrNone is returned if no port of the range is free.
var ErrNone = errors.New("no free port")

var (
	mu sync.Mutex
	// offset is the position in the range of the next port to try. Processes start at
	// different positions, as they may choose at the same time.
	offset = os.Getpid() * 97
)

// Choose returns a port that is free for TCP and UDP on all local addresses. A process gets
// a port only once.
func Choose() (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastPort - firstPort + 1 {
		port := firstPort + offset%(lastPort-firstPort+1)
		offset++
		if free(port) {
			return port, nil
		}
	}
	return 0, ErrNone
}

func free(port int) bool {
	address := net.JoinHostPort("0.0.0.0", strconv.Itoa(port))
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
