package header

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
)

// FuzzParse parses arbitrary headers as received from each origin.
func FuzzParse(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(bytes.NewReader(text))) != nil {
			return
		}
		for _, origin := range []engine.Origin{engine.OriginCaller, engine.OriginUpstream, engine.OriginPeer} {
			call, err := Parse(&h, origin, 1)
			var headerErr *Error
			if err != nil && !errors.As(err, &headerErr) {
				t.Fatalf("error is not an *Error: %v", err)
			}
			if err == nil {
				checkCall(t, origin, &call)
			}
		}
	})
}

// checkCall checks properties that every successfully parsed call must have.
func checkCall(t *testing.T, origin engine.Origin, c *Call) {
	if origin != engine.OriginPeer && (c.RetryTokens != 0 || c.Depth != 0 || c.Class != 0 || c.Stage != 0 || c.Send.Sequence != 0) {
		t.Fatalf("a field that only other nodes may set was accepted from another origin: %+v", c)
	}
	if origin == engine.OriginCaller && c.Parent != 0 {
		t.Fatalf("a parent was accepted from a caller: %+v", c)
	}
	if c.Timeout < 0 || len(c.Key) > maxKeyBytes || len(c.Service) > maxNameBytes || len(c.Group) > maxNameBytes {
		t.Fatalf("a value is out of range: %+v", c)
	}
	ForEachField(c.ForwardedHeader, func(name, _ []byte) {
		if strings.HasPrefix(string(name), internalPrefix) || hopByHop[string(name)] {
			t.Fatalf("%s would be forwarded", name)
		}
	})
}

// TestParsePeerFields checks that each field that only other nodes may set is
// parsed, and that a call from another node is rejected if a required field is
// missing.
func TestParsePeerFields(t *testing.T) {
	var h fasthttp.RequestHeader
	text := "POST /x HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 250\r\nShallot-Budget: 2\r\nShallot-Class: 1\r\nShallot-Depth: 3\r\nShallot-Priority: 12\r\n" +
		"Shallot-Send: a-1/7/9\r\nShallot-Stage: own\r\nShallot-Heard: 4/5\r\nShallot-Rerun: 1\r\nX-Own: v\r\n\r\n"
	if err := h.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	c, err := Parse(&h, engine.OriginPeer, 1)
	if err != nil {
		t.Fatal(err)
	}
	if FormatSend(c.Send) != "a-1/7/9" || FormatStage(c.Stage) != "own" || c.RetryTokens != 2 || c.Class != 1 ||
		c.Depth != 3 || c.Priority != 12 || FormatStamp(c.ReceiverStamp) != "4/5" || !c.Rerun || string(c.ForwardedHeader) != "X-Own: v\r\n" {
		t.Fatalf("got %+v", c)
	}
	for _, name := range []string{TimeoutMS, RetryTokens, Class, Depth, Priority, Send, Stage} {
		var without fasthttp.RequestHeader
		h.CopyTo(&without)
		without.Del(name)
		if _, err := Parse(&without, engine.OriginPeer, 1); err == nil || err.Error() != name+": missing" {
			t.Errorf("without %s: got error %v, want \"%s: missing\"", name, err, name)
		}
	}
}

// TestReplyRoundTrip checks that ReadReply returns what WriteReply was given,
// and that it rejects a malformed value of each mandatory field.
func TestReplyRoundTrip(t *testing.T) {
	sent := engine.Reply{Outcome: engine.OutcomeNotRun, Reason: engine.ReasonOverload, RetryTokens: 2, RetryAfter: 1500 * time.Millisecond}
	sent.Load.InFlight, sent.Load.Limit, sent.Load.AdmissionLevel = 3, 4, 5
	sent.Stamp.Incarnation, sent.Stamp.UptimeMS = 6, 7
	var h fasthttp.ResponseHeader
	WriteReply(&h, sent)
	got, err := ReadReply(&h)
	if err != nil || got != sent {
		t.Fatalf("got %+v, error %v; want %+v", got, err, sent)
	}
	for _, name := range []string{Outcome, Reason, RetryTokens, Load, Stamp} {
		var malformed fasthttp.ResponseHeader
		h.CopyTo(&malformed)
		malformed.Set(name, "-1")
		if _, err := ReadReply(&malformed); !errors.Is(err, ErrMalformedReply) {
			t.Errorf("%s malformed: got error %v, want ErrMalformedReply", name, err)
		}
	}
}
