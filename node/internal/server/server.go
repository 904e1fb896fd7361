// Package server accepts calls over HTTP/1.1 from callers, from the node's own
// upstream and from other nodes. It passes each call to the engine as an event
// and writes the engine's reply as the response. Apart from rejecting invalid
// requests and bounding memory, it leaves all decisions to the engine.
package server

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/http1"
	"github.com/shallotspool/shallotspool/node/internal/header"
	"github.com/shallotspool/shallotspool/node/internal/loop"
	"github.com/shallotspool/shallotspool/node/internal/strictconn"
)

// Limits of every listener. maxHeaderBytes is that of callers; see headerLimit.
const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 75 * time.Second
)

// Config configures a Server.
type Config struct {
	// Origin is the origin of all calls on the listener; it decides which of their
	// header fields are trusted.
	Origin engine.Origin
	Loop   *loop.Loop
	// Incarnation identifies this run of the node.
	Incarnation uint64
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int
	// BodyLimiter limits the memory used by request bodies. All listeners of
	// a node share it.
	BodyLimiter *BodyLimiter
	// AcceptSender reports whether a sender with this target name and IP
	// address may send calls; nil accepts every sender.
	AcceptSender func(target string, ip netip.Addr) bool
	// OnMalformed is called with each malformed request. It may be nil.
	OnMalformed func(remote netip.Addr, err error)
	// UpgradeHandler handles requests with "Connection: Upgrade", which open
	// WebSocket links. If it is nil, they are handled as calls.
	UpgradeHandler fasthttp.RequestHandler
}

// Server serves calls on one listener. Its methods may be called from any
// goroutine.
type Server struct {
	cfg       Config
	http      *fasthttp.Server
	aborted   chan struct{}
	abortOnce sync.Once
}

// New returns a Server; call Serve to start it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, aborted: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleReadError,
		Concurrency: cfg.MaxConnections, MaxRequestBodySize: cfg.MaxBodyBytes,
		ReadBufferSize: headerLimit(cfg.Origin), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		CloseOnShutdown: true, Logger: discardLogger{}, LogAllErrors: false, TCPKeepalive: true,
		DisablePreParseMultipartForm: true, KeepHijackedConns: false,
	}
	return s
}

// headerLimit returns the maximum size of the headers of calls, in bytes. Those of other nodes have
// been within the limit of callers where they entered.
func headerLimit(origin engine.Origin) int {
	if origin == engine.OriginPeer {
		return maxHeaderBytes + header.MaxAddedBytes(maxHeaderBytes)
	}
	return maxHeaderBytes
}

// Serve accepts calls from ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	checked := strictconn.Wrap(ln, strictconn.Config{
		MaxHeadBytes: headerLimit(s.cfg.Origin), AllowUpgrade: s.cfg.UpgradeHandler != nil, OnMalformed: s.cfg.OnMalformed,
	})
	return errors.Wrap(s.http.Serve(checked), "serve")
}

// Shutdown stops accepting calls and returns once all open calls have been
// answered.
func (s *Server) Shutdown() error { return errors.Wrap(s.http.Shutdown(), "shut down") }

// AbortCalls closes the connections of all open calls without a response.
func (s *Server) AbortCalls() { s.abortOnce.Do(func() { close(s.aborted) }) }

// handle handles one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.cfg.UpgradeHandler != nil && ctx.Request.Header.ConnectionUpgrade() {
		s.cfg.UpgradeHandler(ctx)
		closeIfUnchecked(ctx)
		return
	}
	closeIfUnchecked(ctx)
	if expectation := ctx.Request.Header.Peek(fasthttp.HeaderExpect); len(expectation) > 0 && !strings.EqualFold(string(expectation), "100-continue") {
		rejectExpectation(ctx)
		return
	}
	takeHostFromTarget(&ctx.Request.Header)
	if s.cfg.Origin == engine.OriginCaller && string(ctx.Request.Header.RequestURI()) == KeyPath {
		s.issueKey(ctx)
		return
	}
	call, err := header.Parse(&ctx.Request.Header, s.cfg.Origin, s.cfg.Incarnation)
	if err != nil {
		rejectHeader(ctx, err)
		return
	}
	if reason, detail := s.checkRequest(ctx, &call); detail != "" {
		rejectRequest(ctx, reason, detail)
		return
	}
	bodyBytes := int64(len(ctx.PostBody()))
	if !s.cfg.BodyLimiter.reserve(bodyBytes) {
		writeReply(ctx, s.cfg.Origin, overloadReply)
		return
	}
	defer s.cfg.BodyLimiter.release(bodyBytes)
	pending := s.cfg.Loop.StartCall(newCallArrived(ctx, s.cfg.Origin, &call))
	if !s.awaitReply(ctx.Conn(), pending) {
		_ = ctx.Conn().Close()
		return
	}
	writeReply(ctx, s.cfg.Origin, pending.Reply())
}

// takeHostFromTarget replaces a target that is an address by its path, and the host by that of the address.
func takeHostFromTarget(h *fasthttp.RequestHeader) {
	if authority, path, ok := http1.SplitAddress(h.RequestURI()); ok {
		h.SetHostBytes(authority)
		h.SetRequestURIBytes(path)
	}
}

// closeIfUnchecked ends a connection behind the response if the next request could not be checked.
func closeIfUnchecked(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*strictconn.Conn); ok && conn.Unchecked() && !ctx.Hijacked() {
		ctx.SetConnectionClose()
	}
}

// checkRequest returns why a request must be rejected; detail is empty if it is
// acceptable.
func (s *Server) checkRequest(ctx *fasthttp.RequestCtx, call *header.Call) (reason, detail string) {
	uri := ctx.Request.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return reasonBadRequest, "the request target is not a path"
	}
	if s.cfg.AcceptSender != nil && !s.cfg.AcceptSender(call.Send.Node.Target, remoteIP(ctx)) {
		return reasonUnknownSender, "the sender is not a known instance"
	}
	return "", ""
}

// remoteIP returns the client's IP address, or the zero Addr if the connection
// is not TCP.
func remoteIP(ctx *fasthttp.RequestCtx) netip.Addr {
	if tcp, ok := ctx.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// overloadReply is the reply to a call that is rejected before it reaches the
// engine because the memory for request bodies is exhausted.
var overloadReply = engine.Reply{
	Outcome: engine.OutcomeNotRun, Reason: engine.ReasonOverload, RetryAfter: time.Second,
}

// newCallArrived returns the event for a request. It copies the request out of
// buffers that fasthttp reuses.
func newCallArrived(ctx *fasthttp.RequestCtx, origin engine.Origin, call *header.Call) *engine.CallArrived {
	return &engine.CallArrived{
		Origin: origin,
		Request: &engine.Request{
			Service: call.Service, Method: string(ctx.Method()), Path: string(ctx.Request.Header.RequestURI()),
			Key: call.Key, Group: call.Group, Header: call.ForwardedHeader,
			Body: append([]byte(nil), ctx.PostBody()...),
		},
		Timeout: call.Timeout, Parent: call.Parent, Stage: call.Stage, Class: call.Class,
		RetryTokens: call.RetryTokens, Depth: call.Depth, Send: call.Send,
		ReceiverStamp: call.ReceiverStamp, Rerun: call.Rerun, Priority: call.Priority,
	}
}

// BodyLimiter limits the total size of the request bodies of open calls.
type BodyLimiter struct {
	// MaxBytes is the limit in bytes.
	MaxBytes int64
	used     atomic.Int64
}

// reserve reserves n bytes and reports whether they are within the limit.
func (l *BodyLimiter) reserve(n int64) bool {
	if l.used.Add(n) > l.MaxBytes {
		l.used.Add(-n)
		return false
	}
	return true
}

func (l *BodyLimiter) release(n int64) { l.used.Add(-n) }

// UsedBytes returns the number of bytes reserved.
func (l *BodyLimiter) UsedBytes() int64 { return l.used.Load() }

// discardLogger discards fasthttp's log messages, as a flood of malformed
// requests would flood the log.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
