// Package response checks HTTP/1.1 responses (RFC 9112) on their way from a connection to the
// code that interprets them. Nothing of a malformed head, chunk size or trailer gets past it.
package response

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// readBufferBytes is the size of the buffer between the connection and the checks.
	readBufferBytes = 4 << 10
	// maxKeptBytes is the largest size of a block whose memory is used again.
	maxKeptBytes = 4 << 10
	// maxChunkLineBytes limits the line before a chunk.
	maxChunkLineBytes = 4 << 10
)

// state says which part of a response comes next.
type state uint8

const (
	// beforeHead is also the state between two responses.
	beforeHead state = iota
	inBody
	beforeChunk
	inChunk
	afterChunk
	beforeTrailer
	// toEnd is the state of a body that ends with the connection, and of an upgraded one.
	toEnd
)

// Options determine which responses a Reader accepts.
type Options struct {
	// MaxHeadBytes is the maximum size of a head, and that of a trailer, in bytes.
	MaxHeadBytes int
	// AllowUpgrade accepts status 101. All bytes after such a head are passed on unchecked.
	AllowUpgrade bool
}

// Reader reads a series of responses and passes them on unchanged. A head, the line before a
// chunk and a trailer are passed on once they have been read whole and are well-formed.
//
// Its error is a *MalformedError, io.EOF between two responses or at the end of one without a
// length, io.ErrUnexpectedEOF elsewhere, or another one of the connection. After an error
// all reads fail with it.
type Reader struct {
	in   *bufio.Reader
	opts Options
	// toHead means that the next response has no body, as its request is HEAD.
	toHead bool

	state state
	// left is the number of bytes left of the body or of the chunk.
	left uint64
	// block holds the part that was read last, and pending what of it is still to be passed on.
	block, pending []byte
	err            error
}

// NewReader returns a Reader of the responses in in.
func NewReader(in io.Reader, opts Options) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes), opts: opts}
}

// ExpectResponse announces the request to which the following responses belong: one with
// method HEAD, or another one.
func (r *Reader) ExpectResponse(toHead bool) { r.toHead = toHead }

// Idle reports whether the last response has been read to its end, nothing follows it and no read
// has failed, so that the connection can carry another request.
func (r *Reader) Idle() bool {
	return r.state == beforeHead && r.err == nil && len(r.pending) == 0 && r.in.Buffered() == 0
}

// Err returns the error with which all further reads fail, nil if there is none.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for len(r.pending) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		switch r.state {
		case inBody, inChunk, toEnd:
			return r.readBody(p)
		}
		if r.err = r.readPart(); r.err != nil {
			return 0, r.err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// readBody reads bytes of a body, which are not checked.
func (r *Reader) readBody(p []byte) (int, error) {
	if r.state == toEnd {
		n, err := r.in.Read(p)
		r.err = err
		return n, err
	}
	n, err := r.in.Read(p[:min(uint64(len(p)), r.left)])
	r.left -= uint64(n)
	if r.left > 0 {
		r.err = unexpectedEnd(err)
		return n, r.err
	}
	r.state = bodyEnd[r.state]
	return n, nil
}

// bodyEnd maps the state of reading a part of known length to the state after it.
var bodyEnd = map[state]state{inBody: beforeHead, inChunk: afterChunk}

// readPart reads a part that is checked into r.pending.
func (r *Reader) readPart() error {
	if cap(r.block) > maxKeptBytes {
		r.block = nil
	}
	r.block = r.block[:0]
	var err error
	switch r.state {
	case beforeHead:
		err = r.readHead()
	case beforeChunk:
		err = r.readChunkSize()
	case afterChunk:
		err = r.readChunkEnd()
	case beforeTrailer:
		err = r.readTrailer()
	}
	if err != nil {
		return err
	}
	r.pending = r.block
	return nil
}

func (r *Reader) readHead() error {
	if err := r.expectProtocol(); err != nil {
		return err
	}
	line, err := r.readLine(statusLinePart, r.opts.MaxHeadBytes)
	if err != nil {
		return err
	}
	f, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	if err := r.readFields(headPart, f.add); err != nil {
		return err
	}
	r.state, r.left, err = f.next(r.toHead, r.opts.AllowUpgrade)
	return err
}

// expectProtocol fails as soon as the first bytes show that no response follows.
func (r *Reader) expectProtocol() error {
	start, err := r.in.Peek(len(protocolPrefix))
	if !bytes.HasPrefix(protocolPrefix, start) {
		return malformed(statusLinePart, "does not start with HTTP/1.", start)
	}
	if len(start) > 0 {
		return unexpectedEnd(err)
	}
	return err
}

// readFields reads field lines up to the empty one, and passes the fields to add.
func (r *Reader) readFields(part string, add func(name, value []byte) error) error {
	for {
		line, err := r.readLine(part, r.opts.MaxHeadBytes)
		if err != nil || len(line) == 0 {
			return err
		}
		name, value, err := parseField(part, line)
		if err != nil {
			return err
		}
		if err := add(name, value); err != nil {
			return err
		}
	}
}

func (r *Reader) readTrailer() error {
	r.state = beforeHead
	return r.readFields(trailerPart, func(_, _ []byte) error { return nil })
}

func (r *Reader) readChunkSize() error {
	line, err := r.readLine(chunkSizePart, maxChunkLineBytes)
	if err != nil {
		return err
	}
	r.state = inChunk
	if r.left, err = parseChunkSize(line); r.left == 0 {
		r.state = beforeTrailer
	}
	return err
}

func (r *Reader) readChunkEnd() error {
	end, err := r.in.Peek(len(lineEnd))
	if !bytes.HasPrefix(lineEnd, end) {
		return malformed(chunkEndPart, "is not CRLF", end)
	}
	if err != nil {
		return unexpectedEnd(err)
	}
	r.block = append(r.block, end...)
	_, err = r.in.Discard(len(lineEnd))
	r.state = beforeChunk
	return err
}

// readLine reads a line of part, appends it to r.block, which may grow to limit, and returns it
// without its end.
func (r *Reader) readLine(part string, limit int) ([]byte, error) {
	start := len(r.block)
	for {
		piece, err := r.in.ReadSlice('\n')
		if len(r.block)+len(piece) > limit {
			return nil, malformed(part, "is too long", nil)
		}
		r.block = append(r.block, piece...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		line, ok := bytes.CutSuffix(r.block[start:], lineEnd)
		if !ok {
			return nil, malformed(part, "has a line that does not end with CRLF", nil)
		}
		return line, nil
	}
}

func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
