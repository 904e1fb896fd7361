package http1_test

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shallotspool/shallotspool/core/http1"
	"github.com/shallotspool/shallotspool/core/http1/http1test"
)

// readRequests reads all requests in in and returns what was passed on.
func readRequests(in io.Reader) (string, error) {
	passed, err := io.ReadAll(http1.NewRequestReader(in, http1.RequestOptions{MaxHeadBytes: maxHeadBytes}))
	return string(passed), err
}

const soundRequests = "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n" +
	"\r\nPUT /a HTTP/1.1\r\nHost:h\r\nContent-Length: 3 \r\n\r\nabc" +
	"PUT http://h/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\"y\"\r\nGET /\r\n1 \r\n\n\r\n0\r\nX-A: b\r\n\r\n" +
	"OPTIONS * HTTP/1.0\r\nConnection: close\r\n\r\n"

// TestSoundRequestsArePassedOn guards against a request that is refused, or changed but for its trailer, at any split into
// packets.
func TestSoundRequestsArePassedOn(t *testing.T) {
	want := strings.ReplaceAll(strings.ReplaceAll(soundRequests, "X-A: b\r\n", ""), "\r\n\r\nPUT /a", "\r\nPUT /a")
	want = strings.Replace(want, "Host: h\r\nPUT", "Host: h\r\n\r\nPUT", 1)
	for name, in := range map[string]io.Reader{
		"whole": strings.NewReader(soundRequests), "bytes": iotest.OneByteReader(strings.NewReader(soundRequests)), "halves": iotest.HalfReader(strings.NewReader(soundRequests)),
	} {
		if got, err := readRequests(in); err != nil || got != want {
			t.Errorf("%s: got %q and error %v, want %q", name, got, err, want)
		}
	}
}

// TestMalformedRequestIsNotPassedOn guards against a request of which anything is passed on that other readers frame
// in another way, and against one without an error that says which rule it breaks.
func TestMalformedRequestIsNotPassedOn(t *testing.T) {
	const start, fields = "PUT /a HTTP/1.1\r\nHost: h\r\n", "Host: h\r\n\r\n"
	for text, detail := range map[string]string{
		"\x16\x03\x01": "method", " GET / HTTP/1.1\r\n" + fields: "method", "\nGET / HTTP/1.1\r\n" + fields: "method",
		"GET /\r\n" + fields: "a method, a target and a version", "GET  / HTTP/1.1\r\n" + fields: "a target", "GET / HTTP/1.1 \r\n" + fields: "version",
		"GE(T / HTTP/1.1\r\n" + fields: "a method", "GET /\x01 HTTP/1.1\r\n" + fields: "a target",
		"GET / HTTP/2.0\r\n" + fields: "not supported", "GET / HTTP/1.10\r\n" + fields: "version", "GET / HTTP/1\r\n" + fields: "version", "GET / http/1.1\r\n" + fields: "version",
		"GET a HTTP/1.1\r\n" + fields: "target", "GET * HTTP/1.1\r\n" + fields: "target", "CONNECT h:80 HTTP/1.1\r\n" + fields: "target",
		"GET ftp://h/ HTTP/1.1\r\n" + fields: "target", "GET http:///a HTTP/1.1\r\n" + fields: "host", "GET http://a@h/ HTTP/1.1\r\n" + fields: "host",
		"GET / HTTP/1.1\r\n\r\n": "Host", start + fields: "repeats", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n": "not valid",
		start + "Content Length: 5\r\n\r\nhello": "name", start + "Content-Length : 5\r\n\r\nhello": "name", start + "X\x00: 5\r\n\r\n": "name",
		start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello": "repeats", start + "Content-Length: 5, 5\r\n\r\nhello": "decimal",
		start + "Content-Length: +5\r\n\r\nhello": "decimal", start + "Content-Length: 99999999999999999999\r\n\r\n": "decimal",
		start + "Transfer-Encoding: identity\r\n\r\nhello": "encoding", start + "Transfer-Encoding: chunked, chunked\r\n\r\n": "encoding", start + "Transfer-Encoding: xchunked\r\n\r\n": "encoding",
		start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n":     "repeats",
		strings.Replace(start, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n": "HTTP/1.0",
		start + "A: b\r\n c\r\n\r\n": "continuation", start + "A: b\x01\r\n\r\n": "0x01", start + "A: b\nB: c\r\n\r\n": "CRLF", "GET / HTTP/1.1\nHost: h\n\n": "CRLF",
		start + "A: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n": "too long",
	} {
		for _, before := range []string{"", soundRequests} {
			whole, _ := readRequests(strings.NewReader(before))
			got, err := readRequests(strings.NewReader(before + text))
			var malformed *http1.MalformedError
			if !errors.As(err, &malformed) || !strings.Contains(err.Error(), detail) || !strings.HasPrefix(err.Error(), "malformed request: ") || got != whole {
				t.Errorf("%q behind %d bytes: got %q and error %v, want %q", text, len(before), got, err, detail)
			}
		}
	}
	const chunked = start + "Transfer-Encoding: chunked\r\n\r\n"
	for text, detail := range map[string]string{
		"5\nhello\r\n0\r\n\r\n": "CRLF", "5;\nhello\r\n0\r\n\r\n": "CRLF", "5;a\rb\r\nhello": "not valid", "0x5\r\nhello": "hexadecimal", "-5\r\n": "hexadecimal",
		"\r\nhello": "hexadecimal", "5 5\r\nhello": "hexadecimal", "10000000000000000\r\n": "not valid", "5;" + strings.Repeat("x", 5000) + "\r\n": "too long",
	} {
		if got, err := readRequests(strings.NewReader(chunked + text)); err == nil || !strings.Contains(err.Error(), detail) || got != chunked {
			t.Errorf("%q: got %q and error %v, want %q", text, got, err, detail)
		}
	}
	for _, text := range []string{"1\r\na\n0\r\n\r\n", "1\r\nab\r\n0\r\n\r\n", "0\r\nX A: b\r\n\r\n", "0\r\nA: b\n\r\n", "0\r\nA: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n"} {
		if got, err := readRequests(strings.NewReader(chunked + text)); err == nil || strings.HasSuffix(got, "\r\n\r\n") && got != chunked {
			t.Errorf("%q: got %q and error %v, want an error and no end of the request", text, got, err)
		}
	}
}

// FuzzRequestReader guards against requests that another strict reader sees in another way.
func FuzzRequestReader(f *testing.F) {
	f.Add(soundRequests)
	f.Add(soundRequests + "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("PUT / HTTP/1.1\r\nHost: h\r\nContent Length: 4\r\n\r\nhide")
	f.Add("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("\r\nPUT / HTTP/1.1\r\nHost:\r\nTransfer-Encoding: identity\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		want, whole := http1test.Read(text, maxHeadBytes)
		passed, err := readRequests(strings.NewReader(text))
		if (err == nil) != whole {
			t.Fatalf("error %v, the reference reads it to its end: %v", err, whole)
		}
		if got, _ := http1test.Read(passed, maxHeadBytes); !reflect.DeepEqual(got, want) {
			t.Errorf("passed on %q with\n%+v, want\n%+v", passed, got, want)
		}
		byBytes, bytesErr := readRequests(iotest.OneByteReader(strings.NewReader(text)))
		if byBytes != passed || (bytesErr == nil) != (err == nil) {
			t.Errorf("by bytes: passed on %q and error %v, as a whole %q and %v", byBytes, bytesErr, passed, err)
		}
	})
}

// BenchmarkRequestReader measures one request with a small body.
func BenchmarkRequestReader(b *testing.B) {
	const request = "POST /read/1234567 HTTP/1.1\r\nHost: shop.example\r\nContent-Type: application/json\r\nContent-Length: 16\r\n" +
		"Request-Id: 0123456789abcdef\r\nDeadline-Ms: 1000\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n0123456789abcdef"
	text := strings.Repeat(request, 1000)
	in := strings.NewReader(text)
	r := http1.NewRequestReader(in, http1.RequestOptions{MaxHeadBytes: maxHeadBytes})
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			in.Reset(text)
		}
		for read := 0; read < len(request); {
			n, err := r.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			read += n
		}
	}
}
