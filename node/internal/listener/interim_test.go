package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

const (
	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	expectingUpload = "PUT /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n"
)

// expectInterim reads an interim response that allows the caller to send its body.
func expectInterim(t *testing.T, in *bufio.Reader) {
	t.Helper()
	got := make([]byte, len(interimResponse))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != interimResponse {
		t.Fatalf("got %q and error %v, want %q", got, err, interimResponse)
	}
}

// TestInterimResponseWaitsForEarlierResponses guards against a 100 Continue before or within the response
// to an earlier request on the connection.
func TestInterimResponseWaitsForEarlierResponses(t *testing.T) {
	const earlier, largeBytes = 4, 300_000
	release := make(chan struct{})
	large := strings.Repeat("0123456789", largeBytes/10)
	_, address := start(t, listener.Limits{}, func(ctx context.Context, x *listener.Exchange) {
		if x.Request.Header.IsGet() {
			<-release
			x.Response.SetBodyString(large)
			return
		}
		echo(ctx, x)
	})
	conn, in := dial(t, address)
	for range earlier {
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	send(t, conn, expectingUpload)
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if b, err := in.ReadByte(); err == nil {
		t.Fatalf("got byte %q before the responses to earlier requests", b)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	close(release)
	for i := range earlier {
		if status, body, _ := receive(t, in); status != 200 || body != large {
			t.Fatalf("earlier response %d: got status %d and %d bytes, want 200 and %d", i, status, len(body), len(large))
		}
	}
	expectInterim(t, in)
	send(t, conn, "hello")
	if status, body, _ := receive(t, in); status != 200 || body != "hello" {
		t.Fatalf("got status %d and body %q", status, body)
	}
}

// TestInterimResponsesKeepTheirOrder guards against a 100 Continue out of place on a connection with many open
// requests, some of which are uploads that wait for it and others that do not.
func TestInterimResponsesKeepTheirOrder(t *testing.T) {
	const uploads = 60
	_, address := start(t, listener.Limits{}, func(ctx context.Context, x *listener.Exchange) {
		time.Sleep(time.Millisecond)
		echo(ctx, x)
	})
	conn, in := dial(t, address)
	go func() {
		for i := range uploads {
			body := fmt.Sprintf("%05d", i)
			_, _ = io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"+body+expectingUpload+body)
		}
	}()
	for i := range uploads {
		want := fmt.Sprintf("%05d", i)
		for upload := range 2 {
			if upload == 1 {
				expectInterim(t, in)
			}
			if status, body, _ := receive(t, in); status != 200 || body != want {
				t.Fatalf("got status %d and body %q, want 200 and %q", status, body, want)
			}
		}
	}
}

// TestNoInterimResponseBehindTheLast guards against a 100 Continue behind a response that closes the connection.
func TestNoInterimResponseBehindTheLast(t *testing.T) {
	release := make(chan struct{})
	_, address := start(t, listener.Limits{}, func(_ context.Context, x *listener.Exchange) {
		<-release
		x.Response.SetConnectionClose()
	})
	conn, in := dial(t, address)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+expectingUpload)
	time.Sleep(20 * time.Millisecond)
	close(release)
	if status, _, closes := receive(t, in); status != 200 || !closes {
		t.Fatalf("got status %d, closes %v", status, closes)
	}
	rest, err := io.ReadAll(in)
	if len(rest) > 0 {
		t.Errorf("got %q and error %v behind the last response", rest, err)
	}
}

// TestOtherResponsesKeepTheirOrder guards against the response to a request that is not read whole before or
// within that to an earlier one.
func TestOtherResponsesKeepTheirOrder(t *testing.T) {
	const head = "PUT / HTTP/1.1\r\nHost: h\r\n"
	limits := listener.Limits{MaxBodyBytes: 10, HeaderTimeout: 20 * time.Millisecond}
	for text, want := range map[string]int{
		"no request\r\n\r\n": fasthttp.StatusBadRequest,
		head + "X: ":         fasthttp.StatusRequestTimeout,
		head + "X: " + strings.Repeat("x", 20_000):         fasthttp.StatusRequestHeaderFieldsTooLarge,
		head + "Content-Length: 11\r\n\r\n":                fasthttp.StatusRequestEntityTooLarge,
		head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n": fasthttp.StatusBadRequest,
	} {
		_, address := start(t, limits, func(_ context.Context, x *listener.Exchange) {
			time.Sleep(60 * time.Millisecond)
			x.Response.SetBodyString("first")
		})
		conn, in := dial(t, address)
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+text)
		if status, body, closes := receive(t, in); status != 200 || body != "first" || closes {
			t.Errorf("%.60q: got status %d and body %q for the request before", text, status, body)
		}
		if status, _, closes := receive(t, in); status != want || !closes {
			t.Errorf("%.60q: got status %d, closes %v; want %d and the connection closed", text, status, closes, want)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		expectEOF(t, in)
	}
}
