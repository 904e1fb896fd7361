package http1

import (
	"bufio"
	"bytes"
	"io"
)

// The statuses that decide what follows a head. minFinal is the lowest that is not interim.
const (
	minStatus          = 100
	switchingProtocols = 101
	minFinal           = 200
	noContent          = 204
	notModified        = 304
)

// statusDigits is the number of digits of a status.
const statusDigits = 3

var protocolPrefix = []byte("HTTP/1.")

// ResponseOptions determine which responses a ResponseReader accepts.
type ResponseOptions struct {
	// MaxHeadBytes is the maximum size of a head, and that of a trailer, in bytes.
	MaxHeadBytes int
	// AllowUpgrade accepts status 101. All bytes after such a head are passed on unchecked.
	AllowUpgrade bool
}

// ResponseReader reads a series of responses and passes them on unchanged; see reader for its errors.
type ResponseReader struct {
	reader
	response responseHead
}

// NewResponseReader returns a ResponseReader of the responses in in.
func NewResponseReader(in io.Reader, opts ResponseOptions) *ResponseReader {
	r := &ResponseReader{response: responseHead{allowUpgrade: opts.AllowUpgrade}}
	r.reader = newReader(in, &r.response, opts.MaxHeadBytes)
	return r
}

// ExpectResponse announces the request to which the following responses belong: one with
// method HEAD, or another one.
func (r *ResponseReader) ExpectResponse(toHead bool) { r.response.toHead = toHead }

// responseHead is the head of a response.
type responseHead struct {
	framing
	status int
	// toHead means that the next response has no body, as its request is HEAD.
	toHead, allowUpgrade bool
}

func (*responseHead) kind() string { return "response" }

func (*responseHead) firstLinePart() string { return statusLinePart }

func (*responseHead) passesTrailers() bool { return true }

func (*responseHead) expectStart(in *bufio.Reader) error {
	start, err := in.Peek(len(protocolPrefix))
	if !bytes.HasPrefix(protocolPrefix, start) {
		return malformed(statusLinePart, "does not start with HTTP/1.", start)
	}
	if len(start) > 0 {
		return unexpectedEnd(err)
	}
	return err
}

// addFirstLine implements head. The reason phrase of a status line and the blank before it may be missing.
func (h *responseHead) addFirstLine(line []byte) error {
	h.framing = framing{}
	fail := func(detail string) error { return malformed(statusLinePart, detail, line) }
	version, rest, _ := bytes.Cut(line, []byte{' '})
	switch string(version) {
	case "HTTP/1.1":
		h.http11 = true
	case "HTTP/1.0":
	default:
		return fail("has a version that is not supported")
	}
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	number, ok := parseDecimal(code, statusDigits)
	if !ok || len(code) != statusDigits || number < minStatus {
		return fail("has a status that is not 100 to 999")
	}
	if invalidValueByte(reason) >= 0 {
		return fail("has a control byte in the reason phrase")
	}
	h.status = int(number)
	return nil
}

// next implements head.
func (h *responseHead) next() (state, uint64, error) {
	switch {
	case h.status == switchingProtocols && !h.allowUpgrade:
		return beforeHead, 0, malformed(statusLinePart, "has status 101, which was not requested", nil)
	case h.status == switchingProtocols:
		return toEnd, 0, nil
	case h.status < minFinal, h.status == noContent, h.status == notModified, h.toHead:
		return beforeHead, 0, nil
	case h.chunked:
		return beforeChunk, 0, nil
	case !h.hasLength:
		return toEnd, 0, nil
	case h.length == 0:
		return beforeHead, 0, nil
	}
	return inBody, h.length, nil
}
