package server

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/header"
	"github.com/shallotspool/shallotspool/node/internal/strictconn"
)

// errorBody is the JSON body of each error response that the node itself generates,
// as opposed to an upstream's response.
type errorBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Header is the name of a malformed header field, and Detail says what is
	// wrong with the field or the request.
	Header       string `json:"header,omitempty"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Reasons for rejecting a request before it reaches the engine.
const (
	reasonBadHeader     = "bad_header"
	reasonBadRequest    = "bad_request"
	reasonBodyTooLarge  = "body_too_large"
	reasonUnknownSender = "unknown_sender"
)

// writeReply writes the engine's reply to a call. If the caller is another node,
// the header also carries the fields that it reads with header.ReadReply.
func writeReply(ctx *fasthttp.RequestCtx, origin engine.Origin, r engine.Reply) {
	h := &ctx.Response.Header
	h.Set(header.Outcome, r.Outcome.String())
	if origin == engine.OriginPeer {
		header.WriteReply(h, r)
	} else if r.Reason != engine.ReasonNone {
		h.Set(header.Reason, r.Reason.String())
	}
	if r.Response != nil {
		writeUpstreamResponse(ctx, r.Response)
		return
	}
	if r.RetryAfter > 0 {
		h.Set(header.RetryAfter, strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	writeError(ctx, statusCode(r), errorBody{
		Outcome: r.Outcome.String(), Reason: r.Reason.String(), RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
}

// writeUpstreamResponse forwards an upstream's response.
func writeUpstreamResponse(ctx *fasthttp.RequestCtx, r *engine.Response) {
	ctx.Response.SetStatusCode(r.Status)
	header.ForEachField(r.Header, ctx.Response.Header.AddBytesKV)
	ctx.Response.SetBodyRaw(r.Body)
}

func writeError(ctx *fasthttp.RequestCtx, status int, e errorBody) {
	body, err := json.Marshal(e)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(append(body, '\n'))
}

// statusCode returns the HTTP status of a reply without an upstream's response.
func statusCode(r engine.Reply) int {
	switch r.Outcome {
	case engine.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	case engine.OutcomeBadRequest:
		return fasthttp.StatusBadRequest
	}
	if r.Reason == engine.ReasonDeadline {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// rejectHeader responds to a request with a malformed header field.
func rejectHeader(ctx *fasthttp.RequestCtx, err error) {
	e := errorBody{Outcome: engine.OutcomeBadRequest.String(), Reason: reasonBadHeader, Detail: err.Error()}
	var headerErr *header.Error
	if errors.As(err, &headerErr) {
		e.Header, e.Detail = headerErr.Header, headerErr.Detail
	}
	ctx.Response.Header.Set(header.Outcome, e.Outcome)
	writeError(ctx, fasthttp.StatusBadRequest, e)
}

// rejectRequest responds to a request that checkRequest rejected.
func rejectRequest(ctx *fasthttp.RequestCtx, reason, detail string) {
	e := errorBody{Outcome: engine.OutcomeBadRequest.String(), Reason: reason, Detail: detail}
	ctx.Response.Header.Set(header.Outcome, e.Outcome)
	writeError(ctx, fasthttp.StatusBadRequest, e)
}

// rejectExpectation responds to a request that expects anything but status 100.
func rejectExpectation(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(header.Outcome, engine.OutcomeBadRequest.String())
	writeError(ctx, fasthttp.StatusExpectationFailed, errorBody{
		Outcome: engine.OutcomeBadRequest.String(), Reason: reasonBadRequest, Detail: "the expectation is not supported",
	})
}

// handleReadError responds to a request that is not valid HTTP or exceeds a
// limit. fasthttp closes the connection afterwards.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, reasonBadRequest
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, reasonBodyTooLarge
	case errors.As(err, &bufferErr):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	default:
		status = malformedStatus(ctx)
	}
	ctx.Response.Header.Set(header.Outcome, engine.OutcomeBadRequest.String())
	writeError(ctx, status, errorBody{Outcome: engine.OutcomeBadRequest.String(), Reason: reason, Detail: s.readErrorDetail(status)})
}

// malformedStatus returns the status for a request that is not valid HTTP.
func malformedStatus(ctx *fasthttp.RequestCtx) int {
	conn, ok := ctx.Conn().(*strictconn.Conn)
	switch {
	case !ok || conn.Malformed() == nil:
	case conn.Malformed().FieldsTooLong():
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case conn.Malformed().OtherVersion:
		return fasthttp.StatusHTTPVersionNotSupported
	}
	return fasthttp.StatusBadRequest
}

// readErrorDetail describes a read error by its status. fasthttp's own error
// text is not used, as it quotes the bytes that the client sent.
func (s *Server) readErrorDetail(status int) string {
	switch status {
	case fasthttp.StatusRequestEntityTooLarge:
		return "the body is over the limit of this listener"
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		return "the header is over " + strconv.Itoa(headerLimit(s.cfg.Origin)) + " bytes"
	}
	return "the request cannot be read"
}
