package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
	"github.com/shallotspool/shallotspool/node/internal/directory"
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

// TestEndOfFormerLinkIsReportedBeforeNewLink guards against the end of a link that is reported after the next link of the
// same nodes was: the node took an open link for a closed one, sent nothing on it and opened no other.
func TestEndOfFormerLinkIsReportedBeforeNewLink(t *testing.T) {
	peer := wire.NodeID{Target: "a-2", Incarnation: 5}
	instances := directory.New()
	instances.Replace([]membership.Instance{{Target: peer.Target, PeerAddress: "127.0.0.1:1", LinkAddress: "127.0.0.1:1"}})
	ending, reported, openAgain := make(chan struct{}), make(chan bool, 10), make(chan struct{})
	var opened, ended atomic.Int64
	h := link.NewHub(link.Config{
		Self: wire.NodeID{Target: "a-1", Incarnation: 1}, Service: "s", DataCentre: "a", MaxLinks: 4, Directory: instances,
		Tasks: task.NewGroup(func(error) {}), OnLinkFailed: func(string, error) {},
		HandleEvent: func(e engine.Event) {
			changed, ok := e.(*engine.LinkChanged)
			switch {
			case ok && changed.Up:
				reported <- true
				if opened.Add(1) == 2 {
					close(openAgain)
				}
			case ok && ended.Add(1) == 1:
				close(ending)
				// Handling the end takes as long as the next link needs, if that can open meanwhile.
				select {
				case <-openAgain:
				case <-time.After(time.Second):
				}
				reported <- false
			}
		},
	})
	defer h.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: h.HandleUpgrade}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = ln.Close() }()
	first := openLink(t, ln.Addr().String(), peer)
	if !<-reported {
		t.Fatal("the first link was reported as ended")
	}
	_ = first.Close()
	<-ending
	second := openLink(t, ln.Addr().String(), peer)
	defer func() { _ = second.Close() }()
	if up := [2]bool{<-reported, <-reported}; up != [2]bool{false, true} {
		t.Errorf("reported %v, want the end of the first link and then the second one", up)
	}
}

// openLink opens a link to the node at address as peer.
func openLink(t *testing.T, address string, peer wire.NodeID) *websocket.Conn {
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+address+link.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	hello, err := wire.Encode(&wire.Frame{Hello: &wire.Hello{Version: wire.ProtocolVersion, Node: peer, Service: "s", DataCentre: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, hello); err != nil {
		t.Fatal(err)
	}
	if _, _, err := conn.ReadMessage(); err != nil {
		t.Fatal(err)
	}
	return conn
}
