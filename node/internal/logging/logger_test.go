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

// manyFields returns as many fields as the log line of a served request has.
func manyFields() []logging.Field {
	var fields []logging.Field
	for i := range 15 {
		fields = append(fields, logging.Field{Key: fmt.Sprintf("key_%d", i), Value: "value-12.5"})
	}
	return fields
}

// TestRepeatedMessageIsRateLimited checks that a flood of one message is limited
// without suppressing other messages, and that the fields of suppressed lines are
// not built.
func TestRepeatedMessageIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	l := logging.New(&out, logrus.InfoLevel)
	built := 0
	for range 1000 {
		l.LogLazy(logging.InfoLevel, "request served", func() []logging.Field { built++; return nil })
	}
	l.Info("request failed", logging.Field{Key: "request", Value: "r1"})
	l.Close()
	text := out.String()
	// The loop may span two windows of 20 lines each.
	if n := strings.Count(text, "request served"); n > 40 || built != n {
		t.Errorf("%d lines written, fields built for %d; want at most 40 and as many", n, built)
	}
	if !strings.Contains(text, "request=r1") {
		t.Errorf("the other message was not written")
	}
}

// BenchmarkWrittenLine measures a line that is written.
func BenchmarkWrittenLine(b *testing.B) {
	l := logging.New(io.Discard, logrus.InfoLevel)
	for i := range b.N {
		// With a new message for every 16 lines, the first 6400 lines in a second are
		// within the rate limit.
		l.LogLazy(logging.InfoLevel, fmt.Sprint("message ", i/16%400), manyFields)
	}
	l.Close()
}

// BenchmarkSuppressedLine measures a line that the rate limit suppresses.
func BenchmarkSuppressedLine(b *testing.B) {
	l := logging.New(io.Discard, logrus.InfoLevel)
	for range b.N {
		l.LogLazy(logging.InfoLevel, "request served", manyFields)
	}
	l.Close()
}
