package link_test

import (
	"bufio"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
	"github.com/shallotspool/shallotspool/node/internal/directory"
	"github.com/shallotspool/shallotspool/node/internal/link"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

// TestMalformedUpgradeOpensNoLink guards against a link that is opened by an answer with a malformed head. Without
// the malformed field it is opened, and ends as the peer says no hello.
func TestMalformedUpgradeOpensNoLink(t *testing.T) {
	for field, malformed := range map[string]bool{"X A: b": true, "X-A : b": true, "X-A: b": false} {
		address := rawserver.Serve(t, func(conn net.Conn) {
			defer conn.Close()
			var req fasthttp.Request
			if req.Read(bufio.NewReader(conn)) != nil {
				return
			}
			// RFC 6455, section 4.2.2.
			sum := sha1.Sum([]byte(string(req.Header.Peek("Sec-Websocket-Key")) + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\n%s\r\n\r\n",
				base64.StdEncoding.EncodeToString(sum[:]), field)
		})
		instances := directory.New()
		instances.Replace([]membership.Instance{{Target: "a-2", PeerAddress: address, LinkAddress: address}})
		failures := make(chan error, 100)
		h := link.NewHub(link.Config{
			Self: wire.NodeID{Target: "a-1", Incarnation: 1}, Service: "s", DataCentre: "a", MaxLinks: 4, Directory: instances, Tasks: task.NewGroup(func(error) {}),
			OnLinkFailed: func(_ string, err error) { failures <- err },
		})
		h.Connect("a-2")
		select {
		case err := <-failures:
			if got := new(*http1.MalformedError); errors.As(err, got) != malformed {
				t.Errorf("%q: error %v, malformed wanted: %v", field, err, malformed)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%q: the link has not failed", field)
		}
		h.Close()
	}
}
