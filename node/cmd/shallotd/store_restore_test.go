package main

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/harness/freeport"
	"github.com/shallotspool/shallotspool/node/sidecar"
	"github.com/shallotspool/shallotspool/platform"
	"github.com/shallotspool/shallotspool/platform/standin"
)

// restoreFixture is one sidecar that reads a stand-in of the platform's store.
type restoreFixture struct {
	t     *testing.T
	store *standin.Store
	log   *logBuffer
	// metricsAddress is where the sidecar serves its metrics.
	metricsAddress string
}

// logBuffer collects the log lines of the sidecar.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// restoreTestIP is the loopback address of the sidecar. No other test uses it.
const restoreTestIP = "127.0.4.1"

func newRestoreFixture(t *testing.T) *restoreFixture {
	s, err := standin.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &restoreFixture{t: t, store: s, log: &logBuffer{}}
	f.putTable(1, "first")
	f.register("known", "127.0.50.1")
	settings := f.settings()
	f.metricsAddress = settings.Listen.Metrics
	node, err := sidecar.Start(settings, "", platform.Dialect(), f.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Abort)
	f.waitForLog("table in force", "version=1")
	return f
}

func (f *restoreFixture) settings() *sidecar.Settings {
	return &sidecar.Settings{
		Node: "n", Service: "s", DataCentre: "a", LogLevel: "info",
		Listen: sidecar.ListenSettings{
			Callers: f.freeAddress(), Peers: f.freeAddress(), Ready: f.freeAddress(), Heartbeats: f.freeAddress(), Metrics: f.freeAddress(),
		},
		Upstream: sidecar.UpstreamSettings{Address: f.freeAddress()},
		Store:    sidecar.StoreSettings{Address: f.store.Address()},
		Limits:   sidecar.LimitSettings{MemoryMB: 256, Descriptors: 1024},
		Bounds:   sidecar.BoundSettings{GraceSeconds: 6, RetryRatio: 0.2, RetrySlack: 49, RetryWindowSeconds: 10},
	}
}

func (f *restoreFixture) freeAddress() string {
	port, err := freeport.Choose()
	if err != nil {
		f.t.Fatal(err)
	}
	return net.JoinHostPort(restoreTestIP, strconv.Itoa(port))
}

// putTable writes a table with one route for each host, to the service s.
func (f *restoreFixture) putTable(version route.Version, hosts ...string) {
	table := &route.Table{Version: version, Services: map[string]route.Service{"s": {Name: "s"}}}
	for _, host := range hosts {
		table.Routes = append(table.Routes, &route.Route{
			Name: host, Host: host, Prefix: "/", Idempotent: true, MaxAttempts: 1, Split: []route.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	key, value, err := platform.EncodeConfig(table)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put(key, value)
}

func (f *restoreFixture) register(id, ip string) {
	key, value, err := platform.EncodeRegistration(&registry.Upstream{ID: id, Service: "s", Address: ip + ":80", DataCentre: "a", Slots: 5, Born: 1})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put(key, value)
}

// logged reports whether the log has a line with a message and a field.
func (f *restoreFixture) logged(message, field string) bool {
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, message) && slices.Contains(strings.Fields(line), field) {
			return true
		}
	}
	return false
}

// waitTimeout is how long a test waits for an expected log line. No test measures time
// with it.
const waitTimeout = 30 * time.Second

func (f *restoreFixture) waitForLog(message, field string) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !f.logged(message, field); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("no line %q with %s\n%s", message, field, f.log)
		}
	}
}

// restoreUnread takes the store away, restores it to a revision and lets write run before
// any node reads it again.
func (f *restoreFixture) restoreUnread(revision uint64, write func()) {
	f.store.FailWithStatus(503)
	f.waitForLog("store lost", "node=n")
	f.store.Restore(revision)
	write()
	f.store.ClearFaults()
}

// TestTableWrittenAgainAfterRestoreComesIntoForce guards against a confirmed table that
// never comes into force because it was written again below the revision that the node
// had read before the store was restored.
func TestTableWrittenAgainAfterRestoreComesIntoForce(t *testing.T) {
	f := newRestoreFixture(t)
	copied := f.store.Revision()
	for i := range 5 {
		f.register(fmt.Sprintf("lost-%d", i), fmt.Sprintf("127.0.51.%d", i+1))
	}
	f.waitForLog("upstream registered", "upstream=lost-4")
	f.restoreUnread(copied, func() {
		f.putTable(2, "first", "added")
		for i := range 9 {
			f.register(fmt.Sprintf("again-%d", i), fmt.Sprintf("127.0.52.%d", i+1))
		}
	})
	f.waitForLog("upstream registered", "upstream=again-8")
	if !f.logged("table in force", "version=2") {
		t.Errorf("the node has read up to the last change after the restore, but version 2 is not in force\n%s", f.log)
	}
}

// TestRegistrationAfterRestoreIsFollowed guards against registrations that are ignored
// because the restored store gives them lower revisions than the node has seen.
func TestRegistrationAfterRestoreIsFollowed(t *testing.T) {
	f := newRestoreFixture(t)
	copied := f.store.Revision()
	for i := range 9 {
		f.register(fmt.Sprintf("lost-%d", i), fmt.Sprintf("127.0.51.%d", i+1))
	}
	f.waitForLog("upstream registered", "upstream=lost-8")
	f.restoreUnread(copied, func() { f.register("again", "127.0.52.1") })
	f.waitForLog("upstream registered", "upstream=again")
	f.putTable(2, "first", "added")
	f.waitForLog("table in force", "version=2")
	_, metrics, err := fasthttp.Get(nil, "http://"+f.metricsAddress+"/metrics")
	if want := fmt.Sprintf("shallot_store_revision %d\n", f.store.Revision()); err != nil || !strings.Contains(string(metrics), want) {
		t.Errorf("got error %v, and the metrics do not say %q\n%s", err, want, f.log)
	}
}
