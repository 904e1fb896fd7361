package faults

import (
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
)

// oddEntries are registrations of another writer that name no upstream to use.
var oddEntries = []string{
	`{"service":"leaf","address":"127.20.200.1:","zone":"a","capacity_slots":5,"instance_state":"ready"}`,
	`{"service":"leaf","address":"127.20.200.1:99999","zone":"a","capacity_slots":5,"instance_state":"ready"}`,
	`{"service":"leaf","address":"127.20.200.1:80","zone":"a","capacity_slots":2000000000,"instance_state":"ready"}`,
	`{"service":"leaf","address":"127.20.200.1:80","zone":"a","capacity_slots":1e400,"instance_state":"ready"}`,
	`{"nested":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"\xff\xfe",
}

const (
	// largeEntries is the number of entries that largeEntryBytes makes too large for one page of
	// the store together.
	largeEntries    = 12
	largeEntryBytes = 900_000
)

// writeOddEntry writes an entry that names no upstream, and then a new table.
func (r *runner) writeOddEntry() (remove func()) {
	key := platform.RegistrationPrefix + "odd"
	r.store.Put(key, []byte(oddEntries[int(r.oddEntries.Add(1))%len(oddEntries)]))
	r.publishTable()
	return func() { r.store.Remove(key) }
}

// writeLargeEntries writes many large entries at once, and then a new table.
func (r *runner) writeLargeEntries() (remove func()) {
	key := func(i int) string { return fmt.Sprintf("%slarge-%d", platform.RegistrationPrefix, i) }
	for i := range largeEntries {
		r.store.Put(key(i), []byte(strings.Repeat("x", largeEntryBytes)))
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

// cutHead ends every second answer within its head and reports whether it did.
func (u *upstream) cutHead(ctx *fasthttp.RequestCtx, id string) bool {
	if !u.cutsHeads.Load() || u.requestCount.Add(1)%2 != 0 {
		return false
	}
	_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Le", platform.HeaderRequestID, id, platform.HeaderResponseStamp, u.id)
	_ = ctx.Conn().Close()
	return true
}
