// Package logging writes one line of key=value pairs for each event. The rate of
// lines with the same message is limited. Logging never blocks the caller: a line
// that does not fit into the queue is dropped, and the number of dropped lines is
// added to the next written line.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// maxQueuedLines is the number of lines that may wait to be written.
const maxQueuedLines = 1024

// Levels for Log and LogLazy, which accept any other level of logrus as well.
const (
	InfoLevel = logrus.InfoLevel
	WarnLevel = logrus.WarnLevel
)

// Field is one key=value pair.
type Field struct{ Key, Value string }

// logLine is a line that waits to be written.
type logLine struct {
	time    time.Time
	level   logrus.Level
	message string
	fields  []Field
}

// Logger writes log lines. Its methods may be called from any goroutine; all of
// them but Close return without blocking.
type Logger struct {
	backend *logrus.Logger
	limiter limiter
	queue   chan logLine
	dropped atomic.Int64
	done    chan struct{}

	// mu prevents Close from closing queue while a line is being added to it.
	mu     sync.RWMutex
	closed bool
}

// New returns a Logger that writes lines of at least the given level to out until
// Close is called. The fields are added to every line.
func New(out io.Writer, level logrus.Level, fields ...Field) *Logger {
	l := &Logger{
		backend: logrus.New(), limiter: limiter{windows: map[string]*messageWindow{}},
		queue: make(chan logLine, maxQueuedLines), done: make(chan struct{}),
	}
	l.backend.SetOutput(out)
	l.backend.SetLevel(level)
	l.backend.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano,
	})
	go l.writeLoop(fields)
	return l
}

// Info logs a normal event.
func (l *Logger) Info(message string, fields ...Field) { l.Log(logrus.InfoLevel, message, fields) }

// Warn logs an event that may need the attention of an operator.
func (l *Logger) Warn(message string, fields ...Field) { l.Log(logrus.WarnLevel, message, fields) }

// Error logs an event that needs the attention of an operator.
func (l *Logger) Error(message string, fields ...Field) { l.Log(logrus.ErrorLevel, message, fields) }

// Log logs an event at the given level.
func (l *Logger) Log(level logrus.Level, message string, fields []Field) {
	l.LogLazy(level, message, func() []Field { return fields })
}

// LogLazy logs an event like Log, but calls buildFields only if the rate limit
// allows the line.
func (l *Logger) LogLazy(level logrus.Level, message string, buildFields func() []Field) {
	now := time.Now()
	suppressed, ok := l.limiter.allow(now, message)
	if !ok {
		return
	}
	fields := buildFields()
	if suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], intField("suppressed", suppressed))
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return
	}
	select {
	case l.queue <- logLine{now, level, message, fields}:
	default:
		l.dropped.Add(1)
	}
}

// Close writes the queued lines and stops the Logger. Lines that are logged
// afterwards are discarded.
func (l *Logger) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

// writeLoop writes queued lines, with the common fields, until the queue is
// closed.
func (l *Logger) writeLoop(common []Field) {
	defer close(l.done)
	for next := range l.queue {
		entry := logrus.NewEntry(l.backend).WithTime(next.time)
		for _, f := range common {
			entry.Data[f.Key] = f.Value
		}
		for _, f := range next.fields {
			entry.Data[f.Key] = f.Value
		}
		if n := l.dropped.Swap(0); n > 0 {
			entry.Data["lines_dropped"] = n
		}
		entry.Log(next.level, next.message)
	}
}
