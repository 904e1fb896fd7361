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

// ErrMalformedReply means that the internal header fields of another node's
// response are missing or malformed. Whether the call has run is then unknown.
var ErrMalformedReply = errors.New("malformed reply header")

// WriteReply sets the header fields of a reply to another node.
func WriteReply(h *fasthttp.ResponseHeader, r engine.Reply) {
	h.Set(Outcome, r.Outcome.String())
	h.Set(Reason, r.Reason.String())
	h.Set(RetryTokens, strconv.Itoa(r.RetryTokens))
	h.Set(Load, formatLoad(r.Load))
	h.Set(Stamp, FormatStamp(r.Stamp))
	if r.RetryAfter > 0 {
		h.Set(RetryAfterMS, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
}

// ReadReply parses the header fields that WriteReply sets. It does not set
// Reply.Response. The error is an ErrMalformedReply wrapped with the name of
// the field.
func ReadReply(h *fasthttp.ResponseHeader) (engine.Reply, error) {
	var r engine.Reply
	var ok bool
	if r.Outcome, ok = engine.ParseOutcome(string(h.Peek(Outcome))); !ok {
		return r, errors.Wrap(ErrMalformedReply, Outcome)
	}
	if r.Reason, ok = engine.ParseReason(string(h.Peek(Reason))); !ok {
		return r, errors.Wrap(ErrMalformedReply, Reason)
	}
	tokens, detail := parseNumber(string(h.Peek(RetryTokens)), 0, maxUint8)
	if detail != "" {
		return r, errors.Wrap(ErrMalformedReply, RetryTokens)
	}
	r.RetryTokens = int(tokens)
	if r.Load, ok = parseLoad(string(h.Peek(Load))); !ok {
		return r, errors.Wrap(ErrMalformedReply, Load)
	}
	if r.Stamp, ok = parseStamp(string(h.Peek(Stamp))); !ok {
		return r, errors.Wrap(ErrMalformedReply, Stamp)
	}
	if text := h.Peek(RetryAfterMS); len(text) > 0 {
		ms, detail := parseNumber(string(text), 0, maxTimeoutMS)
		if detail != "" {
			return r, errors.Wrap(ErrMalformedReply, RetryAfterMS)
		}
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r, nil
}

// formatLoad returns the value of Shallot-Load: IN_FLIGHT/LIMIT/LEVEL.
func formatLoad(l wire.Load) string {
	b := make([]byte, 0, 24)
	b = strconv.AppendUint(b, uint64(l.InFlight), 10)
	b = strconv.AppendUint(append(b, '/'), uint64(l.Limit), 10)
	return string(strconv.AppendUint(append(b, '/'), uint64(l.AdmissionLevel), 10))
}

func parseLoad(text string) (wire.Load, bool) {
	inFlight, rest, _ := strings.Cut(text, "/")
	limit, level, _ := strings.Cut(rest, "/")
	a, aDetail := parseNumber(inFlight, 0, math.MaxUint32)
	b, bDetail := parseNumber(limit, 0, math.MaxUint32)
	c, cDetail := parseNumber(level, 0, math.MaxUint16)
	return wire.Load{InFlight: uint32(a), Limit: uint32(b), AdmissionLevel: uint16(c)}, aDetail+bDetail+cDetail == ""
}
