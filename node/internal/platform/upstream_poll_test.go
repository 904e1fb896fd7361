package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// TestUpstreamPolling checks that health and load responses are read and that an
// invalid load response is ignored.
func TestUpstreamPolling(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/ill" {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBody(ctx.QueryArgs().Peek("body"))
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	defer func() {
		_ = server.Shutdown()
		<-done
	}()
	p := pool.New(pool.Config{Address: listener.Addr().String(), MaxConnections: 1})
	defer p.Close()
	ctx := context.Background()
	if _, ok := pollEndpoint(ctx, p, "/well"); !ok {
		t.Error("a response with status 200 does not count as healthy")
	}
	if _, ok := pollEndpoint(ctx, p, "/ill"); ok {
		t.Error("a response with status 503 counts as healthy")
	}
	if load, ok := pollLoad(ctx, p, `/load?body={"in_flight":12}`); !ok || load.InFlight != 12 {
		t.Errorf("got load %+v, ok %t; want 12 in flight, ok true", load, ok)
	}
	for _, body := range []string{`{"in_flight":-1}`, `{"in_flight":"12"}`, `{}`, `busy`, ``} {
		if load, ok := pollLoad(ctx, p, "/load?body="+body); ok {
			t.Errorf("body %q was accepted as a load of %d", body, load.InFlight)
		}
	}
}

// TestMalformedHealthResponseIsUnhealthy guards against an upstream that counts as healthy because of an answer
// with status 000, or with a malformed head.
func TestMalformedHealthResponseIsUnhealthy(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n", "HTTP/1.1 200 OK\r\nX-A : b\r\n"} {
		address := rawserver.Serve(t, func(conn net.Conn) {
			defer conn.Close()
			var req fasthttp.Request
			_ = req.Read(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, head+"Content-Length: 16\r\n\r\n{\"in_flight\":12}")
		})
		p := pool.New(pool.Config{Address: address, MaxConnections: 1})
		if _, ok := pollEndpoint(context.Background(), p, "/health"); ok {
			t.Errorf("an upstream that answers with %q counts as healthy", head)
		}
		if load, ok := pollLoad(context.Background(), p, "/load"); ok {
			t.Errorf("got load %+v of an answer with %q", load, head)
		}
		p.Close()
	}
}
