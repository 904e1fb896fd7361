package listener

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// received is what arrives on a connection: a read buffer that grows, and the count of the bytes
// taken out of it.
type received struct {
	*bufio.Reader
	counter *countingReader
}

func newReceived(in io.Reader) received { return newReceivedSize(in, bufferBytes) }

func newReceivedSize(in io.Reader, size int) received {
	counter := &countingReader{in: in}
	return received{bufio.NewReaderSize(counter, size), counter}
}

// taken returns the number of bytes taken out of the buffer since it was made.
func (r *received) taken() int64 { return r.counter.count - int64(r.Buffered()) }

// errFieldsTooLarge means that a header or a trailer exceeds its limit.
var errFieldsTooLarge = errors.New("header or trailer is over the size limit")

// readFields calls read, which reads a header or a trailer from the buffer. The buffer becomes
// larger, up to maxBytes, if they do not fit. The error is errFieldsTooLarge if they have more
// than maxBytes as the caller sent them, or that of read.
func (r *received) readFields(maxBytes int, read func(*bufio.Reader) error) error {
	for {
		start := r.taken()
		err := read(r.Reader)
		var small *fasthttp.ErrSmallBuffer
		switch {
		case err == nil && r.taken()-start > int64(maxBytes):
			return errFieldsTooLarge
		case !errors.As(err, &small):
			return err
		case r.Size() >= maxBytes:
			return errFieldsTooLarge
		}
		r.enlarge(maxBytes)
	}
}

// enlarge doubles the buffer, up to maxBytes. It keeps the bytes in it.
func (r *received) enlarge(maxBytes int) {
	buffered, _ := r.Peek(r.Buffered())
	unread := bytes.NewReader(bytes.Clone(buffered))
	*r = newReceivedSize(io.MultiReader(unread, r.counter.in), min(2*r.Size(), maxBytes))
}

// countingReader counts the bytes read from in.
type countingReader struct {
	in    io.Reader
	count int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.count += int64(n)
	return n, err
}
