package logging

import (
	"strconv"
	"sync"
	"time"
)

// The bounds of the lines that one event may cause.
const (
	perWindow    = 20
	windowLength = time.Second
	maxEvents    = 512
)

// window counts the lines of one event.
type window struct {
	began      time.Time
	written    int
	suppressed int
}

// limiter bounds the lines of each event.
type limiter struct {
	mu     sync.Mutex
	events map[string]*window
}

// allow reports whether a line may be written, and how many of its event were
// not since the last that was.
func (l *limiter) allow(now time.Time, event string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.events[event]
	if w == nil {
		if len(l.events) >= maxEvents {
			return 0, false
		}
		w = &window{began: now}
		l.events[event] = w
	}
	if now.Sub(w.began) >= windowLength {
		w.began, w.written = now, 0
	}
	if w.written >= perWindow {
		w.suppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

func count(key string, n int) Field { return Field{key, strconv.Itoa(n)} }
