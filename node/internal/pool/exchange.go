package pool

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/body"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

// Errors of a response that is received but rejected.
var (
	// ErrUnknownLength means that the response states no length, so that its end
	// cannot be told from a broken connection.
	ErrUnknownLength = errors.New("response has neither Content-Length nor chunked encoding")
	// ErrTooManyInterim means that too many 1xx responses precede the final one.
	ErrTooManyInterim = errors.New("too many 1xx responses")
	// ErrTooLarge means that the body exceeds ExchangeOptions.MaxBodyBytes.
	ErrTooLarge = body.ErrTooLarge
	// ErrTooManyUnmatched means that too many responses to other requests
	// precede the one to this request, or that one of them ends the connection.
	ErrTooManyUnmatched = errors.New("too many responses to other requests")
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

// ExchangeOptions determines which responses an exchange accepts.
type ExchangeOptions struct {
	// MaxBodyBytes is the maximum size of a response body, in bytes.
	MaxBodyBytes int
	// Lease is charged with the memory of the body, nil if that is not limited in total.
	// It waits for memory until WaitUntil before the body is read; see body.Reader.
	Lease     *memory.Lease
	WaitUntil time.Time
	// AllowUnknownLength accepts a response without a length, whose body ends
	// when the target closes the connection.
	AllowUnknownLength bool
	// Match tells which request a response belongs to; nil accepts any response. See
	// MatchField.
	Match func(*fasthttp.ResponseHeader) Match
}

// Exchange sends a request and reads the complete response into resp. After an
// error the connection cannot be reused.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) error {
	return c.ExchangeWithOptions(req, resp, ExchangeOptions{MaxBodyBytes: maxBody})
}

// ExchangeWithOptions is Exchange with options. A malformed response is a *response.MalformedError.
func (c *Conn) ExchangeWithOptions(req *fasthttp.Request, resp *fasthttp.Response, opts ExchangeOptions) error {
	resp.SkipBody = req.Header.IsHead()
	c.responses.ExpectResponse(resp.SkipBody)
	if len(req.Body()) <= asyncSendBytes {
		if err := c.send(req); err != nil {
			return err
		}
		return c.socketError(c.readMatching(resp, opts))
	}
	sendResult := make(chan error, 1)
	go func() { sendResult <- c.send(req) }()
	err := c.socketError(c.readMatching(resp, opts))
	select {
	case sendErr := <-sendResult:
		return errors.CombineErrors(err, sendErr)
	default:
	}
	// The response was read, or failed, before the whole body was sent. Close the
	// connection, as the rest of the body would be read as the next request.
	c.NotReusable = true
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

// readMatching reads the response that belongs to this request. It skips responses
// to other requests; the connection cannot be reused after one.
func (c *Conn) readMatching(resp *fasthttp.Response, opts ExchangeOptions) error {
	for range maxUnmatched {
		if err := readComplete(c, resp, opts); err != nil {
			return err
		}
		match := MatchOwn
		if opts.Match != nil {
			match = opts.Match(&resp.Header)
		}
		if match == MatchAmbiguous {
			return ErrAmbiguousHead
		}
		if c.accepts(match) {
			c.answered = true
			return nil
		}
		if resp.ConnectionClose() {
			break
		}
		skip := resp.SkipBody
		resp.Reset()
		opts.Lease.Release()
		resp.SkipBody = skip
	}
	return ErrTooManyUnmatched
}

// readComplete reads one response and fails if it is truncated. Truncation goes
// unnoticed only in a response without a length, if opts allows one.
func readComplete(c *Conn, resp *fasthttp.Response, opts ExchangeOptions) error {
	if err := readFinalHeader(c, resp); err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.SkipBody || hasNoBody(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < 0 && length != chunkedLength {
		if !opts.AllowUnknownLength {
			return ErrUnknownLength
		}
		c.NotReusable = true
	}
	if err := readBody(c, resp, opts); err != nil {
		return errors.Wrap(err, "read response")
	}
	if length == chunkedLength {
		return errors.Wrap(skipTrailer(c), "read response")
	}
	return nil
}

// skipTrailer reads the trailer after a chunked body. Its fields are none of the head (RFC 9110,
// section 6.5.1).
func skipTrailer(c *Conn) error {
	var trailer fasthttp.ResponseHeader
	return trailer.ReadTrailer(c.Reader)
}

// readBody reads the body of resp whole.
func readBody(c *Conn, resp *fasthttp.Response, opts ExchangeOptions) error {
	reader := &body.Reader{In: c.Reader, Max: opts.MaxBodyBytes, Lease: opts.Lease, WaitUntil: opts.WaitUntil}
	var read []byte
	var err error
	switch length := resp.Header.ContentLength(); {
	case length >= 0:
		read, err = reader.ReadSized(length)
	case length == chunkedLength:
		read, err = reader.ReadChunks()
	default:
		read, err = reader.ReadToEnd()
	}
	if err != nil {
		return err
	}
	resp.SetBodyRaw(read)
	return nil
}

// chunkedLength is the value that fasthttp's ContentLength returns for a
// chunked body.
const chunkedLength = -1

// readFinalHeader reads response headers up to the first that is not interim.
func readFinalHeader(c *Conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.Reader); err != nil {
			if err == io.EOF {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrTooManyInterim
}

func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
