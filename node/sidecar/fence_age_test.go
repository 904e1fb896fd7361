package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/logging"
	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// TestSuspensionCountsInAgeOfRequest guards against a machine that is suspended while the node that
// it sent a request to is restarted: by a clock that stood still the request was younger than the
// new process, which called it "not arrived", though the one before had run it.
func TestSuspensionCountsInAgeOfRequest(t *testing.T) {
	const suspension, restartAgo = time.Minute, 40 * time.Second
	var clock atomic.Int64
	asked := mesh.New(mesh.Config{Instance: "127.0.0.1", Service: "deep", DataCentre: "x"})
	for name, c := range map[string]struct {
		// beforeQuestion is the suspension after the request was sent, duringQuestion that while
		// the question is on its way.
		beforeQuestion, duringQuestion time.Duration
		want                           bool
	}{
		"none":            {0, 0, true},
		"before question": {suspension, 0, false},
		"during question": {0, suspension, false},
	} {
		address := rawserver.Serve(t, func(conn net.Conn) {
			defer conn.Close()
			var req fasthttp.Request
			if req.Read(bufio.NewReader(conn)) != nil {
				return
			}
			clock.Add(int64(c.duringQuestion))
			age, err := req.URI().QueryArgs().GetUint(ageParam)
			if err != nil {
				t.Error(err)
			}
			// The process that is asked was started restartAgo.
			answer := fenceAnswers[asked.Fence(restartAgo, requestHash(name), time.Duration(age)*time.Millisecond)]
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		})
		s := &Sidecar{
			started: time.Now(), bootTime: func() time.Duration { return time.Duration(clock.Load()) }, peerPools: map[string]*pool.Pool{},
			log: logging.New(io.Discard, logrus.InfoLevel, logging.Field{}), instance: "127.0.0.1",
		}
		s.dialect.Headers.RequestID = "X-Id"
		s.settings.Store(&Settings{Listen: ListenSettings{Peers: address}})
		sentAt := s.bootTime()
		clock.Add(int64(c.beforeQuestion))
		got := s.fence(context.Background(), &upstreamRequest{id: name, deadline: time.Minute}, netip.MustParseAddrPort(address).Addr().String(), sentAt)
		if got != c.want {
			t.Errorf("suspension %s: the request counts as not arrived: %v, want %v", name, got, c.want)
		}
	}
}
