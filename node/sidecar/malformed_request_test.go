package sidecar_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// hidden is a whole request that stands where the body of another one would.
const hidden = "GET /read/hidden HTTP/1.1\r\nHost: h\r\nX-Id: hidden\r\nX-Left: 4000\r\n\r\n"

// oddHead is the head of a request but for what makes it odd.
const oddHead = "POST /write/odd HTTP/1.1\r\nHost: h\r\nX-Id: odd\r\nX-Left: 4000\r\n"

// malformedRequests are requests that nothing may be sent of, and the status of their response.
var malformedRequests = map[string]struct {
	text   string
	status int
}{
	"blank in Content-Length":       {oddHead + fmt.Sprintf("Content Length: %d\r\n\r\n", len(hidden)) + hidden, 400},
	"encoding identity":             {oddHead + "Transfer-Encoding: identity\r\n\r\n" + hidden, 400},
	"encoding identity, length":     {oddHead + fmt.Sprintf("Transfer-Encoding: identity\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden, 400},
	"encoding gzip":                 {oddHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
	"bare LF after a chunk size":    {oddHead + "Transfer-Encoding: chunked\r\n\r\n5;\n" + hidden, 400},
	"bare LF before a whole chunk":  {oddHead + "Transfer-Encoding: chunked\r\n\r\n5;\nhello\r\n0\r\n\r\n" + hidden, 400},
	"bare LF after a chunk":         {oddHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\n0\r\n\r\n" + hidden, 400},
	"bare CR in an extension":       {oddHead + "Transfer-Encoding: chunked\r\n\r\n1;a\rb\r\na\r\n0\r\n\r\n" + hidden, 400},
	"bare LF in a head":             {oddHead + "X-A: b\nX-B: c\r\n\r\n" + hidden, 400},
	"bare LF in a trailer":          {oddHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\n\r\n" + hidden, 400},
	"two lengths":                   {oddHead + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + hidden, 400},
	"list of lengths":               {oddHead + "Content-Length: 0, 0\r\n\r\n" + hidden, 400},
	"blank in a name":               {oddHead + "X A: b\r\n\r\n" + hidden, 400},
	"blank in the caller's service": {oddHead + "X Caller: forged\r\n\r\n" + hidden, 400},
	"blank before a colon":          {oddHead + "X-Caller : forged\r\n\r\n" + hidden, 400},
	"blank in a name of a trailer":  {oddHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n" + hidden, 400},
	"continuation line":             {oddHead + "X-A: b\r\n c\r\n\r\n" + hidden, 400},
	"control byte in a value":       {oddHead + "X-A: b\x01\r\n\r\n" + hidden, 400},
	"two hosts":                     {oddHead + "Host: h\r\n\r\n" + hidden, 400},
	"no host":                       {"GET /read/odd HTTP/1.1\r\nX-Id: odd\r\nX-Left: 4000\r\n\r\n" + hidden, 400},
	"user information":              {"GET http://h@other/read/odd HTTP/1.1\r\nHost: h\r\nX-Id: odd\r\n\r\n" + hidden, 400},
	"blank in a target":             {"GET /read/odd x HTTP/1.1\r\nHost: h\r\nX-Id: odd\r\n\r\n" + hidden, 400},
	"two blanks before a target":    {"GET  /read/odd HTTP/1.1\r\nHost: h\r\nX-Id: odd\r\n\r\n" + hidden, 400},
	"no version":                    {"GET /read/odd\r\nHost: h\r\nX-Id: odd\r\n\r\n" + hidden, 400},
	"encoding with HTTP/1.0":        {strings.Replace(oddHead, "/1.1", "/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
	"another major version":         {strings.Replace(oddHead, "/1.1", "/9.9", 1) + "\r\n" + hidden, 505},
	"two content types":             {oddHead + "Content-Type: a/b\r\nContent-Type: c/d\r\nX-Secret: quoted-in-full\r\n\r\n" + hidden, 400},
	"another expectation":           {oddHead + fmt.Sprintf("Expect: 900-x\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden, 417},
}

// TestMalformedRequestIsSentNowhere guards against a request that upstreams or other nodes read in another way than the
// node where it entered, so that a request within it runs or a field of it counts.
func TestMalformedRequestIsSentNowhere(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	for name, odd := range malformedRequests {
		c := f.caller(front)
		good := "good-" + strings.ReplaceAll(name, " ", "-")
		for i := range 2 {
			c.send("GET", "/read/good", fmt.Sprint(good, i))
		}
		if _, err := io.WriteString(c.conn, odd.text); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			if got := c.receive(); got.status != 200 || got.header["X-Id"] != fmt.Sprint(good, i) {
				t.Errorf("%s: got %+v for good request %d before it", name, got, i)
			}
		}
		if got := c.receive(); got.status != odd.status || got.header["Connection"] != "close" {
			t.Errorf("%s: got %+v, want status %d and the connection closed", name, got, odd.status)
		}
		_ = c.conn.(*net.TCPConn).CloseWrite()
		if rest, err := io.ReadAll(c.reader); len(rest) > 0 {
			t.Errorf("%s: got %q and error %v behind it", name, rest, err)
		}
	}
	f.expectNothingReceived("odd", "hidden")
	f.eventually("a log line with the rule", func() bool {
		return strings.Contains(f.logs.String(), `msg="request malformed"`) && strings.Contains(f.logs.String(), "has byte 0x20 at 1 in the name of a field")
	})
	if strings.Contains(f.logs.String(), "quoted-in-full") {
		t.Error("the log quotes the value of a field")
	}
}

// TestMalformedRequestBetweenNodesIsNotRun guards against a malformed request on a connection between nodes that runs.
func TestMalformedRequestBetweenNodesIsNotRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	for name, odd := range malformedRequests {
		conn, err := net.Dial("tcp", f.address(deep, peersPort))
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(odd.text, "X-Id:", "Shallot-Rank: 1 0 0 0\r\nX-Id:")
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(conn)
		if want := fmt.Sprintf("HTTP/1.1 %d ", odd.status); !strings.HasPrefix(string(got), want) || strings.Count(string(got), "HTTP/1.1") != 1 {
			t.Errorf("%s: got %q and error %v, want one response with status %d", name, got, err, odd.status)
		}
		_ = conn.Close()
	}
	f.expectNothingReceived("odd", "hidden")
}

// TestUnusualRequestIsServed guards against a request in a form that a server has to accept that is refused or
// passed on in another sense, and against a field of a trailer that counts as one of the head.
func TestUnusualRequestIsServed(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	seen := make(chan string, 1)
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Request.Header
		seen <- fmt.Sprintf("%s %s %s %s %s %q %q", h.Method(), h.RequestURI(), h.Protocol(), h.Host(), ctx.Request.Body(), h.Peek("X-A"), h.Peek("X-Left"))
	})
	const rest = "X-Id: unusual\r\nX-Left: 4000\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"absolute target":         {"GET http://h/read/x?y=1 HTTP/1.1\r\nHost: other\r\n" + rest + "\r\n", "GET /read/x?y=1 HTTP/1.1 h  \"\""},
		"absolute, other case":    {"GET HTTP://h/read/x HTTP/1.1\r\nHost: h\r\n" + rest + "\r\n", "GET /read/x HTTP/1.1 h  \"\""},
		"empty line before":       {"\r\nGET /read/x HTTP/1.1\r\nHost: h\r\n" + rest + "\r\n", "GET /read/x HTTP/1.1 h  \"\""},
		"empty lines before":      {"\r\n\r\n\r\nGET /read/x HTTP/1.1\r\nHost: h\r\n" + rest + "\r\n", "GET /read/x HTTP/1.1 h  \"\""},
		"blanks around values":    {"PUT /read/x HTTP/1.1\r\nHost: \t h \t\r\nX-A:\t b\t \r\nContent-Length: \t2 \t\r\n" + rest + "\r\nab", "PUT /read/x HTTP/1.1 h ab \"b\""},
		"no blanks":               {"PUT /read/x HTTP/1.1\r\nHost:h\r\nX-A:b\r\nContent-Length:2\r\n" + rest + "\r\nab", "PUT /read/x HTTP/1.1 h ab \"b\""},
		"blanks around encodings": {"PUT /read/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \t Chunked \r\n" + rest + "\r\n2 ;x=\"y\"\r\nab\r\n0\r\n\r\n", "PUT /read/x HTTP/1.1 h ab \"\""},
		"HTTP/1.0":                {"GET /read/x HTTP/1.0\r\nHost: h\r\n" + rest + "\r\n", "GET /read/x HTTP/1.1 h  \"\""},
		"later minor version":     {"GET /read/x HTTP/1.2\r\nHost: h\r\n" + rest + "\r\n", "GET /read/x HTTP/1.1 h  \"\""},
		"trailer":                 {"PUT /read/x HTTP/1.1\r\nHost: h\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n" + rest + "\r\n2\r\nab\r\n0\r\nX-A: b\r\nX-Left: 9\r\n\r\n", "PUT /read/x HTTP/1.1 h ab \"\""},
		"length and chunks":       {"PUT /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n" + rest + "\r\n3\r\nabc\r\n0\r\n\r\n", "PUT /read/x HTTP/1.1 h abc \"\""},
		"GET with a body":         {fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", len(hidden)) + rest + "\r\n" + hidden, "GET /read/x HTTP/1.1 h " + hidden + " \"\""},
	} {
		caller := f.caller(front)
		if _, err := io.WriteString(caller.conn, c.text); err != nil {
			t.Fatal(err)
		}
		got := caller.receive()
		if got.status != 200 {
			t.Errorf("%s: got %+v, want status 200", name, got)
			continue
		}
		if got := <-seen; !strings.HasPrefix(got, c.want) || strings.Contains(got, `"9"`) {
			t.Errorf("%s: the upstream got %s, want %s", name, got, c.want)
		}
		closes := name == "HTTP/1.0" || name == "later minor version" || name == "length and chunks"
		if closed := got.header["Connection"] == "close"; closed != closes {
			t.Errorf("%s: the response closes the connection: %v", name, closed)
		}
	}
	f.expectNothingReceived("hidden")
}

// TestHTTP10ConnectionIsKept guards against a caller with HTTP/1.0 that is not told that its connection is kept.
func TestHTTP10ConnectionIsKept(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	c := f.caller(front)
	for i := range 2 {
		_, err := fmt.Fprintf(c.conn, "GET /read/x HTTP/1.0\r\nHost: h\r\nX-Id: kept-%d\r\nX-Left: 4000\r\nConnection: keep-alive\r\n\r\n", i)
		if err != nil {
			t.Fatal(err)
		}
		if got := c.receive(); got.status != 200 || got.header["Connection"] != "keep-alive" {
			t.Errorf("request %d: got %+v, want status 200 and the connection kept", i, got)
		}
	}
}
