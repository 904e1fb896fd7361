package faults

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
	"github.com/shallotspool/shallotspool/platform/standin"
)

// oddIP is the address in odd entries. No instance has it.
const oddIP = "127.20.200.1"

const (
	// largeEntries is the number of entries that largeEntryBytes makes too large for one page of
	// the store together.
	largeEntries    = 12
	largeEntryBytes = 900_000
)

// writeOddEntry writes an entry that names no upstream, and then a new table.
func (r *runner) writeOddEntry() (remove func()) {
	key := platform.RegistrationPrefix + "odd"
	entries := standin.UnusableEntries(oddIP, leafService)
	names := slices.Sorted(maps.Keys(entries))
	r.store.Put(key, entries[names[int(r.oddEntries.Add(1))%len(names)]])
	r.publishTable()
	return func() { r.store.Remove(key) }
}

// writeLargeEntries writes many large entries at once, and then a new table.
func (r *runner) writeLargeEntries() (remove func()) {
	key := func(i int) string { return fmt.Sprintf("%slarge-%d", platform.RegistrationPrefix, i) }
	for i := range largeEntries {
		r.store.Put(key(i), bytes.Repeat([]byte("x"), largeEntryBytes))
	}
	r.publishTable()
	return func() {
		for i := range largeEntries {
			r.store.Remove(key(i))
		}
	}
}

// repeatRefusal writes a refusal that names no request before the answer to a request that is not
// the first on its connection.
func (u *upstream) repeatRefusal(ctx *fasthttp.RequestCtx) {
	if u.repeatsRefusals.Load() && ctx.ConnRequestNum() > 1 {
		_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 503 Busy\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderNotExecuted)
	}
}

// malformedAnswers are answers that end within the head, or are malformed: the status line and what follows the
// fields that every answer has.
var malformedAnswers = [][2]string{
	{"HTTP/1.1 200 OK", "Content-Le"},
	{"HTTP/1.1 000 OK", "Content-Length: 6\r\n\r\nbroken"},
	{"HTTP/1.1 200 OK", "X A: b\r\nContent-Length: 6\r\n\r\nbroken"},
	{"HTTP/1.1 200 OK", "Content Length: 6\r\n\r\nbroken"},
	{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX A: b\r\n\r\n"},
}

// malformAnswer makes every second answer one of malformedAnswers and reports whether it did.
func (u *upstream) malformAnswer(ctx *fasthttp.RequestCtx, id string) bool {
	if !u.malformsAnswers.Load() {
		return false
	}
	count := int(u.requestCount.Add(1))
	if count%2 != 0 {
		return false
	}
	answer := malformedAnswers[count/2%len(malformedAnswers)]
	_, _ = fmt.Fprintf(ctx.Conn(), "%s\r\n%s: %s\r\n%s: %s\r\n%s", answer[0], platform.HeaderRequestID, id, platform.HeaderResponseStamp, u.id, answer[1])
	_ = ctx.Conn().Close()
	return true
}
