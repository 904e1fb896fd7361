package http1_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shallotspool/shallotspool/core/http1"
)

// maxHeadBytes is the limit of heads in tests.
const maxHeadBytes = 1 << 10

// readAll reads all responses in text and returns what was passed on.
func readAll(text string, opts http1.ResponseOptions) (string, error) {
	opts.MaxHeadBytes = maxHeadBytes
	passed, err := io.ReadAll(http1.NewResponseReader(strings.NewReader(text), opts))
	return string(passed), err
}

// expectMalformed checks that nothing of a response is passed on beyond what precedes the malformed part,
// and that the error says what is wrong in a few words.
func expectMalformed(t *testing.T, text, passed, detail string) {
	t.Helper()
	got, err := readAll(text, http1.ResponseOptions{})
	var malformed *http1.MalformedError
	if !errors.As(err, &malformed) || !strings.Contains(err.Error(), detail) || got != passed {
		t.Errorf("%q: got %q and error %v, want %q and %q", text, got, err, passed, detail)
	}
	if err != nil && len(err.Error()) > 400 {
		t.Errorf("%q: the error has %d bytes", text, len(err.Error()))
	}
}

// TestMalformedStatusLineIsRejected guards against a status below 100, or bytes that are no status line, that
// are taken for an answer.
func TestMalformedStatusLineIsRejected(t *testing.T) {
	for line, detail := range map[string]string{
		"HTTP/1.1 000 OK": "status", "HTTP/1.1 000": "status", "HTTP/1.1 099 OK": "status", "HTTP/1.1 20 OK": "status",
		"HTTP/1.1 2000 OK": "status", "HTTP/1.1 0200 OK": "status", "HTTP/1.1 +20 OK": "status", "HTTP/1.1 -20 OK": "status",
		"HTTP/1.1 2x0 OK": "status", "HTTP/1.1 abc OK": "status", "HTTP/1.1  200 OK": "status", "HTTP/1.1 200\tOK": "status",
		"HTTP/1.1 ": "status", "HTTP/1.1": "status",
		"HTTP/1.2 200 OK": "version", "HTTP/1.10 200 OK": "version", "HTTP/1. 200 OK": "version",
		"HTTP/2.0 200 OK": "HTTP/1.", "http/1.1 200 OK": "HTTP/1.", " HTTP/1.1 200 OK": "HTTP/1.", "no response": "HTTP/1.", "\r\nHTTP/1.1 200 OK": "HTTP/1.",
		"HTTP/1.1 200 O\x01K": "reason", "HTTP/1.1 200 O\x7fK": "reason", "HTTP/1.1 200 O\rK": "reason",
		"HTTP/1.1 101 Switching Protocols":          "101",
		"HTTP/1.1 200 " + strings.Repeat("x", 2000): "too long",
	} {
		expectMalformed(t, line+"\r\nContent-Length: 2\r\n\r\nok", "", detail)
	}
}

// TestMalformedFieldIsRejected guards against a field whose name holds a blank or a control byte, or that states
// a length in another way than all readers understand, in a head, an interim head or a trailer.
func TestMalformedFieldIsRejected(t *testing.T) {
	for _, name := range []string{"X A", "X-A ", "X-A\t", "X\tA", "X\x01A", "X\x00A", "X\x0bA", "X\x7fA", "X\xffA", "X(A", "X\rA", "Content Length"} {
		line, detail := name+": 2", "in the name of a field"
		expectMalformed(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok", "", detail)
		expectMalformed(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "", detail)
		chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
		expectMalformed(t, chunked+line+"\r\n\r\n", chunked, detail)
	}
	for lines, detail := range map[string]string{
		"no colon": "without a colon", ": b": "without a name", "A: b\r\n c": "continuation", " A: b": "continuation",
		"A: b\x01": "0x01 in the value", "A: \x00": "0x00 in the value", "A: b\rc": "0x0d in the value", "A: \x7f": "0x7f in the value",
		"A: b\nB: c":        "CRLF",
		"Content-Length: 2": "repeats", "Content-length: 2, 2": "decimal", "content-length: +2": "decimal", "Content-Length:": "decimal",
		"Content-Length: 99999999999999999999": "decimal", "Content-Length: 9999999999999999999": "decimal", "Content-Length: 0x2": "decimal",
		"Transfer-Encoding: chunked": "a length and an encoding", "Transfer-Encoding: gzip, chunked": "a length and an encoding",
		"A: " + strings.Repeat("x", 2000): "too long", strings.Repeat("A: x\r\n", 400) + "A: x": "too long",
	} {
		// The last line states the length, unless the malformed one does.
		if strings.HasPrefix(strings.ToLower(lines), "content-length:") && detail != "repeats" {
			expectMalformed(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\n\r\nok", "", detail)
			continue
		}
		expectMalformed(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+lines+"\r\n\r\nok", "", detail)
	}
	for lines, detail := range map[string]string{
		"Transfer-Encoding: gzip": "not supported", "Transfer-Encoding: chunked, chunked": "not supported", "Transfer-Encoding:": "not supported",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked": "repeats",
		"Transfer-Encoding: chunked\r\nContent-Length: 2":          "a length and an encoding",
	} {
		expectMalformed(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", detail)
	}
	expectMalformed(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", "HTTP/1.0")
}

// TestMalformedChunkIsRejected guards against a chunked body that readers understand in different ways.
func TestMalformedChunkIsRejected(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for chunk, detail := range map[string]string{
		"\r\n": "chunk size", "zz\r\n": "chunk size", "+2\r\nok\r\n": "chunk size", " 2\r\nok\r\n": "chunk size", "2;a\x01\r\nok\r\n": "chunk size",
		"2\nok\r\n": "CRLF", "0x2\r\nok\r\n": "chunk size", "00000000000000002\r\nok\r\n": "chunk size", "8000000000000000\r\n": "chunk size",
		"2;" + strings.Repeat("x", 5000) + "\r\nok\r\n": "too long", strings.Repeat("0", 5000): "too long",
	} {
		expectMalformed(t, head+chunk, head, detail)
	}
	expectMalformed(t, head+"2\r\nokay\r\n", head+"2\r\nok", "end of chunk")
	expectMalformed(t, head+"0\r\n"+strings.Repeat("A: x\r\n", 400), head+"0\r\n", "trailer is too long")
}

// sound are responses that must be passed on unchanged, one after the other.
var sound = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 \r\nContent-Length:2\r\n\r\nok",
	"HTTP/1.0 200\r\ncontent-length: \t2 \r\n\r\nok",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\nTransfer-Encoding-Not: x\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
	"HTTP/1.1 999 Gr\xfc\xdf dich\tund so\r\nX-Empty:\r\nX!#$%&'*+-.^_`|~9: \xff \t x\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 500 Oh\r\ntransfer-encoding: Chunked\r\n\r\n1;a=\"b\"\r\no\r\n001 \r\nk\r\n0\r\nX-Sum: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\n\r\nto the end\r\n\x00",
}

// TestSoundResponsesPassUnchanged guards against a check that rejects or changes what an upstream may send.
func TestSoundResponsesPassUnchanged(t *testing.T) {
	all := strings.Join(sound, "")
	if got, err := readAll(all, http1.ResponseOptions{}); err != nil || got != all {
		t.Errorf("got %q and error %v, want %q", got, err, all)
	}
	upgraded := "HTTP/1.1 101 Switching Protocols\r\n\r\n\x00any bytes"
	if got, err := readAll(upgraded, http1.ResponseOptions{AllowUpgrade: true}); err != nil || got != upgraded {
		t.Errorf("got %q and error %v, want %q", got, err, upgraded)
	}
}

// TestIdleBetweenResponsesOnly guards against a connection that is used again although an answer has not
// ended, or something follows it.
func TestIdleBetweenResponsesOnly(t *testing.T) {
	text := sound[7]
	for n := range len(text) + 1 {
		r := http1.NewResponseReader(strings.NewReader(text), http1.ResponseOptions{MaxHeadBytes: maxHeadBytes})
		if _, err := io.ReadFull(r, make([]byte, n)); err != nil {
			t.Fatal(err)
		}
		// Before the first read, and at the end.
		if want := n == 0 || n == len(text); r.Idle() != want {
			t.Errorf("after %q: idle %v, want %v", text[:n], r.Idle(), want)
		}
	}
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	r := http1.NewResponseReader(strings.NewReader(head+sound[3]), http1.ResponseOptions{MaxHeadBytes: maxHeadBytes})
	r.ExpectResponse(true)
	if _, err := io.ReadFull(r, make([]byte, len(head))); err != nil || r.Idle() {
		t.Errorf("error %v, or idle, after a response to HEAD that another one follows", err)
	}
	if rest, err := io.ReadAll(r); err != nil || string(rest) != sound[3] {
		t.Errorf("got %q and error %v after the response to HEAD, want the next one", rest, err)
	}
}

// TestCutResponseEndsUnexpectedly guards against a connection that ends within a response and is taken for
// one that ends after it.
func TestCutResponseEndsUnexpectedly(t *testing.T) {
	for _, text := range sound[:8] {
		for cut := 1; cut < len(text); cut++ {
			if got, err := readAll(text[:cut], http1.ResponseOptions{}); err != io.ErrUnexpectedEOF {
				t.Errorf("%q: got %q and error %v, want %v", text[:cut], got, err, io.ErrUnexpectedEOF)
			}
		}
	}
}

// endless repeats a text without end and counts what is read of it.
type endless struct {
	text  string
	total int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (n int, err error) {
	for n < len(p) {
		n += copy(p[n:], e.text[(e.total+n)%len(e.text):])
	}
	e.total += n
	return n, nil
}

// TestEndlessPartIsRejected guards against a head, chunk size or trailer without end that is kept in memory.
func TestEndlessPartIsRejected(t *testing.T) {
	for _, c := range [][2]string{
		{"", "x"},
		{"HTTP/1.1 200 ", "x"},
		{"HTTP/1.1 200 OK\r\nA", "x"},
		{"HTTP/1.1 200 OK\r\nA: ", "x"},
		{"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
	} {
		more := &endless{text: c[1]}
		r := http1.NewResponseReader(io.MultiReader(strings.NewReader(c[0]), more), http1.ResponseOptions{MaxHeadBytes: maxHeadBytes})
		_, err := io.Copy(io.Discard, r)
		var malformed *http1.MalformedError
		if !errors.As(err, &malformed) || more.total > 16<<10 {
			t.Errorf("%q and %q without end: error %v after %d bytes", c[0], c[1], err, more.total)
		}
	}
}

// FuzzReader compares with the reader of the standard library: what passes the checks whole must be a series of
// responses to it as well, with valid statuses and names of fields, however the bytes arrive.
func FuzzReader(f *testing.F) {
	for _, text := range sound {
		f.Add([]byte(text))
		f.Add([]byte(text + sound[0]))
	}
	f.Add([]byte("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX A: b\r\nContent Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, data []byte) {
		passed, err := readAll(string(data), http1.ResponseOptions{})
		if !bytes.HasPrefix(data, []byte(passed)) {
			t.Fatalf("passed %q of %q", passed, data)
		}
		slow := http1.NewResponseReader(iotest.OneByteReader(bytes.NewReader(data)), http1.ResponseOptions{MaxHeadBytes: maxHeadBytes})
		if again, slowErr := io.ReadAll(slow); string(again) != passed || fmt.Sprint(slowErr) != fmt.Sprint(err) {
			t.Fatalf("passed %q with error %v, byte by byte %q with error %v", passed, err, again, slowErr)
		}
		in := bufio.NewReaderSize(strings.NewReader(passed), 64<<10)
		for {
			if _, peekErr := in.Peek(1); peekErr != nil {
				return
			}
			if !expectSound(t, in, err) {
				return
			}
		}
	})
}

// expectSound reads a response that was passed on. readErr is the error after it, nil if there is none. It returns
// false after the last whole response.
func expectSound(t *testing.T, in *bufio.Reader, readErr error) bool {
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		// What precedes an error need not be whole.
		if readErr == nil {
			t.Fatalf("not a response to the standard library: %v", err)
		}
		return false
	}
	if resp.StatusCode < 100 {
		t.Fatalf("passed status %d", resp.StatusCode)
	}
	for _, fields := range []http.Header{resp.Header, resp.Trailer} {
		for name := range fields {
			if strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == ':' }) {
				t.Fatalf("passed a field with the name %q", name)
			}
		}
	}
	return true
}
