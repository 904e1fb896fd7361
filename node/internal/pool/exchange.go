package pool

import (
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
)

const maxInterim = 8

// Exchange sends a request and reads the whole answer into resp, or fails; then
// the connection is of no further use.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) error {
	if err := req.Write(c.Writer); err != nil {
		return errors.Wrap(err, "send request")
	}
	if err := c.Writer.Flush(); err != nil {
		return errors.Wrap(err, "send request")
	}
	resp.SkipBody = req.Header.IsHead()
	return readWhole(c, resp, maxBody)
}

// readWhole reads an answer whose end is certain.
func readWhole(c *Conn, resp *fasthttp.Response, maxBody int) error {
	if err := readFinalHeader(c, resp); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.SkipBody || bodiless(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < 0 && length != chunked {
		return ErrUnbounded
	}
	if err := resp.ReadBody(c.Reader, maxBody); err != nil {
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

func readFinalHeader(c *Conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.Reader); err != nil {
			if err == io.EOF {
				return io.ErrUnexpectedEOF
			}
			return err
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
