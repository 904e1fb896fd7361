package http1

import (
	"bufio"
	"bytes"
	"io"
)

// versionBytes is the length of a version, such as HTTP/1.1.
const versionBytes = len("HTTP/1.1")

var (
	protocolName     = []byte("HTTP/")
	schemeEnd        = []byte("://")
	continueExpected = []byte("100-continue")
)

// RequestOptions determine which requests a RequestReader accepts.
type RequestOptions struct {
	// MaxHeadBytes is the maximum size of a head, and that of a trailer, in bytes.
	MaxHeadBytes int
	// AllowUpgrade passes on all bytes after a head with "Connection: Upgrade" unchecked.
	AllowUpgrade bool
}

// RequestHead is what a head says of the request and its connection.
type RequestHead struct {
	// Bytes is the size of the head as it was sent, without empty lines before it.
	Bytes int
	// HTTP10 is set if the version is HTTP/1.0.
	HTTP10 bool
	// Chunked is set if the body is chunked. Otherwise it has Length bytes. Closes is set if the head states
	// both, so that no other request may follow (RFC 9112, section 6.1).
	Chunked, Closes bool
	Length          uint64
	// ExpectsContinue is set if the sender waits for status 100 before it sends the body, and
	// ExpectsOther if it expects anything else.
	ExpectsContinue, ExpectsOther bool
	// Authority and Path are the host and the rest of a target in absolute form. Authority is
	// empty if the target has another form.
	Authority, Path []byte
}

// RequestReader reads a series of requests and passes them on unchanged, without the fields of trailers; see
// reader for its errors.
type RequestReader struct {
	reader
	request requestHead
}

// NewRequestReader returns a RequestReader of the requests in in.
func NewRequestReader(in io.Reader, opts RequestOptions) *RequestReader {
	r := &RequestReader{request: requestHead{allowUpgrade: opts.AllowUpgrade}}
	r.reader = newReader(in, &r.request, opts.MaxHeadBytes)
	return r
}

// Wait waits for the first byte of the next request, after the body of the last one has been read. Empty lines
// before it are passed over (RFC 9112, section 2.2). Its error is that of the connection; reading can go on after it.
func (r *RequestReader) Wait() error { return skipEmptyLines(r.in) }

func skipEmptyLines(in *bufio.Reader) error {
	for {
		start, err := in.Peek(1)
		if err != nil || start[0] != '\r' {
			return err
		}
		if start, err = in.Peek(len(lineEnd)); err != nil || !bytes.Equal(start, lineEnd) {
			return unexpectedEnd(err)
		}
		_, _ = in.Discard(len(lineEnd)) // just peeked
	}
}

// ReadHead reads the head of the next request, of at most maxBytes, which also limits a trailer. What
// Read passes on next is the head; the result is valid until the next call.
func (r *RequestReader) ReadHead(maxBytes int) (*RequestHead, error) {
	if r.err != nil {
		return nil, r.err
	}
	r.maxHeadBytes = maxBytes
	if err := r.readPart(); err != nil {
		return nil, err
	}
	h := &r.request
	h.Bytes, h.HTTP10, h.Chunked, h.Length = len(r.block), !h.http11, h.chunked, h.length
	h.Closes = h.chunked && h.hasLength
	return &h.RequestHead, nil
}

// Unchecked reports whether what follows the last head is passed on unchecked; see RequestOptions.AllowUpgrade.
func (r *RequestReader) Unchecked() bool { return r.state == toEnd }

// requestHead is the head of a request.
type requestHead struct {
	RequestHead
	framing
	// hasHost, upgrades and hasUpgrade are set if the head has the field Host, the option
	// upgrade of Connection, and the field Upgrade.
	hasHost, upgrades, hasUpgrade bool
	allowUpgrade                  bool
}

func (*requestHead) kind() string { return "request" }

func (*requestHead) firstLinePart() string { return requestLinePart }

func (*requestHead) passesTrailers() bool { return false }

func (*requestHead) expectStart(in *bufio.Reader) error {
	if err := skipEmptyLines(in); err != nil {
		return err
	}
	start, err := in.Peek(1)
	if err == nil && !isNameByte(start[0]) {
		return malformed(requestLinePart, "does not start with a method", start)
	}
	return err
}

// addFirstLine implements head.
func (h *requestHead) addFirstLine(line []byte) error {
	*h = requestHead{allowUpgrade: h.allowUpgrade, framing: framing{chunkedOverrides: true}}
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, found := bytes.Cut(rest, []byte{' '})
	if !found || !isName(method) || !isTarget(target) {
		return malformed(requestLinePart, "is not a method, a target and a version", line)
	}
	if err := h.addVersion(version); err != nil {
		return err
	}
	return h.addTarget(method, target)
}

// addVersion adds a version (RFC 9112, section 2.3). Further minor versions count as HTTP/1.1.
func (h *requestHead) addVersion(version []byte) error {
	digits, ok := bytes.CutPrefix(version, protocolName)
	if !ok || len(version) != versionBytes || !isDigit(digits[0]) || digits[1] != '.' || !isDigit(digits[2]) {
		return malformed(requestLinePart, "has no version", version)
	}
	if digits[0] != '1' {
		return &MalformedError{Part: requestLinePart, Detail: "has a version that is not supported", Text: bytes.Clone(version), OtherVersion: true}
	}
	h.http11 = digits[2] != '0'
	return nil
}

// addTarget adds a target, which is a path, an absolute address or "*" (RFC 9112, section 3.2).
func (h *requestHead) addTarget(method, target []byte) error {
	if target[0] == '/' || string(target) == "*" && string(method) == "OPTIONS" {
		return nil
	}
	authority, path, found := SplitAddress(target)
	switch {
	case !found:
		return malformed(requestLinePart, "has a target that is neither a path nor an address", target)
	case !isHost(authority):
		return malformed(requestLinePart, "has an address without a valid host", target)
	}
	h.Authority, h.Path = authority, path
	return nil
}

// SplitAddress returns copies of the host and of the rest of a target that is an address with http or https. It
// returns false if the target is none.
func SplitAddress(target []byte) (authority, path []byte, ok bool) {
	scheme, rest, found := bytes.Cut(target, schemeEnd)
	if !found || !bytes.EqualFold(scheme, []byte("http")) && !bytes.EqualFold(scheme, []byte("https")) {
		return nil, nil, false
	}
	end := bytes.IndexAny(rest, "/?#")
	if end < 0 {
		end = len(rest)
	}
	authority, path = bytes.Clone(rest[:end]), rest[end:]
	if len(path) == 0 || path[0] != '/' {
		return authority, append([]byte{'/'}, path...), true
	}
	return authority, bytes.Clone(path), true
}

// addField implements head.
func (h *requestHead) addField(name, value []byte) error {
	switch {
	case isField(name, "Host"):
		if h.hasHost {
			return malformed(headPart, "repeats a field", name)
		}
		if len(value) > 0 && !isHost(value) {
			return malformed(headPart, "has a host that is not valid", name)
		}
		h.hasHost = true
	case isField(name, "Expect"):
		h.addExpectation(value)
	case isField(name, "Upgrade"):
		h.hasUpgrade = true
	case isField(name, "Connection"):
		for option := range bytes.SplitSeq(value, []byte{','}) {
			h.upgrades = h.upgrades || bytes.EqualFold(bytes.TrimSpace(option), []byte("upgrade"))
		}
	}
	return h.framing.addField(name, value)
}

// addExpectation adds a value of Expect (RFC 9110, section 10.1.1). HTTP/1.0 has none.
func (h *requestHead) addExpectation(value []byte) {
	switch {
	case !h.http11:
	case bytes.EqualFold(value, continueExpected):
		h.ExpectsContinue = true
	default:
		h.ExpectsOther = true
	}
}

// next implements head.
func (h *requestHead) next() (state, uint64, error) {
	switch {
	case h.http11 && !h.hasHost:
		return beforeHead, 0, malformed(headPart, "has no field Host", nil)
	case h.allowUpgrade && h.upgrades && h.hasUpgrade:
		return toEnd, 0, nil
	case h.chunked:
		return beforeChunk, 0, nil
	case h.length == 0:
		return beforeHead, 0, nil
	}
	return inBody, h.length, nil
}

// isName reports whether text is a token, as names of fields and methods are.
func isName(text []byte) bool {
	for _, c := range text {
		if !isNameByte(c) {
			return false
		}
	}
	return len(text) > 0
}

// isTarget reports whether text has neither blanks nor control bytes.
func isTarget(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(text) > 0
}

// isHost reports whether text may be a host and a port (RFC 3986, section 3.2). User information is not accepted.
func isHost(text []byte) bool { return isTarget(text) && !bytes.ContainsAny(text, "/?#@\\\"<>^`{|}") }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
