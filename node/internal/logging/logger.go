// Package logging writes one line of key=value pairs for each event. Lines that
// a flood could cause are bounded in number, and writing never holds the engine
// up: what finds no room is counted and told with the next line.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// queueLines is the number of lines that may wait for the writer.
const queueLines = 1024

// The severities of lines.
const (
	InfoLevel = logrus.InfoLevel
	WarnLevel = logrus.WarnLevel
)

// Field is one key=value pair.
type Field struct{ Key, Value string }

type line struct {
	at      time.Time
	level   logrus.Level
	message string
	fields  []Field
}

// Logger writes lines; its methods may be called from any goroutine and never
// block.
type Logger struct {
	out     *logrus.Logger
	limit   limiter
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}

	// mu keeps Close from closing lines while a line is queued.
	mu     sync.RWMutex
	closed bool
}

// New returns a Logger that writes to out until Close. level is a logrus level
// name; fields go with every line.
func New(out io.Writer, level logrus.Level, fields ...Field) *Logger {
	l := &Logger{
		out: logrus.New(), limit: limiter{events: map[string]*window{}},
		lines: make(chan line, queueLines), done: make(chan struct{}),
	}
	l.out.SetOutput(out)
	l.out.SetLevel(level)
	l.out.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano,
	})
	go l.write(fields)
	return l
}

// Info logs an ordinary event.
func (l *Logger) Info(message string, fields ...Field) { l.Log(logrus.InfoLevel, message, fields) }

// Warn logs an event that an operator may have to look at.
func (l *Logger) Warn(message string, fields ...Field) { l.Log(logrus.WarnLevel, message, fields) }

// Error logs an event that an operator has to look at.
func (l *Logger) Error(message string, fields ...Field) { l.Log(logrus.ErrorLevel, message, fields) }

// Log logs an event at a level.
func (l *Logger) Log(level logrus.Level, message string, fields []Field) {
	l.Lazy(level, message, func() []Field { return fields })
}

// Lazy is Log for fields that are only made if the line is written.
func (l *Logger) Lazy(level logrus.Level, message string, make func() []Field) {
	now := time.Now()
	suppressed, ok := l.limit.allow(now, message)
	if !ok {
		return
	}
	fields := make()
	if suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], count("suppressed", suppressed))
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return
	}
	select {
	case l.lines <- line{now, level, message, fields}:
	default:
		l.dropped.Add(1)
	}
}

// Close writes what waits and ends the Logger; what is logged after it is
// dropped.
func (l *Logger) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	<-l.done
}

func (l *Logger) write(common []Field) {
	defer close(l.done)
	for next := range l.lines {
		entry := logrus.NewEntry(l.out).WithTime(next.at)
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
