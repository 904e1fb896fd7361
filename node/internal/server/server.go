// Package server takes calls over HTTP/1.1: from callers, from the node's own
// upstream and from other nodes. It turns each into one event for the engine
// and the engine's reply into one answer. It decides nothing itself.
package server

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/header"
	"github.com/shallotspool/shallotspool/node/internal/loop"
)

// Limits of every listener.
const (
	// headerLimit is the size of the largest request header, in bytes.
	headerLimit = 16 << 10
	readLimit   = 30 * time.Second
	writeLimit  = 30 * time.Second
	idleLimit   = 75 * time.Second
)

// Config describes a Server.
type Config struct {
	Origin engine.Origin
	Loop   *loop.Loop
	// Incarnation is this node's.
	Incarnation uint64
	// MaxConnections, MaxBody and Held bound what the listener takes.
	MaxConnections int
	MaxBody        int
	Held           *Held
	// Accept tells whether a client may call at all; nil accepts everyone.
	Accept func(target string, ip netip.Addr) bool
	// Upgrade takes the requests that ask for a WebSocket; nil refuses them.
	Upgrade fasthttp.RequestHandler
}

// Server is one listener. Its methods may be called from any goroutine.
type Server struct {
	cfg  Config
	http *fasthttp.Server
	cut  chan struct{}
	once sync.Once
}

// New returns a Server; Serve starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, cut: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.unreadable,
		Concurrency: cfg.MaxConnections, MaxRequestBodySize: cfg.MaxBody,
		ReadBufferSize: headerLimit, ReadTimeout: readLimit, WriteTimeout: writeLimit, IdleTimeout: idleLimit,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		CloseOnShutdown: true, Logger: silent{}, LogAllErrors: false, TCPKeepalive: true,
		DisablePreParseMultipartForm: true, KeepHijackedConns: false,
	}
	return s
}

// Serve takes calls from ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.http.Serve(ln), "serve")
}

// Shutdown stops taking calls and returns when all have been answered.
func (s *Server) Shutdown() error { return errors.Wrap(s.http.Shutdown(), "shut down") }

// Cut closes the connections of all calls that wait; they get no answer.
func (s *Server) Cut() { s.once.Do(func() { close(s.cut) }) }

// handle answers one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.cfg.Upgrade != nil && ctx.Request.Header.ConnectionUpgrade() {
		s.cfg.Upgrade(ctx)
		return
	}
	if s.cfg.Origin == engine.OriginCaller && string(ctx.Request.Header.RequestURI()) == KeyPath {
		s.issueKey(ctx)
		return
	}
	call, err := header.Parse(&ctx.Request.Header, s.cfg.Origin, s.cfg.Incarnation)
	if err != nil {
		badHeader(ctx, err)
		return
	}
	if reason, detail := s.refusable(ctx, &call); detail != "" {
		refuseClient(ctx, reason, detail)
		return
	}
	held := int64(len(ctx.PostBody()))
	if !s.cfg.Held.take(held) {
		writeReply(ctx, s.cfg.Origin, overloaded)
		return
	}
	defer s.cfg.Held.give(held)
	pending := s.cfg.Loop.Arrive(eventOf(ctx, s.cfg.Origin, &call))
	if !s.finish(ctx.Conn(), pending) {
		_ = ctx.Conn().Close()
		return
	}
	writeReply(ctx, s.cfg.Origin, pending.Reply())
}

// refusable returns why the request is not taken; detail is empty if it is.
func (s *Server) refusable(ctx *fasthttp.RequestCtx, call *header.Call) (reason, detail string) {
	uri := ctx.Request.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return reasonRequest, "the request target is not a path"
	}
	if s.cfg.Accept != nil && !s.cfg.Accept(call.Send.Node.Target, remoteIP(ctx)) {
		return reasonSender, "the sender is not a known instance"
	}
	return "", ""
}

func remoteIP(ctx *fasthttp.RequestCtx) netip.Addr {
	if tcp, ok := ctx.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// overloaded is the reply to a call that was never given to the engine.
var overloaded = engine.Reply{
	Outcome: engine.OutcomeNotRun, Reason: engine.ReasonOverload, RetryAfter: time.Second,
}

// eventOf copies the request out of the connection's buffers.
func eventOf(ctx *fasthttp.RequestCtx, origin engine.Origin, call *header.Call) *engine.CallArrived {
	return &engine.CallArrived{
		Origin: origin,
		Request: &engine.Request{
			Service: call.Service, Method: string(ctx.Method()), Path: string(ctx.Request.Header.RequestURI()),
			Key: call.Key, Group: call.Group, Header: call.Extra,
			Body: append([]byte(nil), ctx.PostBody()...),
		},
		Wait: call.Wait, Parent: call.Parent, Stage: call.Stage, Class: call.Class,
		Tokens: call.Tokens, Depth: call.Depth, Send: call.Send,
		Heard: call.Heard, Rerun: call.Rerun, Priority: call.Priority,
	}
}

// Held bounds the request bodies that a node holds at once.
type Held struct {
	// Max is in bytes.
	Max  int64
	used atomic.Int64
}

func (h *Held) take(n int64) bool {
	if h.used.Add(n) > h.Max {
		h.used.Add(-n)
		return false
	}
	return true
}

func (h *Held) give(n int64) { h.used.Add(-n) }

// Used returns the bytes held now.
func (h *Held) Used() int64 { return h.used.Load() }

// silent drops what fasthttp would log: floods of broken requests.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
