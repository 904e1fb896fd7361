package sidecar

import (
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/dialect"
	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/logging"
	"github.com/shallotspool/shallotspool/node/internal/memory"
	"github.com/shallotspool/shallotspool/node/internal/metrics"
	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

const (
	// tickInterval is how often queued requests are checked for expiry and free slots.
	// They are also checked for a free slot whenever a run ends.
	tickInterval = 20 * time.Millisecond
	// pruneInterval is the time between two scans for connections that have been idle
	// too long.
	pruneInterval = 5 * time.Second
	// upstreamProbeInterval is the time between two connection attempts to an upstream
	// that is down. An upstream takes seconds to restart.
	upstreamProbeInterval = 500 * time.Millisecond
	// heapLimitShare is the share of the instance's memory that is set as the Go
	// runtime's soft memory limit, near which the garbage collector runs more often.
	// The remainder is left for stacks, kernel buffers and the program itself.
	heapLimitShare = 0.7
	// reservedDescriptors is the number of file descriptors reserved for files, the
	// store, heartbeats and listeners.
	reservedDescriptors = 300
	// maxPeerConnections limits the connections to one other node. Each carries one
	// request at a time, and more requests than the remote upstream has slots would
	// only queue there.
	maxPeerConnections = 512
)

// Sidecar is one running node. Its methods are safe for concurrent use.
type Sidecar struct {
	settings     atomic.Pointer[Settings]
	settingsPath string
	dialect      dialect.Dialect
	log          *logging.Logger
	metrics      *metrics.Metrics
	tasks        *task.Group
	started      time.Time
	// bootTime is a clock that goes on while the machine is suspended.
	bootTime func() time.Duration
	// instance is the IP address by which other nodes identify this one.
	instance string

	// mu guards node and the fields below. waiters holds, by work ID, the channels on which
	// queued requests wait for a decision. answeredAt is when the upstream last answered, and
	// silentCrashAt when it last crashed while its connections were still accepted.
	mu         sync.Mutex
	node       *mesh.Node
	waiters    map[uint64]chan concurrency.Decision
	lastWorkID uint64
	answeredAt time.Duration

	silentCrashAt time.Duration

	store        store.Reader
	upstreamPool *pool.Pool
	// bodyMemory bounds the memory of the bodies of all requests and responses held.
	bodyMemory  *memory.Budget
	peerPoolsMu sync.Mutex
	peerPools   map[string]*pool.Pool

	callerListener, peerListener, readyListener, metricsListener *listener.Listener
	heartbeatConn                                                *net.UDPConn

	ctx            context.Context
	cancel         context.CancelFunc
	activeRequests atomic.Int64
	// refusedStopping counts the requests that were refused because the node is about to stop.
	refusedStopping atomic.Int64
	fatalErrors     chan error
}

// Start opens the listeners and starts a node, which runs until Stop or Abort is called.
// settingsPath names the settings file, which is reloaded when it changes; if it is
// empty, settings are never reloaded. Log lines are written to out.
func Start(s *Settings, settingsPath string, d dialect.Dialect, out io.Writer) (*Sidecar, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "log_level"), ErrInvalidSettings)
	}
	sc := &Sidecar{
		settingsPath: settingsPath, dialect: d, metrics: metrics.New(), started: time.Now(), bootTime: bootTime, instance: s.instance(),
		waiters: map[uint64]chan concurrency.Decision{}, peerPools: map[string]*pool.Pool{}, fatalErrors: make(chan error, 1),
		log: logging.New(out, level, logging.Field{Key: "node", Value: s.Node}),
	}
	sc.settings.Store(s)
	sc.bodyMemory = newBodyMemory(s)
	debug.SetMemoryLimit(int64(heapLimitShare * float64(s.Limits.MemoryMB<<20)))
	sc.ctx, sc.cancel = context.WithCancel(context.Background())
	sc.tasks = task.NewGroup(sc.fail)
	incarnation := time.Now().UnixMicro()
	sc.node = mesh.New(mesh.Config{
		Instance: sc.instance, Incarnation: incarnation, Service: s.Service, DataCentre: s.DataCentre,
		Seed: uint64(incarnation), RetryBounds: retryBounds(s),
	})
	sc.store = d.NewStoreReader(s.Store.Address, sc.now)
	sc.upstreamPool = pool.New(pool.Config{
		Address: s.Upstream.Address, MaxConnections: s.Limits.Descriptors, OnConnect: sc.metrics.RecordConnectTime,
		TCPTimeouts: &tcpTimeouts,
	})
	if err := sc.openListeners(s); err != nil {
		sc.cancel()
		return nil, err
	}
	sc.tasks.Go(sc.runStoreReads)
	sc.tasks.Go(sc.receiveMessages)
	sc.tasks.Go(sc.runMessages)
	sc.tasks.Go(sc.watchSettings)
	sc.tasks.Go(func() { sc.runEvery(tickInterval, sc.tick) })
	sc.tasks.Go(func() { sc.runEvery(pruneInterval, sc.pruneConnections) })
	sc.tasks.Go(func() { sc.runEvery(stateSyncInterval, sc.syncState) })
	sc.tasks.Go(func() { sc.runEvery(upstreamProbeInterval, sc.probeUpstream) })
	sc.log.Info("started", field("service", s.Service), field("data_centre", s.DataCentre),
		field("instance", sc.instance), field("incarnation", incarnation))
	return sc, nil
}

func retryBounds(s *Settings) mesh.RetryBounds {
	return mesh.RetryBounds{
		Window: seconds(s.Bounds.RetryWindowSeconds), Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
	}
}

// now returns the time since the node started. All decisions and deadlines use this
// clock.
func (s *Sidecar) now() time.Duration { return time.Since(s.started) }

// openListeners opens all listeners and starts to serve them. Each listener may hold
// half as many connections as there are unreserved file descriptors, and at least half
// of reservedDescriptors.
func (s *Sidecar) openListeners(settings *Settings) error {
	maxConnections := max(settings.Limits.Descriptors-reservedDescriptors, reservedDescriptors) / 2
	listeners := []struct {
		address     string
		handler     listener.Handler
		destination **listener.Listener
	}{
		{settings.Listen.Callers, s.serveCaller, &s.callerListener},
		{settings.Listen.Peers, s.servePeer, &s.peerListener},
		{settings.Listen.Ready, s.serveReady, &s.readyListener},
		{settings.Listen.Metrics, s.serveMetrics, &s.metricsListener},
	}
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		cfg := listener.Config{
			Handler: l.handler, Limits: s.callerLimits, MaxConnections: maxConnections, OnMalformed: s.logMalformed, Go: s.tasks.Go,
		}
		switch l.destination {
		case &s.callerListener:
			cfg.BodyTerms, cfg.Refuse = s.callerBodyTerms, s.refuseCallerBody
		case &s.peerListener:
			cfg.Limits, cfg.TCPTimeouts = s.peerLimits, &tcpTimeouts
			cfg.BodyTerms, cfg.Refuse = s.peerBodyTerms, s.refusePeerBody
		default:
			cfg.Limits = noBodies
		}
		*l.destination = listener.New(cfg)
		s.tasks.Go(func() {
			if err := (*l.destination).Serve(ln); err != nil {
				s.fail(err)
			}
		})
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(settings.Listen.Heartbeats)))
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	s.heartbeatConn = conn
	return nil
}

// callerLimits returns the limits of the routing table for requests from callers, or
// the defaults if there is no table.
func (s *Sidecar) callerLimits() listener.Limits {
	s.mu.Lock()
	t := s.node.Table()
	s.mu.Unlock()
	if t == nil {
		return listener.Limits{}
	}
	return listenerLimits(t.Limits)
}

// maxCallerHeaderBytes bounds the headers of callers, whatever the routing table allows. A node
// writes a header and a trailer of that size with at most 4 MiB, which listeners accept: a blank
// follows each colon, and the fields of nodes are added.
const maxCallerHeaderBytes = 1 << 20

func listenerLimits(l route.Limits) listener.Limits {
	return listener.Limits{
		MaxHeaderBytes: min(l.HeaderBytes, maxCallerHeaderBytes), MaxBodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTime, IdleTimeout: l.IdleTime,
	}
}

// peerIdleTimeout is how long a listener keeps an idle connection from another
// node. It exceeds maxPeerIdle, so that the node that opened the connection closes
// it first.
const peerIdleTimeout = 90 * time.Second

// noBodies returns the limits for listeners whose requests have no bodies.
func noBodies() listener.Limits { return listener.Limits{MaxBodyBytes: 1} }

// peerLimits returns the limits for requests from other nodes. The node where a request enters
// has applied those of callers, by a table that this one may not have. The memory for bodies
// bounds what is held.
func (s *Sidecar) peerLimits() listener.Limits {
	limits := s.callerLimits()
	limits.MaxHeaderBytes, limits.MaxBodyBytes = math.MaxInt32, math.MaxInt32
	limits.IdleTimeout = peerIdleTimeout
	return limits
}

// runEvery calls do once per interval until the node stops.
func (s *Sidecar) runEvery(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// tick refuses queued requests that have expired, starts those that now get a slot, and
// removes upstreams that did not register again after a store outage.
func (s *Sidecar) tick() {
	s.mu.Lock()
	now := s.now()
	for _, id := range s.node.ExpireWork(now) {
		s.notifyWaiter(id, concurrency.Refuse)
	}
	s.dispatchQueuedWork(now)
	removed := s.node.Registry().Tick(now)
	if len(removed) > 0 {
		s.node.RegistryChanged()
	}
	s.mu.Unlock()
	for _, id := range removed {
		s.log.Info("upstream gone", field("upstream", id), field("cause", "not registered again after store outage"))
	}
}

// pruneConnections closes connections that have been idle too long.
func (s *Sidecar) pruneConnections() {
	now := time.Now()
	s.upstreamPool.Prune(now)
	s.peerPoolsMu.Lock()
	defer s.peerPoolsMu.Unlock()
	for _, p := range s.peerPools {
		p.Prune(now)
	}
}

// fail logs an error after which the node cannot continue, and passes it to the channel
// that Failed returns, unless an earlier error has not been received from there yet.
func (s *Sidecar) fail(err error) {
	s.log.Error("failed", field("error", err))
	select {
	case s.fatalErrors <- err:
	default:
	}
}

// Failed returns a channel that receives an error when the node cannot continue.
func (s *Sidecar) Failed() <-chan error { return s.fatalErrors }
