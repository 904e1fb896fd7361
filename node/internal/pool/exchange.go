package pool

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a response that is received but rejected.
var (
	// ErrUnbounded means that the response states no length, so that its end
	// cannot be told from a broken connection.
	ErrUnbounded = errors.New("response has neither Content-Length nor chunked encoding")
	// ErrInterim means that too many 1xx responses precede the final one.
	ErrInterim = errors.New("too many 1xx responses")
	// ErrTooLarge means that the body exceeds Terms.MaxBody.
	ErrTooLarge = errors.New("response body is over the size limit")
	// ErrForeign means that too many responses to other requests
	// precede the one to this request.
	ErrForeign = errors.New("too many responses to other requests")
	// ErrProtocol means that the response is not HTTP/1.x.
	ErrProtocol = errors.New("response is not HTTP/1.x")
)

// maxUnmatched is the number of responses read in search of the one that
// belongs to the request.
const maxUnmatched = 4

// asyncSendBytes is the size of a request body above which the response is read
// while the body is still being sent. Smaller bodies fit in the socket buffers,
// so that sending them does not block.
const asyncSendBytes = 16 << 10

// maxInterim is the number of response headers read in search of one that is
// not 1xx.
const maxInterim = 8

// Terms determines which responses an exchange accepts.
type Terms struct {
	// MaxBody is the maximum size of a response body, in bytes.
	MaxBody int
	// ToEnd accepts a response without a length, whose body ends
	// when the target closes the connection.
	ToEnd bool
	// Own reports whether a response is the one to this request;
	// nil accepts any response.
	Own func(*fasthttp.ResponseHeader) bool
}

// Exchange sends a request and reads the complete response into resp. After an
// error the connection cannot be reused.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) error {
	return c.ExchangeOn(req, resp, Terms{MaxBody: maxBody})
}

// ExchangeOn is Exchange with options.
func (c *Conn) ExchangeOn(req *fasthttp.Request, resp *fasthttp.Response, opts Terms) error {
	resp.SkipBody = req.Header.IsHead()
	if len(req.Body()) <= asyncSendBytes {
		if err := c.send(req); err != nil {
			return err
		}
		return c.readMatching(resp, opts)
	}
	sendResult := make(chan error, 1)
	go func() { sendResult <- c.send(req) }()
	err := c.readMatching(resp, opts)
	select {
	case sendErr := <-sendResult:
		return errors.CombineErrors(err, sendErr)
	default:
	}
	// The response arrived before the whole body was sent. Close the connection,
	// as the rest of the body would be read as the next request.
	c.Spent = true
	_ = c.Close()
	<-sendResult
	return err
}

func (c *Conn) send(req *fasthttp.Request) error {
	if err := req.Write(c.Writer); err != nil {
		return errors.Wrap(err, "send request")
	}
	return errors.Wrap(c.Writer.Flush(), "send request")
}

// readMatching reads the response that belongs to this request. It skips late
// responses to earlier requests; the connection cannot be reused after one.
func (c *Conn) readMatching(resp *fasthttp.Response, opts Terms) error {
	for range maxUnmatched {
		if err := readComplete(c, resp, opts); err != nil {
			return err
		}
		if opts.Own == nil || opts.Own(&resp.Header) {
			return nil
		}
		c.Spent = true
		if resp.ConnectionClose() {
			break
		}
		skip := resp.SkipBody
		resp.Reset()
		resp.SkipBody = skip
	}
	return ErrForeign
}

// readComplete reads one response and fails if it may be truncated. Only a
// response without a length, which opts must allow, can end early unnoticed.
func readComplete(c *Conn, resp *fasthttp.Response, opts Terms) error {
	if err := readFinalHeader(c, resp); err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.SkipBody || hasNoBody(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < 0 && length != chunkedLength {
		if !opts.ToEnd {
			return ErrUnbounded
		}
		c.Spent = true
	}
	if err := resp.ReadBody(c.Reader, opts.MaxBody); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return ErrTooLarge
		}
		return errors.Wrap(err, "read response")
	}
	if length == chunkedLength {
		return errors.Wrap(resp.Header.ReadTrailer(c.Reader), "read response")
	}
	return nil
}

// chunkedLength is the value that fasthttp's ContentLength returns for a
// chunked body.
const chunkedLength = -1

// protocolPrefix is the start of every accepted status line.
var protocolPrefix = []byte("HTTP/1.")

// readFinalHeader reads response headers up to the first that is not interim.
// Status 101 is final: no other response follows it.
func readFinalHeader(c *Conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.Reader); err != nil {
			if err == io.EOF {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if !bytes.HasPrefix(resp.Header.Protocol(), protocolPrefix) {
			return ErrProtocol
		}
		status := resp.StatusCode()
		if status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return ErrInterim
}

func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
