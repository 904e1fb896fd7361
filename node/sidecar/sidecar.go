package sidecar

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/shallotspool/shallotspool/core/dialect"
	"github.com/shallotspool/shallotspool/core/guard"
	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/logging"
	"github.com/shallotspool/shallotspool/node/internal/metrics"
	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

const (
	// tickInterval is the grain of the time that requests wait in a queue.
	tickInterval = 20 * time.Millisecond
	// pruneInterval is how often idle connections are looked at.
	pruneInterval = 5 * time.Second
	// retryUpstream is how often an upstream that is down is connected to: its
	// restart takes seconds.
	retryUpstream = 500 * time.Millisecond
	// heapShare is the part of the instance's memory from which the collector works
	// harder; the rest is for stacks, buffers of the kernel and the program itself.
	heapShare = 0.7
	// reservedDescriptors are kept for files, the store, heartbeats and
	// listeners.
	reservedDescriptors = 300
	// peerConnections bounds the connections to one other node; more requests
	// than an upstream has slots are of no use there.
	peerConnections = 512
)

// Sidecar is one running node; its methods may be called from any goroutine.
type Sidecar struct {
	settings atomic.Pointer[Settings]
	path     string
	dialect  dialect.Dialect
	log      *logging.Logger
	metrics  *metrics.Metrics
	tasks    *task.Group
	started  time.Time
	instance string

	// mu guards node and waiting.
	mu      sync.Mutex
	node    *mesh.Node
	waiting map[uint64]chan guard.Decision
	nextID  uint64

	store    store.Reader
	upstream *pool.Pool
	peersMu  sync.Mutex
	peers    map[string]*pool.Pool

	callers, fromPeers, ready, metricsPage *listener.Listener
	heartbeats                             *net.UDPConn

	ctx     context.Context
	cancel  context.CancelFunc
	active  atomic.Int64
	failure chan error
}

// Start opens the listeners and runs a node until Stop. path is the settings file,
// to be read again when it changes. Log lines go to out.
func Start(s *Settings, path string, d dialect.Dialect, out io.Writer) (*Sidecar, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "log_level"), ErrSettings)
	}
	sc := &Sidecar{
		path: path, dialect: d, metrics: metrics.New(), started: time.Now(), instance: s.instance(),
		waiting: map[uint64]chan guard.Decision{}, peers: map[string]*pool.Pool{}, failure: make(chan error, 1),
		log: logging.New(out, level, logging.Field{Key: "node", Value: s.Node}),
	}
	sc.settings.Store(s)
	debug.SetMemoryLimit(int64(heapShare * float64(s.Limits.MemoryMB<<20)))
	sc.ctx, sc.cancel = context.WithCancel(context.Background())
	sc.tasks = task.NewGroup(sc.fail)
	incarnation := time.Now().UnixMicro()
	sc.node = mesh.New(mesh.Config{
		Instance: sc.instance, Incarnation: incarnation, Service: s.Service, DataCentre: s.DataCentre,
		Seed: uint64(incarnation), Retries: retryBounds(s),
	})
	sc.store = d.OpenStore(s.Store.Address, sc.now)
	sc.upstream = pool.New(pool.Config{
		Address: s.Upstream.Address, Max: s.Limits.Descriptors, Connected: sc.metrics.Connected,
		Silence: &silence,
	})
	if err := sc.listen(s); err != nil {
		sc.cancel()
		return nil, err
	}
	sc.tasks.Go(sc.readStore)
	sc.tasks.Go(sc.hear)
	sc.tasks.Go(sc.beat)
	sc.tasks.Go(sc.watchSettings)
	sc.tasks.Go(func() { sc.every(tickInterval, sc.tick) })
	sc.tasks.Go(func() { sc.every(pruneInterval, sc.prune) })
	sc.tasks.Go(func() { sc.every(catchUpInterval, sc.catchUp) })
	sc.tasks.Go(func() { sc.every(retryUpstream, sc.tryUpstream) })
	sc.log.Info("started", field("service", s.Service), field("data_centre", s.DataCentre),
		field("instance", sc.instance), field("incarnation", incarnation))
	return sc, nil
}

func retryBounds(s *Settings) mesh.RetryBounds {
	return mesh.RetryBounds{
		Window: seconds(s.Bounds.RetryWindowSeconds), Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
	}
}

// now is the node's clock: the time since its start.
func (s *Sidecar) now() time.Duration { return time.Since(s.started) }

func (s *Sidecar) listen(set *Settings) error {
	connections := max(set.Limits.Descriptors-reservedDescriptors, reservedDescriptors) / 2
	all := []struct {
		address string
		handler listener.Handler
		into    **listener.Listener
	}{
		{set.Listen.Callers, s.serveCaller, &s.callers},
		{set.Listen.Peers, s.servePeer, &s.fromPeers},
		{set.Listen.Ready, s.serveReady, &s.ready},
		{set.Listen.Metrics, s.serveMetrics, &s.metricsPage},
	}
	for _, l := range all {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		cfg := listener.Config{Handler: l.handler, Limits: s.callerLimits, MaxConnections: connections, Go: s.tasks.Go}
		if l.into == &s.fromPeers {
			cfg.Limits, cfg.Silence = s.peerLimits, &silence
		}
		*l.into = listener.New(cfg)
		s.tasks.Go(func() {
			if err := (*l.into).Serve(ln); err != nil {
				s.fail(err)
			}
		})
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(set.Listen.Heartbeats)))
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	s.heartbeats = udp
	return nil
}

func (s *Sidecar) callerLimits() listener.Limits {
	s.mu.Lock()
	t := s.node.Table()
	s.mu.Unlock()
	if t == nil {
		return listener.Limits{}
	}
	return limitsOf(t.Limits)
}

func limitsOf(l route.Limits) listener.Limits {
	return listener.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTime: l.HeaderTime, IdleTime: l.IdleTime,
	}
}

const (
	// peerIdle is how long a node keeps an unused connection of another node;
	// longer than the other keeps it.
	peerIdle = 90 * time.Second
	// hopHeaderBytes is what nodes add to a header at most.
	hopHeaderBytes = 2 << 10
)

// peerLimits leave room for what nodes add to a request.
func (s *Sidecar) peerLimits() listener.Limits {
	limits := s.callerLimits()
	if limits.HeaderBytes > 0 {
		limits.HeaderBytes += hopHeaderBytes
	}
	limits.IdleTime = peerIdle
	return limits
}

// every calls do once in each interval until the node stops.
func (s *Sidecar) every(interval time.Duration, do func()) {
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

// tick passes time to the requests that wait for the own upstream.
func (s *Sidecar) tick() {
	s.mu.Lock()
	now := s.now()
	for _, id := range s.node.ExpireWork(now) {
		s.tell(id, guard.Refuse)
	}
	s.drainWork(now)
	dropped := s.node.Registry().Tick(now)
	if len(dropped) > 0 {
		s.node.Registered()
	}
	s.mu.Unlock()
	for _, id := range dropped {
		s.log.Info("upstream gone", field("upstream", id), field("cause", "not back after outage"))
	}
}

// prune closes connections that were idle for long.
func (s *Sidecar) prune() {
	now := time.Now()
	s.upstream.Prune(now)
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	for _, p := range s.peers {
		p.Prune(now)
	}
}

// fail reports the first failure that the node cannot go on after.
func (s *Sidecar) fail(err error) {
	s.log.Error("failed", field("error", err))
	select {
	case s.failure <- err:
	default:
	}
}

// Failed gets an error when the node cannot go on.
func (s *Sidecar) Failed() <-chan error { return s.failure }
