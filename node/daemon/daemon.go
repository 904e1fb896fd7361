// Package daemon assembles a node from the engine, the listeners, the connection
// pools and the links to other nodes. The binary shallotd runs one node;
// demonstrations and benchmarks run several in one process.
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
	"github.com/shallotspool/shallotspool/core/replication"
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

// Settings is the configuration of one node.
type Settings = settings.Settings

// DefaultSettings returns the default settings. Settings without a default must
// be set before Start.
func DefaultSettings() *Settings { return settings.Default() }

const (
	// initialConcurrencyLimit is the limit of concurrent calls to the upstream
	// until the node has adapted it.
	initialConcurrencyLimit = 20
	// admissionQueuePerCall is the ratio of the maximum length of the admission
	// queue to the maximum number of open calls.
	admissionQueuePerCall = 1
)

// idlePruneInterval is the time between checks for idle connections to close.
const idlePruneInterval = 5 * time.Second

// Daemon is one running node; its methods may be called from any goroutine.
type Daemon struct {
	settings    *Settings
	log         *logging.Logger
	metrics     *metrics.Metrics
	loop        *loop.Loop
	attempts    *attempt.Executor
	hub         *link.Hub
	platform    *platform.Client
	reader      *platform.Reader
	bodyLimiter *server.BodyLimiter
	servers     []*server.Server
	admin       *admin.Server
	tasks       *task.Group
	// listeners are those that the servers serve.
	listeners []net.Listener

	ctx    context.Context
	cancel context.CancelFunc
	// stopped is closed when the engine has completed a graceful stop.
	stopped  chan struct{}
	stopOnce sync.Once
	// failure holds a fatal error until the owner of the daemon receives it.
	failure   chan error
	closeOnce sync.Once
}

// Start opens the listeners and starts a node, which runs until Daemon.Stop or
// Daemon.Kill is called. It replaces the ports in s by those of the listeners.
// Log lines are written to out.
func Start(s *Settings, out io.Writer) (*Daemon, error) {
	d := &Daemon{settings: s, metrics: metrics.New(), stopped: make(chan struct{}), failure: make(chan error, 1)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	self, err := newNodeID(s.Target)
	if err != nil {
		return nil, err
	}
	d.log = logging.New(out, s.LogLevel, logging.Field{Key: "target", Value: s.Target})
	d.tasks = task.NewGroup(d.handlePanic)
	d.buildComponents(self)
	if err := d.openListeners(); err != nil {
		d.Kill()
		return nil, err
	}
	d.tasks.Go(func() { d.loop.RunTicker(d.ctx) })
	d.tasks.Go(d.pruneIdleConnections)
	d.tasks.Go(func() {
		platform.PollUpstream(d.ctx, s.UpstreamAddress.String(), s.UpstreamHealthPath, s.UpstreamLoadPath, d.loop.Step)
	})
	d.log.Info("started", logging.Field{Key: "service", Value: s.Service}, logging.Field{Key: "data_centre", Value: s.DataCentre})
	return d, nil
}

// newNodeID returns the identity of this run of the node. The incarnation is the
// start time in microseconds followed by 10 random bits, so that it increases
// with every restart and peers can tell a newer run from an older one.
func newNodeID(target string) (wire.NodeID, error) {
	var random [2]byte
	if _, err := rand.Read(random[:]); err != nil {
		return wire.NodeID{}, errors.Wrap(err, "generate incarnation")
	}
	incarnation := uint64(time.Now().UnixMicro())<<10 | uint64(binary.LittleEndian.Uint16(random[:])&0x3ff)
	return wire.NodeID{Target: target, Incarnation: incarnation}, nil
}

// buildComponents creates all components of the node without opening listeners
// or connections.
func (d *Daemon) buildComponents(self wire.NodeID) {
	s := d.settings
	instances := directory.New()
	source := net.IP(s.ListenPeers.Addr().AsSlice())
	d.bodyLimiter = &server.BodyLimiter{MaxBytes: int64(s.MaxHeldBodyBytes)}
	d.attempts = attempt.New(attempt.Config{
		Incarnation: self.Incarnation, UpstreamAddress: s.UpstreamAddress.String(),
		MaxUpstreamConnections: s.MaxUpstreamConnections, MaxPeerConnections: s.MaxPeerConnections,
		SourceIP: source, MaxBodyBytes: s.MaxBodyBytes, MaxHeldBodyBytes: s.MaxHeldBodyBytes, Directory: instances,
		OnConnect: d.metrics.RecordConnectTime, OnFailure: d.recordExchangeFailure,
	})
	d.loop = loop.New(engineConfig(s, self), time.Now(), d, d.tasks.Go)
	d.attempts.SetEngine(d.loop)
	d.hub = link.NewHub(link.Config{
		Self: self, Service: s.Service, DataCentre: s.DataCentre, SourceIP: source, MaxLinks: s.MaxLinks,
		Directory: instances, Tasks: d.tasks, HandleEvent: d.loop.Step,
		OnFrameDropped: func() { d.metrics.AddToCounter("shallot_frames_dropped_total", 1) }, OnLinkFailed: d.recordLinkFailure,
	})
	d.platform = platform.NewClient(s.PlatformAddress.String())
	d.reader = platform.NewReader(d.platform, instances, d.tasks, d.loop.Step, d.recordPlatformReadFailure)
	d.servers = []*server.Server{
		d.newServer(engine.OriginCaller, self, s.MaxCallerConnections, nil),
		d.newServer(engine.OriginUpstream, self, s.MaxCallerConnections, nil),
		d.newServer(engine.OriginPeer, self, s.MaxCallerConnections, instances),
	}
	d.admin = admin.New(d.loop.Status, d.metrics)
	d.registerGauges()
}

// engineConfig returns the engine's configuration for the given settings.
func engineConfig(s *Settings, self wire.NodeID) engine.Config {
	return engine.Config{
		Self: self, Service: s.Service, DataCentre: s.DataCentre, Seed: self.Incarnation,
		Policy:           engine.FullPolicy(),
		MaxCalls:         s.MaxCalls,
		PeerQueryTimeout: replication.DefaultPeerQueryTimeout, AsyncParsing: true,
		Admission: admission.Config{
			Initial: initialConcurrencyLimit, Min: 1, Max: s.MaxUpstreamConnections, MaxQueue: admissionQueuePerCall * s.MaxCalls,
		},
	}
}

// newServer returns the server for calls of the given origin. If instances is
// not nil, the server accepts calls and links from these instances only.
func (d *Daemon) newServer(origin engine.Origin, self wire.NodeID, maxConnections int, instances *directory.Directory) *server.Server {
	cfg := server.Config{
		Origin: origin, Loop: d.loop, Incarnation: self.Incarnation,
		MaxConnections: maxConnections, MaxBodyBytes: d.settings.MaxBodyBytes, BodyLimiter: d.bodyLimiter,
		OnMalformed: d.recordMalformedRequest,
	}
	if instances != nil {
		cfg.AcceptSender = func(target string, ip netip.Addr) bool { return instances.MatchesAddress(target, ip) }
		cfg.UpgradeHandler = d.hub.HandleUpgrade
	}
	return server.New(cfg)
}

// openListeners opens all listeners and starts to serve them.
func (d *Daemon) openListeners() error {
	s := d.settings
	addresses := []*netip.AddrPort{&s.ListenCallers, &s.ListenUpstream, &s.ListenPeers}
	for i, address := range addresses {
		ln, err := openListener(address)
		if err != nil {
			return err
		}
		srv := d.servers[i]
		d.listeners = append(d.listeners, ln)
		d.tasks.Go(func() { d.handleServeResult(srv.Serve(ln)) })
	}
	ln, err := openListener(&s.ListenAdmin)
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, ln)
	d.tasks.Go(func() { d.handleServeResult(d.admin.Serve(ln)) })
	return nil
}

// openListener opens one listener and stores its actual address in address, in
// which a port of 0 requests any free port.
func openListener(address *netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	*address = ln.Addr().(*net.TCPAddr).AddrPort()
	return ln, nil
}

// pruneIdleConnections closes idle connections periodically until the daemon is
// closed.
func (d *Daemon) pruneIdleConnections() {
	ticker := time.NewTicker(idlePruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.attempts.Prune(now)
		}
	}
}

// registerGauges registers the metrics that are read when they are exported.
func (d *Daemon) registerGauges() {
	d.metrics.RegisterGauge("shallot_calls_open", func() int64 { return int64(d.loop.OpenCalls()) })
	d.metrics.RegisterGauge("shallot_held_bytes", d.bodyLimiter.UsedBytes)
	d.metrics.RegisterGauge("shallot_links_open", func() int64 { return int64(d.hub.LinkCount()) })
	d.metrics.RegisterGauge("shallot_upstream_connections", func() int64 { upstream, _ := d.attempts.ConnectionCounts(); return int64(upstream) })
	d.metrics.RegisterGauge("shallot_peer_connections", func() int64 { _, peers := d.attempts.ConnectionCounts(); return int64(peers) })
}

// Status returns the status that the node reports to operators.
func (d *Daemon) Status() status.Node { return d.loop.Status() }

// Settings returns the settings with the actual ports of the listeners.
func (d *Daemon) Settings() Settings { return *d.settings }

// Failed returns a channel that receives an error when the node cannot continue.
func (d *Daemon) Failed() <-chan error { return d.failure }

// LogLevel is the severity of a log line.
type LogLevel = logrus.Level
