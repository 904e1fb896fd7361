// Package http1 checks HTTP/1.1 requests and responses (RFC 9112) on their way from a connection to
// the code that interprets them. Nothing of a malformed head, chunk size or trailer gets past it.
package http1

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

// state says which part of a message comes next.
type state uint8

const (
	// beforeHead is also the state between two messages.
	beforeHead state = iota
	inBody
	beforeChunk
	inChunk
	afterChunk
	beforeTrailer
	// toEnd is the state of a body that ends with the connection, and of an upgraded one.
	toEnd
)

// head checks the heads of one kind of message.
type head interface {
	// kind and firstLinePart name the messages and their first line in errors.
	kind() string
	firstLinePart() string
	// expectStart fails as soon as the first bytes show that no message follows.
	expectStart(in *bufio.Reader) error
	// addFirstLine begins another head, and addField adds a field to it.
	addFirstLine(line []byte) error
	addField(name, value []byte) error
	// next returns what follows the head, and the length of a body of known length.
	next() (state, uint64, error)
	// passesTrailers reports whether the fields of trailers are passed on.
	passesTrailers() bool
}

// reader reads a series of messages and passes them on. A head, the line before a chunk and a trailer
// are passed on once they have been read whole and are well-formed.
//
// Its error is a *MalformedError, io.EOF between two messages or at the end of one without a
// length, io.ErrUnexpectedEOF elsewhere, or another one of the connection. After an error
// all reads fail with it.
type reader struct {
	in           *bufio.Reader
	head         head
	maxHeadBytes int

	state state
	// left is the number of bytes left of the body or of the chunk.
	left uint64
	// block holds the part that was read last, and pending what of it is still to be passed on.
	block, pending []byte
	err            error
}

func newReader(in io.Reader, head head, maxHeadBytes int) reader {
	return reader{in: bufio.NewReaderSize(in, readBufferBytes), head: head, maxHeadBytes: maxHeadBytes}
}

// Idle reports whether the last message has been read to its end, nothing follows it and no read
// has failed, so that the connection can carry another one.
func (r *reader) Idle() bool {
	return r.state == beforeHead && r.err == nil && len(r.pending) == 0 && r.in.Buffered() == 0
}

// Err returns the error with which all further reads fail, nil if there is none.
func (r *reader) Err() error { return r.err }

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
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
		if err := r.readPart(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// readBody reads bytes of a body, which are not checked.
func (r *reader) readBody(p []byte) (int, error) {
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

// readPart reads a part that is checked into r.pending. All further reads fail with its error.
func (r *reader) readPart() error {
	err := r.readPartBlock()
	if malformed, ok := err.(*MalformedError); ok {
		malformed.Kind = r.head.kind()
	}
	if r.err = err; err == nil {
		r.pending = r.block
	}
	return err
}

func (r *reader) readPartBlock() error {
	if cap(r.block) > maxKeptBytes {
		r.block = nil
	}
	r.block = r.block[:0]
	switch r.state {
	case beforeChunk:
		return r.readChunkSize()
	case afterChunk:
		return r.readChunkEnd()
	case beforeTrailer:
		return r.readTrailer()
	}
	return r.readHead()
}

func (r *reader) readHead() error {
	if err := r.head.expectStart(r.in); err != nil {
		return err
	}
	line, err := r.readLine(r.head.firstLinePart(), r.maxHeadBytes)
	if err != nil {
		return err
	}
	if err := r.head.addFirstLine(line); err != nil {
		return err
	}
	if err := r.readFields(headPart, r.head.addField); err != nil {
		return err
	}
	r.state, r.left, err = r.head.next()
	return err
}

// readFields reads field lines up to the empty one, and passes the fields to add.
func (r *reader) readFields(part string, add func(name, value []byte) error) error {
	for {
		line, err := r.readLine(part, r.maxHeadBytes)
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

func (r *reader) readTrailer() error {
	r.state = beforeHead
	err := r.readFields(trailerPart, func(_, _ []byte) error { return nil })
	if !r.head.passesTrailers() {
		r.block = append(r.block[:0], lineEnd...)
	}
	return err
}

func (r *reader) readChunkSize() error {
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

func (r *reader) readChunkEnd() error {
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
func (r *reader) readLine(part string, limit int) ([]byte, error) {
	start := len(r.block)
	for {
		piece, err := r.in.ReadSlice('\n')
		if len(r.block)+len(piece) > limit {
			return nil, &MalformedError{Part: part, Detail: "is too long", TooLong: true}
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
