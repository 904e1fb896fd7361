package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/document"
)

// checkAgain is how long a text may take to be parsed before it is given up.
const checkAgain = 5 * time.Second

// checking is the one text that is being parsed elsewhere.
type checking struct {
	hash    uint64
	version uint64
	at      time.Duration
}

// open tells whether the text of that hash is being parsed.
func (c *checking) open(now time.Duration, hash uint64) bool {
	return c.hash == hash && c.hash != 0 && now-c.at < checkAgain
}

// covers tells whether a text of that version or a later one is being parsed.
func (c *checking) covers(now time.Duration, version uint64) bool {
	return c.hash != 0 && c.version >= version && now-c.at < checkAgain
}

// Checked takes the result of document.Parse for a text that Check was given.
func (s *Spread) Checked(now time.Duration, version uint64, text []byte, doc *document.Document, err error) {
	s.now = max(s.now, now)
	hash := xxhash.Sum64(text)
	if s.check.hash == hash {
		s.check = checking{}
	}
	if hash == s.hash || s.refused.knows(hash) {
		return
	}
	s.judge(version, text, hash, doc, err)
}
