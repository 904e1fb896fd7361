package sidecar_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// listenWithShortQueue listens on an IPv4 address with the shortest queue of new connections.
func listenWithShortQueue(t *testing.T, address string) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	to := netip.MustParseAddrPort(address)
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: to.Addr().As4(), Port: int(to.Port())}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// boundedListener accepts a number of open connections and leaves others in its queue.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	release := sync.OnceFunc(func() { <-l.slots })
	conn, err := l.Listener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: release}, nil
}

// fillQueue opens connections until the listener takes no more into its queue.
func fillQueue(t *testing.T, address string) {
	t.Helper()
	for range 10 {
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of new connections is not full")
}

// TestFullQueueOfConnectionsIsNoOutageOfUpstream guards against an upstream that counts as down
// while it answers, because it did not accept one more connection in time.
func TestFullQueueOfConnectionsIsNoOutageOfUpstream(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	u := f.upstreams[deep]
	_ = u.server.Shutdown()
	address := f.address(deep, upstreamPort)
	// One of the two connections that the upstream accepts stays without a request.
	bounded := &boundedListener{Listener: listenWithShortQueue(t, address), slots: make(chan struct{}, 2)}
	u.setResponse(func(*fasthttp.RequestCtx) { time.Sleep(150 * time.Millisecond) })
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true}
	go func() { _ = u.server.Serve(bounded) }()
	first, second := f.caller(deep), f.caller(deep)
	// Two connections at once may exceed the queue.
	for i, answered := 0, 0; answered < 2; i++ {
		if i == 100 {
			t.Fatal("the upstream is not in use again")
		}
		if got := first.request("GET", "/read/x", fmt.Sprint("alone", i)); got.status == fasthttp.StatusOK {
			answered++
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	// Changes of what the node knows of its upstream are logged with the next plan.
	time.Sleep(4 * mesh.HeartbeatInterval)
	before := len(f.logs.String())
	fillQueue(t, address)
	for i := range 4 {
		first.send("GET", "/read/x", fmt.Sprint("kept", i))
		time.Sleep(50 * time.Millisecond)
		second.send("POST", "/write/x", fmt.Sprint("beyond", i))
		if got := first.receive(); got.status != fasthttp.StatusOK {
			t.Errorf("got status %d for request %d on the open connection, want 200", got.status, i)
		}
		if got := second.receive(); got.status != fasthttp.StatusServiceUnavailable {
			t.Errorf("got status %d for request %d beyond the connections, want 503", got.status, i)
		}
	}
	time.Sleep(4 * mesh.HeartbeatInterval)
	for line := range strings.Lines(f.logs.String()[before:]) {
		if strings.Contains(line, `msg="upstream faulty"`) {
			t.Errorf("a full queue of connections counts as an outage of the upstream: %s", line)
		}
	}
}
