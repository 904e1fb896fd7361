package client_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1"
	"github.com/shallotspool/shallotspool/ctl/internal/client"
)

// serve answers each request with text and returns the server's address.
func serve(t *testing.T, text string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			_ = req.Read(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// TestMalformedStatusResponseIsRejected guards against a status that is shown although the head of the answer is
// malformed.
func TestMalformedStatusResponseIsRejected(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\n{}"
	c := client.New(10 * time.Second)
	for text, detail := range map[string]string{
		"HTTP/1.1 000 OK\r\n" + rest: "status that is not 100 to 999",
		"HTTP/1.1 000\r\n" + rest:    "status that is not 100 to 999",
		"HTTP/1.1 000 OK\r\n\r\n{}":  "status that is not 100 to 999",
		"HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n":           "status that is not 100 to 999",
		"HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK\r\n" + rest:                                      "status that is not 100 to 999",
		"HTTP/1.1 200 OK\r\nX A: b\r\n" + rest:                                                "byte 0x20 at 1 in the name of a field",
		"HTTP/1.1 200 OK\r\nX\x01A: b\r\n" + rest:                                             "byte 0x01 at 1 in the name of a field",
		"HTTP/1.1 103 Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + rest:                      "byte 0x20 at 1 in the name of a field",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX A: b\r\n\r\n": "trailer has byte 0x20",
		"no response\r\n\r\n": "does not start with HTTP/1.",
	} {
		got := c.FetchStatuses(context.Background(), []string{serve(t, text)})[0]
		var malformed *http1.MalformedError
		if got.Status != nil || !errors.Is(got.Err, client.ErrUnreachable) || !errors.As(got.Err, &malformed) || !strings.Contains(got.Err.Error(), detail) {
			t.Errorf("%q: got %+v, want ErrUnreachable with %q", text, got, detail)
		}
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + rest, "HTTP/1.1 200 OK\r\n\r\n{}",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		if got := c.FetchStatuses(context.Background(), []string{serve(t, text)})[0]; got.Err != nil || got.Status == nil {
			t.Errorf("%q: got %+v, want a status", text, got)
		}
	}
}
