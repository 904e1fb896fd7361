// Package link keeps the links to other nodes: one WebSocket for each pair,
// with CBOR frames. Links are opened again after they broke, with growing
// pauses. Sending never blocks: what finds no room in a link's queue is dropped.
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

// Path is where the listener for nodes takes links.
const Path = "/shallot/link"

// Config describes a Hub.
type Config struct {
	Self       wire.NodeID
	Service    string
	DataCentre string
	// Source is the IP address that peers know this node by, nil for any.
	Source    net.IP
	MaxLinks  int
	Directory *directory.Directory
	Tasks     *task.Group
	// Step takes the events of links; it is never called by Open, Drop or Send.
	Step func(engine.Event)
	// Dropped is called for each frame that found no room.
	Dropped func()
	// Refused is called for each link that was refused or broke.
	Refused func(target string, err error)
}

// Hub is the links of one node; its methods may be called from any goroutine.
type Hub struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	links  map[string]*link
	wanted map[string]context.CancelFunc
	// serving counts the links that other nodes opened.
	serving sync.WaitGroup
	closed  bool
}

// NewHub returns a Hub without links.
func NewHub(cfg Config) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{
		cfg: cfg, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, wanted: map[string]context.CancelFunc{},
	}
}

// Send queues a frame on the link to one run of a node, if there is one.
func (h *Hub) Send(to wire.NodeID, f wire.Frame) {
	h.mu.Lock()
	l := h.links[to.Target]
	h.mu.Unlock()
	if l == nil || l.peer != to {
		return
	}
	if !l.offer(&f) {
		h.cfg.Dropped()
	}
}

// Open keeps a link to target from now on.
func (h *Hub) Open(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.wanted[target] != nil || len(h.wanted) >= h.cfg.MaxLinks || target == h.cfg.Self.Target {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.wanted[target] = cancel
	h.cfg.Tasks.Go(func() { h.keep(ctx, target) })
}

// Drop ends the link to target and does not open it again.
func (h *Hub) Drop(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.wanted[target]; cancel != nil {
		cancel()
		delete(h.wanted, target)
	}
	if l := h.links[target]; l != nil {
		l.close()
	}
}

// Links returns the number of open links.
func (h *Hub) Links() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// Close sends what is queued, ends all links and returns when they are gone.
func (h *Hub) Close() {
	h.cancel()
	h.mu.Lock()
	h.closed = true
	for _, l := range h.links {
		l.close()
	}
	h.mu.Unlock()
	h.serving.Wait()
}

// Upgrade takes the link that another node opens.
func (h *Hub) Upgrade(ctx *fasthttp.RequestCtx) {
	upgrader := websocket.FastHTTPUpgrader{
		HandshakeTimeout: helloLimit, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		CheckOrigin: func(ctx *fasthttp.RequestCtx) bool { return len(ctx.Request.Header.Peek("Origin")) == 0 },
	}
	if string(ctx.Path()) != Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !h.admit() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	err := upgrader.Upgrade(ctx, func(conn *websocket.Conn) {
		defer h.serving.Done()
		h.accept(conn)
	})
	if err != nil {
		h.serving.Done()
		h.cfg.Refused("", err)
	}
}

// admit makes room for one more link from outside.
func (h *Hub) admit() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(h.links) >= h.cfg.MaxLinks {
		return false
	}
	h.serving.Add(1)
	return true
}

func (h *Hub) accept(conn *websocket.Conn) {
	peer, err := h.welcome(conn)
	if err != nil {
		_ = conn.Close()
		h.cfg.Refused(peer.Target, err)
		return
	}
	h.serve(newLink(conn, peer, false))
}

// serve runs a link until it ends.
func (h *Hub) serve(l *link) {
	if !h.register(l) {
		_ = l.conn.Close()
		return
	}
	h.cfg.Step(&engine.LinkChanged{Peer: l.peer, Up: true})
	h.cfg.Tasks.Go(l.write)
	err := l.read(func(f *wire.Frame) {
		h.cfg.Step(&engine.FrameReceived{From: l.peer, Frame: *f})
	})
	l.close()
	_ = l.conn.Close()
	<-l.written
	if h.unregister(l) {
		h.cfg.Step(&engine.LinkChanged{Peer: l.peer, Up: false})
	}
	h.cfg.Refused(l.peer.Target, err)
}

// register makes l the link to its peer, unless the one there is to stay.
func (h *Hub) register(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.links[l.peer.Target]
	if h.closed || old != nil && h.keeps(old, l) {
		return false
	}
	if old != nil {
		old.close()
	}
	h.links[l.peer.Target] = l
	return true
}

// keeps tells whether old stays when l comes. Of two links that both nodes
// dialled at once, both keep the one that the lower target name dialled.
func (h *Hub) keeps(old, l *link) bool {
	if old.peer.Incarnation != l.peer.Incarnation {
		return old.peer.Incarnation > l.peer.Incarnation
	}
	if old.dialled == l.dialled {
		return false
	}
	lower := h.cfg.Self.Target < l.peer.Target
	return old.dialled == lower
}

// unregister forgets l and reports whether it was the link to its peer.
func (h *Hub) unregister(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.peer.Target] != l {
		return false
	}
	delete(h.links, l.peer.Target)
	return true
}

func (h *Hub) linked(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[target] != nil
}
