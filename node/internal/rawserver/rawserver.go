// Package rawserver takes connections for tests that decide on every byte of an
// answer.
package rawserver

import (
	"net"
	"testing"
)

// Serve hands each connection to handle, in a goroutine of its own, until the test
// ends, and returns the address. handle closes the connection.
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
