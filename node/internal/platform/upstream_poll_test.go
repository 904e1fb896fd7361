package platform

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/pool"
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
