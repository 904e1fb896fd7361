package logging

import (
	"strconv"
	"sync"
	"time"
)

// The limits on log lines.
const (
	maxLinesPerWindow = 20
	windowLength      = time.Second
	// maxMessages is the number of different messages that are counted; further
	// ones are not logged.
	maxMessages = 512
)

// messageWindow counts the lines of one message in a time window.
type messageWindow struct {
	startedAt  time.Time
	written    int
	suppressed int
}

// limiter limits the rate of lines for each message.
type limiter struct {
	mu      sync.Mutex
	windows map[string]*messageWindow
}

// allow reports whether a line with this message may be written, and how many
// lines with it were suppressed since the last written one.
func (l *limiter) allow(now time.Time, message string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[message]
	if w == nil {
		if len(l.windows) >= maxMessages {
			return 0, false
		}
		w = &messageWindow{startedAt: now}
		l.windows[message] = w
	}
	if now.Sub(w.startedAt) >= windowLength {
		w.startedAt, w.written = now, 0
	}
	if w.written >= maxLinesPerWindow {
		w.suppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

// intField returns a field with a decimal number.
func intField(key string, n int) Field { return Field{key, strconv.Itoa(n)} }
