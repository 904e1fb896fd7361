package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/wire"
	"github.com/shallotspool/shallotspool/node/internal/link"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

// TestCloseAfterLostHandover guards against a node that waits for ever when it is ended,
// because the connection of a link ended before it was handed over.
func TestCloseAfterLostHandover(t *testing.T) {
	h := link.NewHub(link.Config{
		Self: wire.NodeID{Target: "a-1"}, MaxLinks: 4, Tasks: task.NewGroup(func(error) {}),
		OnLinkFailed: func(_ string, err error) { t.Errorf("upgrade failed: %v", err) },
	})
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(link.Path)
	for name, value := range map[string]string{
		"Connection": "Upgrade", "Upgrade": "websocket", "Sec-Websocket-Version": "13", "Sec-Websocket-Key": "AAAAAAAAAAAAAAAAAAAAAA==",
	} {
		ctx.Request.Header.Set(name, value)
	}
	// The connection is never handed over, as the server does that after the handler.
	h.HandleUpgrade(&ctx)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusSwitchingProtocols {
		t.Fatalf("status %d, want %d", got, fasthttp.StatusSwitchingProtocols)
	}
	closed, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	go func() {
		h.Close()
		cancel()
	}()
	<-closed.Done()
	if closed.Err() == context.DeadlineExceeded {
		t.Error("the hub has not closed after 10 s")
	}
}
