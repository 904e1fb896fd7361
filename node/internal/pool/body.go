package pool

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/memory"
)

// ErrMalformedChunk means that a chunked body has no valid chunk size, or no line end after a
// chunk.
var ErrMalformedChunk = errors.New("malformed chunk")

const (
	// freeBodyBytes is the size up to which a body takes nothing from the lease.
	freeBodyBytes = 16 << 10
	// minBodyGrowth is the least by which the buffer of a body grows.
	minBodyGrowth = 16 << 10
)

// bodyReader reads one body into memory. The buffer grows with the bytes that arrive, not
// with the length that the target states.
type bodyReader struct {
	in    *bufio.Reader
	max   int
	lease *memory.Lease
	body  []byte
}

// readBody reads the body of resp whole.
func readBody(c *Conn, resp *fasthttp.Response, opts ExchangeOptions) error {
	b := &bodyReader{in: c.Reader, max: opts.MaxBodyBytes, lease: opts.Lease}
	var err error
	switch length := resp.Header.ContentLength(); {
	case length >= 0:
		err = b.readSized(length, opts.WaitUntil)
	case length == chunkedLength:
		err = b.readChunks()
	default:
		err = b.readToEnd()
	}
	if err != nil {
		return err
	}
	resp.SetBodyRaw(b.body)
	return nil
}

// readSized reads a body of a stated length. It waits for the memory before it reads.
func (b *bodyReader) readSized(length int, until time.Time) error {
	if length > b.max {
		return ErrTooLarge
	}
	if length > freeBodyBytes && b.lease != nil {
		if err := b.lease.Wait(length, until); err != nil {
			return err
		}
		b.lease = nil
	}
	return b.read(length)
}

// readToEnd reads a body that ends with the connection.
func (b *bodyReader) readToEnd() error {
	for {
		if len(b.body) == b.max {
			return b.expectEnd()
		}
		if err := b.grow(len(b.body) + 1); err != nil {
			return err
		}
		n, err := b.in.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// expectEnd checks that a body that has reached its maximum size ends there.
func (b *bodyReader) expectEnd() error {
	_, err := b.in.Peek(1)
	switch {
	case err == nil:
		return ErrTooLarge
	case err == io.EOF:
		return nil
	}
	return err
}

// readChunks reads a chunked body up to the last chunk, without the trailer.
func (b *bodyReader) readChunks() error {
	for {
		size, err := b.readChunkSize()
		if err != nil || size == 0 {
			return err
		}
		if size > b.max-len(b.body) {
			return ErrTooLarge
		}
		if err := b.read(size); err != nil {
			return err
		}
		var end [2]byte
		if _, err := io.ReadFull(b.in, end[:]); err != nil {
			return unexpectedEnd(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return ErrMalformedChunk
		}
	}
}

// readChunkSize reads the line before a chunk and returns the size of the chunk. The line
// must fit into the read buffer; extensions are ignored.
func (b *bodyReader) readChunkSize() (int, error) {
	line, err := b.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, ErrMalformedChunk
	}
	if err != nil {
		return 0, unexpectedEnd(err)
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil {
		return 0, ErrMalformedChunk
	}
	return int(size), nil
}

// read reads n more bytes.
func (b *bodyReader) read(n int) error {
	for end := len(b.body) + n; len(b.body) < end; {
		if err := b.grow(len(b.body) + 1); err != nil {
			return err
		}
		k, err := b.in.Read(b.body[len(b.body):min(cap(b.body), end)])
		b.body = b.body[:len(b.body)+k]
		if err != nil && len(b.body) < end {
			return unexpectedEnd(err)
		}
	}
	return nil
}

// grow makes room for size bytes in all.
func (b *bodyReader) grow(size int) error {
	if size <= cap(b.body) {
		return nil
	}
	if size > b.max {
		return ErrTooLarge
	}
	capacity := min(max(size, 2*cap(b.body), minBodyGrowth), b.max)
	if capacity > freeBodyBytes {
		if err := b.lease.Grow(capacity - cap(b.body)); err != nil {
			return err
		}
	}
	grown := make([]byte, len(b.body), capacity)
	copy(grown, b.body)
	b.body = grown
	return nil
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
