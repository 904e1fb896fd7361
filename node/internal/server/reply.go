package server

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/header"
)

// refusal is the body of every answer that is not an upstream's.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Header and Detail tell what was wrong with a malformed request.
	Header       string `json:"header,omitempty"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// The reasons that the engine has no part in.
const (
	reasonHeader   = "bad_header"
	reasonRequest  = "bad_request"
	reasonBodySize = "body_too_large"
	reasonSender   = "unknown_sender"
)

// writeReply answers a call. Another node also gets what it needs to go on.
func writeReply(ctx *fasthttp.RequestCtx, origin engine.Origin, r engine.Reply) {
	h := &ctx.Response.Header
	h.Set(header.Outcome, r.Outcome.String())
	if origin == engine.OriginPeer {
		header.WriteReply(h, r)
	} else if r.Reason != engine.ReasonNone {
		h.Set(header.Reason, r.Reason.String())
	}
	if r.Answer != nil {
		writeAnswer(ctx, r.Answer)
		return
	}
	if r.RetryAfter > 0 {
		h.Set(header.RetryAfter, strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	writeRefusal(ctx, statusOf(r), refusal{
		Outcome: r.Outcome.String(), Reason: r.Reason.String(), RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
}

// writeAnswer passes an upstream's answer on.
func writeAnswer(ctx *fasthttp.RequestCtx, a *engine.Answer) {
	ctx.Response.SetStatusCode(a.Status)
	header.EachLine(a.Header, ctx.Response.Header.AddBytesKV)
	ctx.Response.SetBodyRaw(a.Body)
}

func writeRefusal(ctx *fasthttp.RequestCtx, status int, r refusal) {
	body, err := json.Marshal(r)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(append(body, '\n'))
}

// statusOf returns the status of a refusal.
func statusOf(r engine.Reply) int {
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

// badHeader refuses a request for one of its header lines.
func badHeader(ctx *fasthttp.RequestCtx, err error) {
	r := refusal{Outcome: engine.OutcomeBadRequest.String(), Reason: reasonHeader, Detail: err.Error()}
	var wrong *header.Error
	if errors.As(err, &wrong) {
		r.Header, r.Detail = wrong.Header, wrong.Detail
	}
	ctx.Response.Header.Set(header.Outcome, r.Outcome)
	writeRefusal(ctx, fasthttp.StatusBadRequest, r)
}

// refuseClient refuses a request that this listener does not take.
func refuseClient(ctx *fasthttp.RequestCtx, reason, detail string) {
	r := refusal{Outcome: engine.OutcomeBadRequest.String(), Reason: reason, Detail: detail}
	ctx.Response.Header.Set(header.Outcome, r.Outcome)
	writeRefusal(ctx, fasthttp.StatusBadRequest, r)
}

// unreadable answers what is not an HTTP request that this listener reads. The
// connection is closed after it.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, reasonRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, reasonBodySize
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Header.Set(header.Outcome, engine.OutcomeBadRequest.String())
	writeRefusal(ctx, status, refusal{Outcome: engine.OutcomeBadRequest.String(), Reason: reason, Detail: detailOf(status)})
}

// detailOf does not repeat the client's bytes.
func detailOf(status int) string {
	switch status {
	case fasthttp.StatusRequestEntityTooLarge:
		return "the body is over the limit of this listener"
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		return "the header is over " + strconv.Itoa(headerLimit) + " bytes"
	}
	return "the request cannot be read"
}
