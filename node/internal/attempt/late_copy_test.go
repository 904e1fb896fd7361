package attempt

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/header"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// recorder keeps the events that an executor passes to its engine.
type recorder struct{ events []engine.Event }

// Step implements Stepper.
func (r *recorder) Step(e engine.Event) { r.events = append(r.events, e) }

// TestLateSecondCopyIsNotDelivered guards against an upstream that sends the answer to one
// request a second time when its connection is in use again: the next caller got it as the
// answer to its own request.
func TestLateSecondCopyIsNotDelivered(t *testing.T) {
	for _, named := range []bool{true, false} {
		expectOwnAnswers(t, named)
	}
}

// expectOwnAnswers sends two requests in turn to an upstream that sends each answer a second
// time before the next one on the connection. named tells whether answers name their dispatch.
func expectOwnAnswers(t *testing.T, named bool) {
	address := rawserver.Serve(t, func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		last := ""
		for {
			var req fasthttp.Request
			if req.Read(in) != nil {
				return
			}
			name := ""
			if named {
				name = fmt.Sprintf("%s: %s\r\n", header.Parent, req.Header.Peek(header.Parent))
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n%s", name, req.URI().Path())
			_, _ = io.WriteString(conn, last+answer)
			last = answer
		}
	})
	engineEvents := &recorder{}
	e := New(Config{Incarnation: 7, UpstreamAddress: address, MaxUpstreamConnections: 1, MaxBodyBytes: 100, MaxHeldBodyBytes: 100, OnFailure: func(string, error) {}})
	defer e.Close()
	e.SetEngine(engineEvents)
	for id := engine.AttemptID(1); id <= 2; id++ {
		e.PrepareDispatch(&engine.Dispatch{
			Attempt: id, Timeout: 5 * time.Second, Request: &engine.Request{Method: "GET", Path: fmt.Sprintf("/%d", id)},
		})()
	}
	if len(engineEvents.events) != 2 {
		t.Fatalf("%d events, want 2", len(engineEvents.events))
	}
	for i, event := range engineEvents.events {
		answered, ok := event.(*engine.AttemptAnswered)
		if want := fmt.Sprintf("/%d", i+1); !ok || string(answered.Reply.Response.Body) != want {
			t.Errorf("named %v, attempt %d: %+v, want the body %s", named, i+1, event, want)
		}
	}
}
