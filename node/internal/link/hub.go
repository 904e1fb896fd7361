// Package link maintains the links to other nodes: one WebSocket connection for
// each pair of nodes, which carries CBOR frames. A broken link is reopened with
// exponential backoff. Sending never blocks: a frame that does not fit into the
// link's queue is dropped.
package link

import (
	"context"
	"net"
	"sync"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
	"github.com/shallotspool/shallotspool/node/internal/directory"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

// Path is the URL path at which the peer listener accepts links.
const Path = "/shallot/link"

// Config configures a Hub.
type Config struct {
	Self       wire.NodeID
	Service    string
	DataCentre string
	// SourceIP is the local IP address for outgoing links, which must be the
	// address that the platform lists for this node; nil means any.
	SourceIP net.IP
	// MaxLinks is the maximum number of links that are maintained, and the number
	// of open links at which incoming ones are refused.
	MaxLinks  int
	Directory *directory.Directory
	Tasks     *task.Group
	// HandleEvent receives the events of links. It is never called from within
	// Hub.Connect, Hub.Disconnect or Hub.Send.
	HandleEvent func(engine.Event)
	// OnFrameDropped is called for each frame that did not fit into a queue.
	OnFrameDropped func()
	// OnLinkFailed is called for each link that could not be opened, broke or was
	// closed, but not for one that reserveIncoming or register rejects. target is
	// empty if the peer has not named itself yet.
	OnLinkFailed func(target string, err error)
}

// Hub manages the links of one node. Its methods may be called from any
// goroutine.
type Hub struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	// changes is held while the set of open links changes and the event is handled, so that the
	// events come in the order of the changes. It is taken before mu.
	changes sync.Mutex

	mu sync.Mutex
	// links holds the open links by target.
	links map[string]*link
	// maintained holds, by target, the functions that stop maintaining a link.
	maintained map[string]context.CancelFunc
	// incoming counts the links that other nodes dialled, from when their connection was
	// handed over until the link has ended.
	incoming sync.WaitGroup
	closed   bool
}

// NewHub returns a Hub with no links.
func NewHub(cfg Config) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{
		cfg: cfg, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, maintained: map[string]context.CancelFunc{},
	}
}

// Send queues a frame on the link to the given run of a node. Without such a
// link it does nothing.
func (h *Hub) Send(to wire.NodeID, f wire.Frame) {
	h.mu.Lock()
	l := h.links[to.Target]
	h.mu.Unlock()
	if l == nil || l.peer != to {
		return
	}
	if !l.enqueue(&f) {
		h.cfg.OnFrameDropped()
	}
}

// Connect starts to maintain a link to target: the link is opened, and reopened
// when it breaks, until Disconnect is called. It does nothing if the link is
// already maintained, Config.MaxLinks links are maintained, target is this node or
// the Hub is closed.
func (h *Hub) Connect(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.maintained[target] != nil || len(h.maintained) >= h.cfg.MaxLinks || target == h.cfg.Self.Target {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.maintained[target] = cancel
	h.cfg.Tasks.Go(func() { h.maintainLink(ctx, target) })
}

// Disconnect closes the link to target and stops reopening it.
func (h *Hub) Disconnect(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.maintained[target]; cancel != nil {
		cancel()
		delete(h.maintained, target)
	}
	if l := h.links[target]; l != nil {
		l.startClosing()
	}
}

// LinkCount returns the number of open links.
func (h *Hub) LinkCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// Close starts to close all links, which still send their queued frames, and
// waits until the links that other nodes dialled have ended. The links that this
// node dialled end in the task group of Config.Tasks.
func (h *Hub) Close() {
	h.cancel()
	h.mu.Lock()
	h.closed = true
	for _, l := range h.links {
		l.startClosing()
	}
	h.mu.Unlock()
	h.incoming.Wait()
}

// HandleUpgrade handles the HTTP request by which another node opens a link.
func (h *Hub) HandleUpgrade(ctx *fasthttp.RequestCtx) {
	upgrader := websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		CheckOrigin: func(ctx *fasthttp.RequestCtx) bool { return len(ctx.Request.Header.Peek("Origin")) == 0 },
	}
	if string(ctx.Path()) != Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !h.hasRoom() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	// The connection may end before it is handed over; the function then never runs.
	err := upgrader.Upgrade(ctx, func(conn *websocket.Conn) {
		if !h.countIncoming() {
			_ = conn.Close()
			return
		}
		defer h.incoming.Done()
		h.serveIncoming(conn)
	})
	if err != nil {
		h.cfg.OnLinkFailed("", err)
	}
}

// hasRoom reports whether one more link is allowed.
func (h *Hub) hasRoom() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed && len(h.links) < h.cfg.MaxLinks
}

// countIncoming counts an incoming link. It returns false if the Hub is closed.
func (h *Hub) countIncoming() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.incoming.Add(1)
	return true
}

// serveIncoming runs a link that another node dialled until it ends.
func (h *Hub) serveIncoming(conn *websocket.Conn) {
	peer, err := h.handshakeAsServer(conn)
	if err != nil {
		_ = conn.Close()
		h.cfg.OnLinkFailed(peer.Target, err)
		return
	}
	h.runLink(newLink(conn, peer, false))
}

// runLink registers a link, passes its frames to the engine and returns when the
// link has ended.
func (h *Hub) runLink(l *link) {
	if !h.open(l) {
		_ = l.conn.Close()
		return
	}
	h.cfg.Tasks.Go(l.writeLoop)
	err := l.readLoop(func(f *wire.Frame) {
		h.cfg.HandleEvent(&engine.FrameReceived{From: l.peer, Frame: *f})
	})
	l.startClosing()
	_ = l.conn.Close()
	<-l.writerDone
	h.end(l)
	h.cfg.OnLinkFailed(l.peer.Target, err)
}

// open registers l and reports it. It returns false as register does.
func (h *Hub) open(l *link) bool {
	h.changes.Lock()
	defer h.changes.Unlock()
	if !h.register(l) {
		return false
	}
	h.cfg.HandleEvent(&engine.LinkChanged{Peer: l.peer, Up: true})
	return true
}

// end unregisters l, and reports its end unless another link has taken its place.
func (h *Hub) end(l *link) {
	h.changes.Lock()
	defer h.changes.Unlock()
	if h.unregister(l) {
		h.cfg.HandleEvent(&engine.LinkChanged{Peer: l.peer, Up: false})
	}
}

// register makes l the link to its peer and closes the existing one. It returns
// false if the existing link is kept instead or the Hub is closed.
func (h *Hub) register(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	existing := h.links[l.peer.Target]
	if h.closed || existing != nil && h.prefersExisting(existing, l) {
		return false
	}
	if existing != nil {
		existing.startClosing()
	}
	h.links[l.peer.Target] = l
	return true
}

// prefersExisting reports whether the existing link is kept instead of the new
// link l. A link to a newer incarnation of the peer wins. If two nodes dialled
// each other at the same time, both keep the link that the node with the lower
// target name dialled. Otherwise the new link wins.
func (h *Hub) prefersExisting(existing, l *link) bool {
	if existing.peer.Incarnation != l.peer.Incarnation {
		return existing.peer.Incarnation > l.peer.Incarnation
	}
	if existing.dialled == l.dialled {
		return false
	}
	selfIsLower := h.cfg.Self.Target < l.peer.Target
	return existing.dialled == selfIsLower
}

// unregister removes l and reports whether l was the registered link to its peer.
func (h *Hub) unregister(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.peer.Target] != l {
		return false
	}
	delete(h.links, l.peer.Target)
	return true
}

func (h *Hub) isLinked(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[target] != nil
}
