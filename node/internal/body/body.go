// Package body reads the bodies of requests and responses into memory that is accounted for.
package body

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/node/internal/memory"
)

var (
	// ErrMalformedChunk means that a chunked body has no valid chunk size, or no line end
	// after a chunk.
	ErrMalformedChunk = errors.New("malformed chunk")
	// ErrTooLarge means that a body exceeds Reader.Max.
	ErrTooLarge = errors.New("body is over the size limit")
)

const (
	// freeBytes is the size up to which a body takes nothing from the lease.
	freeBytes = 16 << 10
	// sizedGrowth is the factor by which the buffer of a body of known length grows, up to that
	// length, and growth that of others. The buffer that it replaces is garbage.
	sizedGrowth, growth = 4, 2
)

// Reader reads one body into memory. The buffer grows with the bytes that arrive, not with the
// length that the sender states.
type Reader struct {
	In *bufio.Reader
	// Max is the maximum size of the body, in bytes.
	Max int
	// Lease is charged with the memory of the body, nil if that is not limited. A body waits
	// for memory until WaitUntil before its first byte is read, and fails with
	// memory.ErrExhausted.
	Lease     *memory.Lease
	WaitUntil time.Time

	body []byte
	// charged is set once Lease holds the whole body, and sized if its length is known.
	charged, sized bool
}

// ReadSized reads a body of a stated length.
func (b *Reader) ReadSized(length int) ([]byte, error) {
	if err := b.Reserve(length); err != nil {
		return nil, err
	}
	b.Max, b.sized = length, true
	return b.result(b.read(length))
}

// Reserve waits for the memory of a body of a stated length, which ReadSized takes then.
func (b *Reader) Reserve(length int) error {
	if length > b.Max {
		return ErrTooLarge
	}
	if length <= freeBytes || b.charged {
		return nil
	}
	b.charged = true
	return b.Lease.Wait(length, b.WaitUntil)
}

// ReadToEnd reads a body that ends with the connection.
func (b *Reader) ReadToEnd() ([]byte, error) { return b.result(b.readToEnd()) }

// ReadChunks reads a chunked body up to the last chunk, without the trailer.
func (b *Reader) ReadChunks() ([]byte, error) { return b.result(b.readChunks()) }

func (b *Reader) result(err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return b.body, nil
}

func (b *Reader) readToEnd() error {
	for {
		if len(b.body) == b.Max {
			return b.expectEnd()
		}
		if err := b.grow(len(b.body) + 1); err != nil {
			return err
		}
		n, err := b.In.Read(b.body[len(b.body):cap(b.body)])
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
func (b *Reader) expectEnd() error {
	_, err := b.In.Peek(1)
	switch {
	case err == nil:
		return ErrTooLarge
	case err == io.EOF:
		return nil
	}
	return err
}

func (b *Reader) readChunks() error {
	for {
		size, err := b.readChunkSize()
		if err != nil || size == 0 {
			return err
		}
		if size > b.Max-len(b.body) {
			return ErrTooLarge
		}
		if err := b.read(size); err != nil {
			return err
		}
		var end [2]byte
		if _, err := io.ReadFull(b.In, end[:]); err != nil {
			return unexpectedEnd(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return ErrMalformedChunk
		}
	}
}

// readChunkSize reads the line before a chunk and returns the size of the chunk. The line
// must fit into the read buffer; extensions are ignored.
func (b *Reader) readChunkSize() (int, error) {
	line, err := b.In.ReadSlice('\n')
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
func (b *Reader) read(n int) error {
	for end := len(b.body) + n; len(b.body) < end; {
		if err := b.grow(len(b.body) + 1); err != nil {
			return err
		}
		k, err := b.In.Read(b.body[len(b.body):min(cap(b.body), end)])
		b.body = b.body[:len(b.body)+k]
		if err != nil && len(b.body) < end {
			return unexpectedEnd(err)
		}
	}
	return nil
}

// grow makes room for size bytes in all. A buffer that holds nothing yet may wait for memory.
func (b *Reader) grow(size int) error {
	if size <= cap(b.body) {
		return nil
	}
	if size > b.Max {
		return ErrTooLarge
	}
	factor := growth
	if b.sized {
		factor = sizedGrowth
	}
	capacity := min(max(size, factor*cap(b.body), freeBytes), b.Max)
	if capacity > freeBytes && !b.charged {
		if err := b.Lease.Wait(capacity-b.charge(), b.WaitUntil); err != nil {
			return err
		}
	}
	grown := make([]byte, len(b.body), capacity)
	copy(grown, b.body)
	b.body = grown
	return nil
}

// charge returns what the lease holds for the buffer.
func (b *Reader) charge() int {
	if cap(b.body) <= freeBytes {
		return 0
	}
	return cap(b.body)
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
