package pool

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// The errors of an answer that is not passed on.
var (
	// ErrUnbounded is an answer whose end cannot be told from a broken
	// connection.
	ErrUnbounded = errors.New("answer has neither Content-Length nor chunks")
	// ErrInterim is too many 1xx answers before the final one.
	ErrInterim = errors.New("too many interim answers")
	// ErrTooLarge is an answer with a body over the limit.
	ErrTooLarge = errors.New("answer is too large")
	// ErrForeign is too many answers to other requests before the own one.
	ErrForeign = errors.New("too many answers to other requests")
	// ErrProtocol is an answer that is not HTTP/1.
	ErrProtocol = errors.New("answer is not HTTP/1")
)

// maxForeign bounds the answers to other requests that are passed over.
const maxForeign = 4

// asyncBody is the size of a request body, in bytes, from which the answer is
// awaited while the body is still being sent: less fits in the socket buffers.
const asyncBody = 16 << 10

const maxInterim = 8

// Terms say which answers an exchange accepts.
type Terms struct {
	// MaxBody is the size of the largest answer, in bytes.
	MaxBody int
	// ToEnd accepts an answer without a length that ends with its connection.
	ToEnd bool
	// Own tells the answer to this request from others; nil takes any.
	Own func(*fasthttp.ResponseHeader) bool
}

// Exchange sends a request and reads the whole answer into resp, or fails; then
// the connection is of no further use.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) error {
	return c.ExchangeOn(req, resp, Terms{MaxBody: maxBody})
}

// ExchangeOn is Exchange on the given terms.
func (c *Conn) ExchangeOn(req *fasthttp.Request, resp *fasthttp.Response, t Terms) error {
	resp.SkipBody = req.Header.IsHead()
	if len(req.Body()) <= asyncBody {
		if err := c.send(req); err != nil {
			return err
		}
		return c.readOwn(resp, t)
	}
	sent := make(chan error, 1)
	go func() { sent <- c.send(req) }()
	err := c.readOwn(resp, t)
	select {
	case failed := <-sent:
		return errors.CombineErrors(err, failed)
	default:
	}
	// The answer came before the whole body was read; what is left of the body
	// must not be taken for the next request.
	c.Spent = true
	_ = c.Close()
	<-sent
	return err
}

func (c *Conn) send(req *fasthttp.Request) error {
	if err := req.Write(c.Writer); err != nil {
		return errors.Wrap(err, "send request")
	}
	return errors.Wrap(c.Writer.Flush(), "send request")
}

// readOwn reads the answer to this request; late answers to earlier ones are
// passed over and leave the connection spent.
func (c *Conn) readOwn(resp *fasthttp.Response, t Terms) error {
	for range maxForeign {
		if err := readWhole(c, resp, t); err != nil {
			return err
		}
		if t.Own == nil || t.Own(&resp.Header) {
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

// readWhole reads an answer whose end is certain.
func readWhole(c *Conn, resp *fasthttp.Response, t Terms) error {
	if err := readFinalHeader(c, resp); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.SkipBody || bodiless(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < 0 && length != chunked {
		if !t.ToEnd {
			return ErrUnbounded
		}
		c.Spent = true
	}
	if err := resp.ReadBody(c.Reader, t.MaxBody); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return ErrTooLarge
		}
		return errors.Wrap(err, "read answer")
	}
	if length == chunked {
		return errors.Wrap(resp.Header.ReadTrailer(c.Reader), "read answer")
	}
	return nil
}

// chunked is what fasthttp says of the length of a chunked body.
const chunked = -1

// httpOne begins the status line of every answer.
var httpOne = []byte("HTTP/1.")

func readFinalHeader(c *Conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.Reader); err != nil {
			if err == io.EOF {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if !bytes.HasPrefix(resp.Header.Protocol(), httpOne) {
			return ErrProtocol
		}
		status := resp.StatusCode()
		if status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return ErrInterim
}

func bodiless(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
