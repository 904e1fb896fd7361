package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
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
	"github.com/shallotspool/shallotspool/harness/freeport"
	"github.com/shallotspool/shallotspool/node/sidecar"
)

// testDialect returns names that differ from those of any real platform, so that the
// tests fail if a sidecar depends on a platform's names.
func testDialect(s store.Reader) dialect.Dialect {
	return dialect.Dialect{
		Headers: dialect.Headers{
			RequestID: "X-Id", Deadline: "X-Left", ResponseStamp: "X-Stamp", ExpectInstance: "X-Expect", NotExecuted: "X-Not-Run",
			RetryAfter: "Retry-After", CallerService: "X-Caller",
			RateLimit: "X-Limit", UpstreamLeaving: "X-Leaving",
		},
		ParentID:       func(id string) string { parent, _, _ := strings.Cut(id, "/"); return parent },
		ReadyPath:      "/ready",
		NewStoreReader: func(string, func() time.Duration) store.Reader { return s },
	}
}

// fakeStore is a store.Reader that returns the changes published by a test.
type fakeStore struct {
	mu          sync.Mutex
	changes     []store.Changes
	changed     chan struct{}
	unavailable bool
	// watchesWithoutHistory is the number of further watches that fail with
	// store.ErrRevisionGone.
	watchesWithoutHistory int
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (f *fakeStore) publish(c store.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Revision = uint64(len(f.changes) + 1)
	for i := range c.Upstreams {
		c.Upstreams[i].Revision = c.Revision
	}
	f.changes = append(f.changes, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

// List implements store.Reader. It returns an empty listing at revision 0, so that
// watches return all changes.
func (f *fakeStore) List() (store.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return store.Changes{}, store.ErrUnavailable
	}
	return store.Changes{}, nil
}

// Watch implements store.Reader.
func (f *fakeStore) Watch(after uint64, wait, _ time.Duration) (store.Changes, error) {
	f.mu.Lock()
	if f.unavailable {
		f.mu.Unlock()
		return store.Changes{}, store.ErrUnavailable
	}
	if f.watchesWithoutHistory > 0 {
		f.watchesWithoutHistory--
		f.mu.Unlock()
		return store.Changes{}, store.ErrRevisionGone
	}
	if int(after) < len(f.changes) {
		defer f.mu.Unlock()
		return f.changes[after], nil
	}
	changed := f.changed
	f.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	}
	return store.Changes{Revision: after}, nil
}

// fakeUpstream is an HTTP server that acts as an upstream; respond fills in its
// responses.
type fakeUpstream struct {
	id       string
	server   *fasthttp.Server
	listener net.Listener
	mu       sync.Mutex
	// received holds the ID, calling service and URI of each request.
	received []string
	// misdirected counts the requests that expected another upstream.
	misdirected int
	respond     func(ctx *fasthttp.RequestCtx)
}

func (u *fakeUpstream) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	ctx.Response.Header.Set("X-Id", string(h.Peek("X-Id")))
	u.mu.Lock()
	if string(h.Peek("X-Expect")) != u.id {
		u.misdirected++
		u.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	u.received = append(u.received, string(h.Peek("X-Id"))+" "+string(h.Peek("X-Caller"))+" "+string(h.RequestURI()))
	respond := u.respond
	u.mu.Unlock()
	ctx.Response.Header.Set("X-Stamp", "s")
	respond(ctx)
}

func (u *fakeUpstream) receivedRequests() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.received...)
}

func (u *fakeUpstream) setResponse(respond func(*fasthttp.RequestCtx)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.respond = respond
}

// fleet is a set of sidecars, each on a loopback address of its own, with the same
// ports.
type fleet struct {
	t         *testing.T
	store     *fakeStore
	ports     [6]int
	sidecars  map[string]*sidecar.Sidecar
	upstreams map[string]*fakeUpstream
	logs      *syncBuffer
	// logOutput receives the log lines of nodes that are started from now on; nil
	// stands for logs.
	logOutput io.Writer
}

// syncBuffer collects the log lines of all nodes.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// newFleet starts a node and an upstream for each "service/ip" and waits until all
// nodes are ready.
func newFleet(t *testing.T, instances ...string) *fleet {
	f := &fleet{
		t: t, store: newFakeStore(), sidecars: map[string]*sidecar.Sidecar{}, upstreams: map[string]*fakeUpstream{},
		logs: &syncBuffer{},
	}
	for i := range f.ports {
		f.ports[i] = freePort(t)
	}
	for _, text := range instances {
		service, ip, _ := strings.Cut(text, "/")
		f.startUpstream(ip)
		f.startNode(service, ip)
	}
	f.store.publish(store.Changes{Tables: []*route.Table{testTable(1)}})
	for _, text := range instances {
		service, ip, _ := strings.Cut(text, "/")
		f.register(service, ip, false)
	}
	f.eventually("all upstreams known to all nodes", func() bool { return f.knownUpstreams() == len(instances)*len(instances) })
	for ip := range f.sidecars {
		f.eventually("ready", func() bool { return f.ready(ip) })
	}
	return f
}

var registeredPattern = regexp.MustCompile(`msg="upstream registered".* node=(\S+) .* upstream=(\S+)`)

// knownUpstreams returns the number of pairs of a node and an upstream that it has registered. A node
// that learns of an upstream from the store and from another node logs it twice.
func (f *fleet) knownUpstreams() int {
	pairs := map[[2]string]bool{}
	for _, match := range registeredPattern.FindAllStringSubmatch(f.logs.String(), -1) {
		pairs[[2]string{match[1], match[2]}] = true
	}
	return len(pairs)
}

func testTable(version route.Version) *route.Table {
	t := &route.Table{Version: version, Services: map[string]route.Service{"deep": {Name: "deep"}}, Routes: []*route.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second,
			Goal: time.Second, Priority: 1, Split: []route.WeightedService{{Service: "deep", Weight: 1}}},
		{Name: "write", Host: "h", Prefix: "/write/", MaxAttempts: 2, Timeout: 5 * time.Second,
			Goal: time.Second, Split: []route.WeightedService{{Service: "deep", Weight: 1}}},
	}}
	t.BuildIndex()
	return t
}

func freePort(t *testing.T) int {
	port, err := freeport.Choose()
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// address returns the address of a listener; port is an index into ports.
func (f *fleet) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[port]))
}

// The indexes into fleet.ports.
const (
	callersPort = iota
	peersPort
	readyPort
	heartbeatPort
	metricsPort
	upstreamPort
)

func (f *fleet) startUpstream(ip string) {
	u := &fakeUpstream{id: "i-" + ip, respond: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("from " + ip) }}
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true}
	ln, err := net.Listen("tcp", f.address(ip, upstreamPort))
	if err != nil {
		f.t.Fatal(err)
	}
	u.listener = ln
	go func() { _ = u.server.Serve(ln) }()
	f.t.Cleanup(func() { _ = ln.Close() })
	f.upstreams[ip] = u
}

func (f *fleet) startNode(service, ip string) {
	s := &sidecar.Settings{
		Node: ip, Service: service, DataCentre: "a", LogLevel: "info",
		Listen: sidecar.ListenSettings{
			Callers: f.address(ip, callersPort), Peers: f.address(ip, peersPort), Ready: f.address(ip, readyPort),
			Heartbeats: f.address(ip, heartbeatPort), Metrics: f.address(ip, metricsPort),
		},
		Upstream: sidecar.UpstreamSettings{Address: f.address(ip, upstreamPort)},
		// testDialect ignores the address of the store.
		Store:  sidecar.StoreSettings{Address: "127.0.0.1:1"},
		Limits: sidecar.LimitSettings{MemoryMB: 256, Descriptors: 1024},
		Bounds: sidecar.BoundSettings{
			// The window is short, so that the nodes have been up for longer when tests begin.
			GraceSeconds: 6, RetryRatio: 0.2, RetrySlack: 49, RetryWindowSeconds: 0.1,
		},
	}
	logOutput := f.logOutput
	if logOutput == nil {
		logOutput = f.logs
	}
	sc, err := sidecar.Start(s, "", testDialect(f.store), logOutput)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sidecars[ip] = sc
	f.t.Cleanup(sc.Abort)
}

func (f *fleet) register(service, ip string, draining bool) {
	f.store.publish(store.Changes{Upstreams: []registry.Change{{ID: "i-" + ip, Upstream: &registry.Upstream{
		ID: "i-" + ip, Service: service, Address: f.address(ip, upstreamPort), Instance: ip, DataCentre: "a",
		Slots: 8, Draining: draining,
	}}}})
}

func (f *fleet) ready(ip string) bool {
	status, _, err := fasthttp.Get(nil, "http://"+f.address(ip, readyPort)+"/ready")
	return err == nil && status == fasthttp.StatusOK
}

// waitTimeout is how long a test waits for an expected event. It is generous: no test
// measures time with it.
const waitTimeout = 30 * time.Second

func (f *fleet) eventually(event string, occurred func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !occurred(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for: %s\n%s", event, f.logs)
		}
	}
}

// callerResponse is a response as a caller receives it.
type callerResponse struct {
	status int
	body   string
	header map[string]string
}

// caller is a caller with a single connection.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fleet) caller(ip string) *caller {
	conn, err := net.Dial("tcp", f.address(ip, callersPort))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &caller{f.t, conn, bufio.NewReaderSize(conn, 32<<10)}
}

func (c *caller) send(method, path, id string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: 4000\r\nContent-Length: 0\r\n\r\n", method, path, id); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) receive() callerResponse {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	var resp fasthttp.Response
	if err := resp.Read(c.reader); err != nil {
		c.t.Fatal(err)
	}
	got := callerResponse{status: resp.StatusCode(), body: string(resp.Body()), header: map[string]string{}}
	for name, value := range resp.Header.All() {
		got.header[string(name)] = string(value)
	}
	return got
}

func (c *caller) request(method, path, id string) callerResponse {
	c.t.Helper()
	c.send(method, path, id)
	return c.receive()
}

// requestUntilSent sends requests for path to a node, with IDs that begin with id, until one of them is not
// refused, and returns its response. It checks that those refused say when to come back, and were sent nowhere.
func (f *fleet) requestUntilSent(ip, path, id string) (got callerResponse) {
	f.t.Helper()
	try := 0
	f.eventually("a request for "+path+" is not refused", func() bool {
		try++
		tryID := fmt.Sprintf("%s-%d", id, try)
		got = f.caller(ip).request("GET", path, tryID)
		if got.status != fasthttp.StatusServiceUnavailable {
			return true
		}
		if got.header["Retry-After"] == "" {
			f.t.Errorf("%s was refused without Retry-After", tryID)
		}
		f.expectNothingReceived(tryID)
		return false
	})
	return got
}

// expectNothingReceived checks that no upstream has received a request with one of these IDs.
func (f *fleet) expectNothingReceived(ids ...string) {
	f.t.Helper()
	for ip, u := range f.upstreams {
		for _, received := range u.receivedRequests() {
			if id, _, _ := strings.Cut(received, " "); slices.Contains(ids, id) {
				f.t.Errorf("the upstream at %s received %q", ip, received)
			}
		}
	}
}

// responseMemory returns the memory that the responses held by a node take, in bytes.
func (f *fleet) responseMemory(ip string) int {
	_, text, err := fasthttp.Get(nil, "http://"+f.address(ip, metricsPort)+"/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "\nshallot_response_memory_bytes ")
	value, _, _ := strings.Cut(rest, "\n")
	bytes, err := strconv.ParseFloat(value, 64)
	if err != nil {
		f.t.Fatal(err)
	}
	return int(bytes)
}
