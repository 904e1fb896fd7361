package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/shallotspool/shallotspool/node/internal/logging"
)

// requestFields are as many as the last line of a request has.
func requestFields() []logging.Field {
	var out []logging.Field
	for i := range 15 {
		out = append(out, logging.Field{Key: fmt.Sprintf("key_%d", i), Value: "value-12.5"})
	}
	return out
}

// TestLinesOfOneEventAreBounded: a flood of one message leaves the other messages
// their lines, what is left out is counted, and its fields are not made.
func TestLinesOfOneEventAreBounded(t *testing.T) {
	var out bytes.Buffer
	l := logging.New(&out, logrus.InfoLevel)
	made := 0
	for range 1000 {
		l.Lazy(logging.InfoLevel, "request served", func() []logging.Field { made++; return nil })
	}
	l.Info("request failed", logging.Field{Key: "request", Value: "r1"})
	l.Close()
	text := out.String()
	if n := strings.Count(text, "request served"); n > 40 || made != n {
		t.Errorf("%d lines written, fields of %d made", n, made)
	}
	if !strings.Contains(text, "request=r1") {
		t.Errorf("the other message has no line")
	}
}

// BenchmarkLine is the processor time of a line that is written.
func BenchmarkLine(b *testing.B) {
	l := logging.New(io.Discard, logrus.InfoLevel)
	for i := range b.N {
		// A message of its own for each 16 lines keeps them within the bound.
		l.Lazy(logging.InfoLevel, fmt.Sprint("message ", i/16%400), requestFields)
	}
	l.Close()
}

// BenchmarkSuppressed is that of a line over the bound.
func BenchmarkSuppressed(b *testing.B) {
	l := logging.New(io.Discard, logrus.InfoLevel)
	for range b.N {
		l.Lazy(logging.InfoLevel, "request served", requestFields)
	}
	l.Close()
}
