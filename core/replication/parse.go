package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/document"
)

// parseTimeout is how long the result of an asynchronous parse is awaited.
const parseTimeout = 5 * time.Second

// pendingParse is the one text being parsed asynchronously; hash is 0 if there
// is none.
type pendingParse struct {
	hash      uint64
	version   uint64
	startedAt time.Duration
}

// inProgress reports whether the text with that hash is being parsed.
func (p *pendingParse) inProgress(now time.Duration, hash uint64) bool {
	return p.hash == hash && p.hash != 0 && now-p.startedAt < parseTimeout
}

// includesVersion reports whether a text of that version or a later one is being
// parsed.
func (p *pendingParse) includesVersion(now time.Duration, version uint64) bool {
	return p.hash != 0 && p.version >= version && now-p.startedAt < parseTimeout
}

// HandleParsed handles the result of document.Parse for a text passed to
// Runtime.ParseAsync.
func (r *Replicator) HandleParsed(now time.Duration, version uint64, text []byte, doc *document.Document, err error) {
	r.now = max(r.now, now)
	hash := xxhash.Sum64(text)
	if r.parse.hash == hash {
		r.parse = pendingParse{}
	}
	// A text whose earlier parse was replaced or timed out is parsed a second time.
	if hash == r.hash || r.rejection.contains(hash) {
		return
	}
	r.handleParseResult(version, text, hash, doc, err)
}
