package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/dialect"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
	"github.com/shallotspool/shallotspool/node/sidecar"
)

// testDialect has other names than any platform: nothing here may depend on them.
func testDialect(s store.Reader) dialect.Dialect {
	return dialect.Dialect{
		Headers: dialect.Headers{
			RequestID: "X-Id", Deadline: "X-Left", Stamp: "X-Stamp", Expect: "X-Expect", NotRun: "X-Not-Run",
			RetryAfter: "Retry-After", Caller: "X-Caller",
		},
		ParentOf:  func(id string) string { parent, _, _ := strings.Cut(id, "/"); return parent },
		ReadyPath: "/ready",
		OpenStore: func(string, func() time.Duration) store.Reader { return s },
	}
}

// fakeStore hands out what a test publishes.
type fakeStore struct {
	mu      sync.Mutex
	changes []store.Changes
	wake    chan struct{}
	down    bool
	// forgets is the number of watches that find their history gone next.
	forgets int
}

func newFakeStore() *fakeStore { return &fakeStore{wake: make(chan struct{})} }

func (f *fakeStore) publish(c store.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Revision = uint64(len(f.changes) + 1)
	for i := range c.Upstreams {
		c.Upstreams[i].Revision = c.Revision
	}
	f.changes = append(f.changes, c)
	close(f.wake)
	f.wake = make(chan struct{})
}

// List implements store.Reader.
func (f *fakeStore) List() (store.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Changes{}, store.ErrRead
	}
	return store.Changes{}, nil
}

// Watch implements store.Reader.
func (f *fakeStore) Watch(after uint64, wait, _ time.Duration) (store.Changes, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return store.Changes{}, store.ErrRead
	}
	if f.forgets > 0 {
		f.forgets--
		f.mu.Unlock()
		return store.Changes{}, store.ErrHistory
	}
	if int(after) < len(f.changes) {
		defer f.mu.Unlock()
		return f.changes[after], nil
	}
	wake := f.wake
	f.mu.Unlock()
	select {
	case <-wake:
	case <-time.After(wait):
	}
	return store.Changes{Revision: after}, nil
}

// upstream is a stand-in for an upstream; run answers a request.
type upstream struct {
	id     string
	server *fasthttp.Server
	mu     sync.Mutex
	seen   []string
	run    func(ctx *fasthttp.RequestCtx)
}

func (u *upstream) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	ctx.Response.Header.Set("X-Id", string(h.Peek("X-Id")))
	if string(h.Peek("X-Expect")) != u.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.seen = append(u.seen, string(h.Peek("X-Id"))+" "+string(h.Peek("X-Caller"))+" "+string(h.RequestURI()))
	run := u.run
	u.mu.Unlock()
	ctx.Response.Header.Set("X-Stamp", "s")
	run(ctx)
}

func (u *upstream) runs() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.seen...)
}

func (u *upstream) behave(run func(*fasthttp.RequestCtx)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.run = run
}

// fleet is sidecars on loopback addresses of their own, with the same ports.
type fleet struct {
	t         *testing.T
	store     *fakeStore
	ports     [6]int
	sidecars  map[string]*sidecar.Sidecar
	upstreams map[string]*upstream
	logs      *syncBuffer
	// out gets the log lines of nodes started from now on; nil means logs.
	out io.Writer
}

// syncBuffer collects the log lines of all nodes.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// newFleet starts a node for each "service/ip" and waits until all are ready.
func newFleet(t *testing.T, instances ...string) *fleet {
	f := &fleet{
		t: t, store: newFakeStore(), sidecars: map[string]*sidecar.Sidecar{}, upstreams: map[string]*upstream{},
		logs: &syncBuffer{},
	}
	for i := range f.ports {
		f.ports[i] = freePort(t)
	}
	for _, text := range instances {
		service, ip, _ := strings.Cut(text, "/")
		f.startUpstream(ip)
		f.start(service, ip)
	}
	f.store.publish(store.Changes{Tables: []*route.Table{testTable(1)}})
	for _, text := range instances {
		service, ip, _ := strings.Cut(text, "/")
		f.register(service, ip, false)
	}
	known := len(instances) * len(instances)
	f.eventually("all know all", func() bool { return strings.Count(f.logs.String(), "upstream registered") == known })
	for ip := range f.sidecars {
		f.eventually("ready", func() bool { return f.ready(ip) })
	}
	return f
}

func testTable(version route.Version) *route.Table {
	t := &route.Table{Version: version, Routes: []*route.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second,
			Goal: time.Second, Priority: 1, Split: []route.Share{{Service: "deep", Weight: 1}}},
		{Name: "write", Host: "h", Prefix: "/write/", MaxAttempts: 2, Timeout: 5 * time.Second,
			Goal: time.Second, Split: []route.Share{{Service: "deep", Weight: 1}}},
	}}
	t.Index()
	return t
}

func freePort(t *testing.T) int {
	ln, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

func (f *fleet) addr(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[port]))
}

const (
	callersPort = iota
	peersPort
	readyPort
	heartbeatPort
	metricsPort
	upstreamPort
)

func (f *fleet) startUpstream(ip string) {
	u := &upstream{id: "i-" + ip, run: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("from " + ip) }}
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true}
	ln, err := net.Listen("tcp", f.addr(ip, upstreamPort))
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = u.server.Serve(ln) }()
	f.t.Cleanup(func() { _ = ln.Close() })
	f.upstreams[ip] = u
}

func (f *fleet) start(service, ip string) {
	s := &sidecar.Settings{
		Node: ip, Service: service, DataCentre: "a", LogLevel: "info",
		Listen: sidecar.ListenSettings{
			Callers: f.addr(ip, callersPort), Peers: f.addr(ip, peersPort), Ready: f.addr(ip, readyPort),
			Heartbeats: f.addr(ip, heartbeatPort), Metrics: f.addr(ip, metricsPort),
		},
		Upstream: sidecar.UpstreamSettings{Address: f.addr(ip, upstreamPort)},
		Store:    sidecar.StoreSettings{Address: "127.0.0.1:1"},
		Limits:   sidecar.LimitSettings{MemoryMB: 256, Descriptors: 1024},
		Bounds: sidecar.BoundSettings{
			GraceSeconds: 6, RetryRatio: 0.2, RetrySlack: 49, RetryWindowSeconds: 10,
		},
	}
	out := f.out
	if out == nil {
		out = f.logs
	}
	sc, err := sidecar.Start(s, "", testDialect(f.store), out)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sidecars[ip] = sc
	f.t.Cleanup(sc.Abort)
}

func (f *fleet) register(service, ip string, draining bool) {
	f.store.publish(store.Changes{Upstreams: []registry.Change{{ID: "i-" + ip, Upstream: &registry.Upstream{
		ID: "i-" + ip, Service: service, Address: f.addr(ip, upstreamPort), Instance: ip, DataCentre: "a",
		Slots: 8, Draining: draining,
	}}}})
}

func (f *fleet) ready(ip string) bool {
	status, _, err := fasthttp.Get(nil, "http://"+f.addr(ip, readyPort)+"/ready")
	return err == nil && status == fasthttp.StatusOK
}

// patience is how long a test waits for what has to come; nothing is timed by it.
const patience = 30 * time.Second

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("never: %s\n%s", what, f.logs)
		}
	}
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	header map[string]string
}

// caller is one connection of a caller.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (f *fleet) caller(ip string) *caller {
	conn, err := net.Dial("tcp", f.addr(ip, callersPort))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &caller{f.t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(method, path, id string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: 4000\r\nContent-Length: 0\r\n\r\n", method, path, id); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) receive() answer {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	var resp fasthttp.Response
	if err := resp.Read(c.in); err != nil {
		c.t.Fatal(err)
	}
	a := answer{status: resp.StatusCode(), body: string(resp.Body()), header: map[string]string{}}
	for name, value := range resp.Header.All() {
		a.header[string(name)] = string(value)
	}
	return a
}

func (c *caller) ask(method, path, id string) answer {
	c.t.Helper()
	c.send(method, path, id)
	return c.receive()
}
