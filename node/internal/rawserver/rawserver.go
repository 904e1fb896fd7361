// Package rawserver provides a TCP server for tests that control every byte of
// a response.
package rawserver

import (
	"net"
	"testing"
)

// Serve listens on a loopback address until the test ends and returns that
// address. It calls handle for each connection in a new goroutine; handle must
// close the connection.
func Serve(t *testing.T, handle func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return ln.Addr().String()
}
