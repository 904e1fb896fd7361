package concurrency

import "time"

// Closing bounds the requests of an upstream that will soon get no more.
type Closing struct {
	// LastStart is when the last request may start.
	LastStart time.Duration
	// End is when all must have ended, 0 if there is no such time.
	End time.Duration
}

// Allows reports whether a request that may take longest can start at now. A nil Closing allows
// all.
func (c *Closing) Allows(now, longest time.Duration) bool {
	return c == nil || now < c.LastStart && (c.End == 0 || now+longest <= c.End)
}

// SetClosing bounds the requests that start from now on, including those that wait. nil ends
// that.
func (l *Limiter) SetClosing(c *Closing) { l.closing = c }

// Closed reports whether no request starts any more because of SetClosing.
func (l *Limiter) Closed(now time.Duration) bool { return !l.closing.Allows(now, 0) }

// closesBefore reports whether r cannot start and end as SetClosing requires.
func (l *Limiter) closesBefore(now time.Duration, r *Request) bool {
	return !l.closing.Allows(now, r.LongestRunTime)
}
