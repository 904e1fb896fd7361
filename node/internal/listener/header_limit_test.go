package listener_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

// headerForms are ways to write a header, up to the value that is extended to reach its size.
var headerForms = map[string]string{
	"upload without a type":        "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nSession: ",
	"upload with a type":           "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nSession: ",
	"no blanks after colons":       "PUT /x HTTP/1.1\r\nHost:h\r\nContent-Length:5\r\n" + strings.Repeat("A:b\r\n", 20) + "Session:",
	"blanks at the end of a value": "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nPadded: p" + strings.Repeat(" ", 60) + "\r\nSession: ",
}

// headerOfSize returns the header that begins with form and has the given size, from the request
// line to the empty line, in bytes.
func headerOfSize(form string, size int) string {
	const end = "\r\n\r\n"
	return form + strings.Repeat("s", size-len(form)-len(end)) + end
}

// TestHeaderIsLimitedAsSent guards against a header within the limit that is refused with 431, or
// one beyond it that is accepted, since another form of it than the caller's was measured.
func TestHeaderIsLimitedAsSent(t *testing.T) {
	for _, limit := range []int{500, 4096, 5000, 16384, 40_000} {
		_, address := start(t, listener.Limits{MaxHeaderBytes: limit}, echo)
		for name, form := range headerForms {
			for beyond, want := range []int{200, 431} {
				header := headerOfSize(form, limit+beyond)
				for _, last := range []int{0, 1, 2} {
					conn, in := dial(t, address)
					// A request before it leaves bytes in the read buffer.
					send(t, conn, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"+header[:len(header)-last])
					if status, body, _ := receive(t, in); status != 200 || body != "a" {
						t.Fatalf("the request before got status %d", status)
					}
					send(t, conn, header[len(header)-last:]+"hello")
					if status, body, _ := receive(t, in); status != want || want == 200 && body != "hello" {
						t.Errorf("limit %d, %s, %d bytes beyond it, the last %d apart: got status %d, want %d", limit, name, beyond, last, status, want)
					}
					_ = conn.Close()
				}
			}
		}
	}
}

// TestTrailerWithinHeaderLimitIsAccepted guards against a trailer within the limit of headers that
// is refused since it does not fit into a read buffer that no large header has extended.
func TestTrailerWithinHeaderLimitIsAccepted(t *testing.T) {
	for _, limit := range []int{500, 4096, 16384} {
		_, address := start(t, listener.Limits{MaxHeaderBytes: limit}, echo)
		for beyond, want := range []int{200, 431} {
			trailer := headerOfSize("Checksum: ", limit+beyond)
			for _, last := range []int{0, 1, 2} {
				conn, in := dial(t, address)
				send(t, conn, "PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"+trailer[:len(trailer)-last])
				send(t, conn, trailer[len(trailer)-last:])
				if status, body, _ := receive(t, in); status != want || want == 200 && body != "hello" {
					t.Errorf("limit %d, a trailer %d bytes beyond it, the last %d apart: got status %d, want %d", limit, beyond, last, status, want)
				}
				_ = conn.Close()
			}
		}
	}
}

// TestBodyIsLimitedAsSent guards against a body within the limit that is refused, or one beyond it that is
// accepted, because of its chunks or its trailer.
func TestBodyIsLimitedAsSent(t *testing.T) {
	for _, limit := range []int{1, 5000, 100_000} {
		_, address := start(t, listener.Limits{MaxBodyBytes: limit}, echo)
		for beyond, want := range []int{200, 413} {
			body := strings.Repeat("b", limit+beyond)
			first, last := body[:len(body)/2], body[len(body)/2:]
			chunks := ""
			for _, chunk := range []string{first, last} {
				if chunk != "" {
					chunks += fmt.Sprintf("%x;ext=1\r\n%s\r\n", len(chunk), chunk)
				}
			}
			for name, text := range map[string]string{
				"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
				"chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\nChecksum: " + strings.Repeat("s", 3000) + "\r\n\r\n",
			} {
				conn, in := dial(t, address)
				send(t, conn, "PUT /x HTTP/1.1\r\nHost: h\r\n"+text)
				if status, got, _ := receive(t, in); status != want || want == 200 && got != body {
					t.Errorf("limit %d, %s, %d bytes beyond it: got status %d, want %d", limit, name, beyond, status, want)
				}
				_ = conn.Close()
			}
		}
	}
}
