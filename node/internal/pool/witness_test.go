package pool

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const testTimeout = 5 * time.Second

// startTarget starts a server that answers all requests, and returns a pool for it and its
// connections as it accepts them.
func startTarget(t *testing.T) (*Pool, <-chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go func() { _ = fasthttp.ServeConn(conn, func(*fasthttp.RequestCtx) {}) }()
		}
	}()
	p := New(Config{Address: ln.Addr().String(), MaxConnections: 8})
	t.Cleanup(p.Close)
	return p, accepted
}

func keepWitness(t *testing.T, p *Pool) *Conn {
	t.Helper()
	if err := p.KeepWitness(testTimeout); err != nil {
		t.Fatal(err)
	}
	return p.witness
}

func exchange(t *testing.T, p *Pool) *Conn {
	t.Helper()
	c, err := p.Get(testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	var req fasthttp.Request
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	if err := c.Exchange(&req, &fasthttp.Response{}, 100); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestWitnessCarriesNoRequests guards against a connection that is to show whether the
// process lives, and that ends with the answer to a request.
func TestWitnessCarriesNoRequests(t *testing.T) {
	p, _ := startTarget(t)
	first := keepWitness(t, p)
	used := exchange(t, p)
	if used == first {
		t.Fatal("a request was sent on the witness")
	}
	started := time.Now()
	p.Discard(used)
	if !p.AnyOpenSince(started) {
		t.Error("no connection counts as open after the only one in use was lost, want the witness")
	}
}

// TestAnsweredConnectionBecomesWitness guards against a witness that the process has not
// accepted yet and that outlives it in the queue of a listener.
func TestAnsweredConnectionBecomesWitness(t *testing.T) {
	p, _ := startTarget(t)
	first := keepWitness(t, p)
	used := exchange(t, p)
	p.Put(used)
	if got := keepWitness(t, p); got != used {
		t.Error("the witness is not the connection on which the target has answered")
	}
	if next := exchange(t, p); next != first {
		t.Error("the former witness is not in use again")
	}
}

// TestClosedWitnessIsReplaced guards against a witness that the target closed while idle, so
// that the next lost answer is taken for a crash.
func TestClosedWitnessIsReplaced(t *testing.T) {
	p, accepted := startTarget(t)
	first := keepWitness(t, p)
	_ = (<-accepted).Close()
	for end := time.Now().Add(testTimeout); first.StillOpen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the close did not arrive")
		}
	}
	if p.AnyOpenSince(time.Now()) {
		t.Error("a closed witness counts as open")
	}
	if got := keepWitness(t, p); got == first || !got.StillOpen() || p.ConnectionCount() != 1 {
		t.Errorf("witness %p after %p was closed, %d connections; want a new one and no other", got, first, p.ConnectionCount())
	}
}
