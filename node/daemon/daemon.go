// Package daemon puts a node together: the engine, its listeners, its
// connections and links. The binary shallotd runs one; demonstrations and
// benchmarks run several in one process.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/status"
	"github.com/shallotspool/shallotspool/core/wire"
	"github.com/shallotspool/shallotspool/node/internal/admin"
	"github.com/shallotspool/shallotspool/node/internal/attempt"
	"github.com/shallotspool/shallotspool/node/internal/directory"
	"github.com/shallotspool/shallotspool/node/internal/link"
	"github.com/shallotspool/shallotspool/node/internal/logging"
	"github.com/shallotspool/shallotspool/node/internal/loop"
	"github.com/shallotspool/shallotspool/node/internal/metrics"
	"github.com/shallotspool/shallotspool/node/internal/platform"
	"github.com/shallotspool/shallotspool/node/internal/server"
	"github.com/shallotspool/shallotspool/node/internal/settings"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

// Settings is what a node is told about itself.
type Settings = settings.Settings

// DefaultSettings returns settings with the defaults; what has none must be set.
func DefaultSettings() *Settings { return settings.New() }

// The bounds of the concurrency limit before anything was learnt, in calls.
const (
	firstLimit = 20
	queueShare = 1
)

// pruneInterval is how often idle connections are looked at.
const pruneInterval = 5 * time.Second

// Daemon is one running node; its methods may be called from any goroutine.
type Daemon struct {
	settings *Settings
	log      *logging.Logger
	metrics  *metrics.Metrics
	loop     *loop.Loop
	carrier  *attempt.Carrier
	hub      *link.Hub
	platform *platform.Client
	reader   *platform.Reader
	held     *server.Held
	servers  []*server.Server
	admin    *admin.Server
	tasks    *task.Group

	ctx       context.Context
	cancel    context.CancelFunc
	stopped   chan struct{}
	stopOnce  sync.Once
	failed    chan error
	closeOnce sync.Once
}

// Start opens the listeners and runs a node until Stop or Kill. Log lines go to
// out.
func Start(s *Settings, out io.Writer) (*Daemon, error) {
	d := &Daemon{settings: s, metrics: metrics.New(), stopped: make(chan struct{}), failed: make(chan error, 1)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	self, err := newNodeID(s.Target)
	if err != nil {
		return nil, err
	}
	d.log = logging.New(out, s.LogLevel, logging.Field{Key: "target", Value: s.Target})
	d.tasks = task.NewGroup(d.panicked)
	d.build(self)
	if err := d.listen(self); err != nil {
		d.Kill()
		return nil, err
	}
	d.tasks.Go(func() { d.loop.Tick(d.ctx) })
	d.tasks.Go(d.prune)
	d.tasks.Go(func() {
		platform.Hints(d.ctx, s.UpstreamAddress.String(), s.UpstreamHealth, s.UpstreamLoad, d.loop.Step)
	})
	d.log.Info("started", logging.Field{Key: "service", Value: s.Service}, logging.Field{Key: "data_centre", Value: s.DataCentre})
	return d, nil
}

// newNodeID draws the incarnation of this run. It grows with the time of the
// start, so that peers tell a newer run from an older one.
func newNodeID(target string) (wire.NodeID, error) {
	var random [2]byte
	if _, err := rand.Read(random[:]); err != nil {
		return wire.NodeID{}, errors.Wrap(err, "draw incarnation")
	}
	incarnation := uint64(time.Now().UnixMicro())<<10 | uint64(binary.LittleEndian.Uint16(random[:])&0x3ff)
	return wire.NodeID{Target: target, Incarnation: incarnation}, nil
}

// build makes the parts that need no listener.
func (d *Daemon) build(self wire.NodeID) {
	s := d.settings
	known := directory.New()
	source := net.IP(s.ListenPeers.Addr().AsSlice())
	d.held = &server.Held{Max: int64(s.HeldBytes)}
	d.carrier = attempt.New(attempt.Config{
		Incarnation: self.Incarnation, Upstream: s.UpstreamAddress.String(),
		UpstreamConnections: s.UpstreamConnections, PeerConnections: s.PeerConnections,
		Source: source, MaxBody: s.BodyBytes, Directory: known,
		Connected: d.metrics.Connected, Failed: d.exchangeFailed,
	})
	d.loop = loop.New(engineConfig(s, self), time.Now(), d, d.tasks.Go)
	d.carrier.Attach(d.loop)
	d.hub = link.NewHub(link.Config{
		Self: self, Service: s.Service, DataCentre: s.DataCentre, Source: source, MaxLinks: s.Links,
		Directory: known, Tasks: d.tasks, Step: d.loop.Step,
		Dropped: func() { d.metrics.Count("shallot_frames_dropped_total", 1) }, Refused: d.linkFailed,
	})
	d.platform = platform.NewClient(s.PlatformAddress.String())
	d.reader = platform.NewReader(d.platform, known, d.tasks, d.loop.Step, d.readFailed)
	d.servers = []*server.Server{
		d.server(engine.OriginCaller, self, s.CallerConnections, nil),
		d.server(engine.OriginUpstream, self, s.CallerConnections, nil),
		d.server(engine.OriginPeer, self, s.CallerConnections, known),
	}
	d.admin = admin.New(d.loop.Status, d.metrics)
	d.gauges()
}

func engineConfig(s *Settings, self wire.NodeID) engine.Config {
	return engine.Config{
		Self: self, Service: s.Service, DataCentre: s.DataCentre, Seed: self.Incarnation,
		Policy:   engine.Full(),
		MaxCalls: s.Calls,
		AskPeers: spread.DefaultAsk, CheckApart: true,
		Admission: admission.Config{
			Initial: firstLimit, Min: 1, Max: s.UpstreamConnections, MaxQueue: queueShare * s.Calls,
		},
	}
}

func (d *Daemon) server(origin engine.Origin, self wire.NodeID, connections int, known *directory.Directory) *server.Server {
	cfg := server.Config{
		Origin: origin, Loop: d.loop, Incarnation: self.Incarnation,
		MaxConnections: connections, MaxBody: d.settings.BodyBytes, Held: d.held,
	}
	if known != nil {
		cfg.Accept = func(target string, ip netip.Addr) bool { return known.Matches(target, ip) }
		cfg.Upgrade = d.hub.Upgrade
	}
	return server.New(cfg)
}

// listen opens all listeners and serves them.
func (d *Daemon) listen(wire.NodeID) error {
	s := d.settings
	addresses := []*netip.AddrPort{&s.ListenCallers, &s.ListenUpstream, &s.ListenPeers}
	for i, address := range addresses {
		ln, err := open(address)
		if err != nil {
			return err
		}
		srv := d.servers[i]
		d.tasks.Go(func() { d.serve(srv.Serve(ln)) })
	}
	ln, err := open(&s.ListenAdmin)
	if err != nil {
		return err
	}
	d.tasks.Go(func() { d.serve(d.admin.Serve(ln)) })
	return nil
}

// open opens one listener; a port of 0 becomes the one that was given.
func open(address *netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	*address = ln.Addr().(*net.TCPAddr).AddrPort()
	return ln, nil
}

func (d *Daemon) prune() {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.carrier.Prune(now)
		}
	}
}

func (d *Daemon) gauges() {
	d.metrics.Gauge("shallot_calls_open", func() int64 { return int64(d.loop.Open()) })
	d.metrics.Gauge("shallot_held_bytes", d.held.Used)
	d.metrics.Gauge("shallot_links_open", func() int64 { return int64(d.hub.Links()) })
	d.metrics.Gauge("shallot_upstream_connections", func() int64 { up, _ := d.carrier.Connections(); return int64(up) })
	d.metrics.Gauge("shallot_peer_connections", func() int64 { _, peers := d.carrier.Connections(); return int64(peers) })
}

// Status returns what the node tells operators.
func (d *Daemon) Status() status.Node { return d.loop.Status() }

// Settings returns the settings, with the ports that the listeners were given.
func (d *Daemon) Settings() Settings { return *d.settings }

// Failed gets an error when the node cannot go on.
func (d *Daemon) Failed() <-chan error { return d.failed }

// LogLevel is the severity of log lines.
type LogLevel = logrus.Level
