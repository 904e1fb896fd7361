package pool

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrAmbiguousHead means that a head repeats a field that identifies a response: it stopped
// halfway and was continued by that of another response.
var ErrAmbiguousHead = errors.New("response repeats a field that identifies it")

// Match tells which request a response belongs to, by what it says itself.
type Match uint8

// The matches.
const (
	// MatchUnnamed means that the response names no request.
	MatchUnnamed Match = iota
	// MatchOwn means that it names the request that was sent.
	MatchOwn
	// MatchOther means that it names another one.
	MatchOther
	// MatchAmbiguous means that it names more than one.
	MatchAmbiguous
)

// MatchField returns a function that compares the field with a name, in which responses name
// their request, with the value for this request. Fields named in once must not be repeated.
func MatchField(name, want string, once ...string) func(*fasthttp.ResponseHeader) Match {
	return func(h *fasthttp.ResponseHeader) Match {
		for _, field := range once {
			if len(h.PeekAll(field)) > 1 {
				return MatchAmbiguous
			}
		}
		switch values := h.PeekAll(name); {
		case len(values) > 1:
			return MatchAmbiguous
		case len(values) == 0 || len(values[0]) == 0:
			return MatchUnnamed
		case string(values[0]) == want:
			return MatchOwn
		}
		return MatchOther
	}
}

// accepts reports whether a response is the one to the request that was sent last. Responses
// on a connection are told apart by what they name only: targets may repeat earlier ones at any
// time. One that names no request can only be the first one on its connection, which is not
// used again after it.
func (c *Conn) accepts(m Match) bool {
	switch m {
	case MatchOwn:
		return true
	case MatchUnnamed:
		first := !c.answered && !c.NotReusable
		c.NotReusable = true
		return first
	}
	c.NotReusable = true
	return false
}
