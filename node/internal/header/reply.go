package header

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// ErrReply is a peer's answer whose own header lines cannot be read; what
// became of the call is unknown.
var ErrReply = errors.New("malformed reply header")

// WriteReply sets the lines that another node reads.
func WriteReply(h *fasthttp.ResponseHeader, r engine.Reply) {
	h.Set(Outcome, r.Outcome.String())
	h.Set(Reason, r.Reason.String())
	h.Set(Budget, strconv.Itoa(r.Tokens))
	h.Set(Load, formatLoad(r.Load))
	h.Set(Stamp, FormatStamp(r.Stamp))
	if r.RetryAfter > 0 {
		h.Set(RetryAfterMS, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
}

// ReadReply reads the lines that WriteReply sets. Answer is left to the caller.
func ReadReply(h *fasthttp.ResponseHeader) (engine.Reply, error) {
	var r engine.Reply
	var known bool
	if r.Outcome, known = engine.OutcomeNamed(string(h.Peek(Outcome))); !known {
		return r, errors.Wrap(ErrReply, Outcome)
	}
	if r.Reason, known = engine.ReasonNamed(string(h.Peek(Reason))); !known {
		return r, errors.Wrap(ErrReply, Reason)
	}
	tokens, wrong := number(string(h.Peek(Budget)), 0, maxSmall)
	if wrong != "" {
		return r, errors.Wrap(ErrReply, Budget)
	}
	r.Tokens = int(tokens)
	if r.Load, known = parseLoad(string(h.Peek(Load))); !known {
		return r, errors.Wrap(ErrReply, Load)
	}
	if r.Stamp, known = parseStamp(string(h.Peek(Stamp))); !known {
		return r, errors.Wrap(ErrReply, Stamp)
	}
	if text := h.Peek(RetryAfterMS); len(text) > 0 {
		ms, wrong := number(string(text), 0, maxWait)
		if wrong != "" {
			return r, errors.Wrap(ErrReply, RetryAfterMS)
		}
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r, nil
}

// formatLoad writes IN_FLIGHT/LIMIT/LEVEL.
func formatLoad(l wire.Load) string {
	b := make([]byte, 0, 24)
	b = strconv.AppendUint(b, uint64(l.InFlight), 10)
	b = strconv.AppendUint(append(b, '/'), uint64(l.Limit), 10)
	return string(strconv.AppendUint(append(b, '/'), uint64(l.Level), 10))
}

func parseLoad(text string) (wire.Load, bool) {
	inFlight, rest, _ := strings.Cut(text, "/")
	limit, level, _ := strings.Cut(rest, "/")
	a, wrongA := number(inFlight, 0, math.MaxUint32)
	b, wrongB := number(limit, 0, math.MaxUint32)
	c, wrongC := number(level, 0, math.MaxUint16)
	return wire.Load{InFlight: uint32(a), Limit: uint32(b), Level: uint16(c)}, wrongA+wrongB+wrongC == ""
}
