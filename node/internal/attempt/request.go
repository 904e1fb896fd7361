package attempt

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/header"
)

// setRequest fills req with the caller's request, addressed to host.
func setRequest(req *fasthttp.Request, r *engine.Request, host string) {
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(r.Method)
	h.SetRequestURI(r.Path)
	header.ForEachField(r.Header, h.AddBytesKV)
	h.SetHost(host)
	if r.Key != "" {
		h.Set(header.Key, r.Key)
	}
	if r.Group != "" {
		h.Set(header.Group, r.Group)
	}
	req.SetBodyRaw(r.Body)
}

// setPeerHeader adds the header fields for the receiving node.
func setPeerHeader(req *fasthttp.Request, a *engine.SendCall) {
	h := &req.Header
	if a.Request.Service != "" {
		h.Set(header.Service, a.Request.Service)
	}
	h.Set(header.Send, header.FormatSend(a.Send))
	h.Set(header.Stage, header.FormatStage(a.Stage))
	h.Set(header.Class, strconv.Itoa(int(a.Class)))
	h.Set(header.RetryTokens, strconv.Itoa(a.RetryTokens))
	h.Set(header.Depth, strconv.Itoa(a.Depth))
	h.Set(header.Priority, strconv.Itoa(int(a.Priority)))
	h.Set(header.ReceiverStamp, header.FormatStamp(a.ReceiverStamp))
	if a.Rerun {
		h.Set(header.Rerun, "1")
	}
	setTimeoutField(req, a.Timeout)
}

// setTimeoutField sets the field with the time left until the deadline, in
// milliseconds. The minimum is 1, as receivers reject 0.
func setTimeoutField(req *fasthttp.Request, timeout time.Duration) {
	req.Header.Set(header.TimeoutMS, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
}

// readUpstreamReply converts an upstream's response to a reply. A status of 500
// or above is a failure of the upstream itself.
func readUpstreamReply(resp *fasthttp.Response) (engine.Reply, error) {
	outcome := engine.OutcomeAnswered
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		outcome = engine.OutcomeUpstreamError
	}
	return engine.Reply{Outcome: outcome, Response: copyResponse(resp)}, nil
}

// readPeerReply converts another node's response to a reply. The HTTP response
// is part of the reply only if it is an upstream's.
func readPeerReply(resp *fasthttp.Response) (engine.Reply, error) {
	reply, err := header.ReadReply(&resp.Header)
	if err != nil {
		return reply, err
	}
	if reply.Outcome == engine.OutcomeAnswered || reply.Outcome == engine.OutcomeUpstreamError {
		reply.Response = copyResponse(resp)
	}
	return reply, nil
}

// copyResponse copies a response out of buffers that are reused after the
// exchange.
func copyResponse(resp *fasthttp.Response) *engine.Response {
	return &engine.Response{
		Status: resp.StatusCode(), Header: header.ForwardedFields(&resp.Header), Body: bytes.Clone(resp.Body()),
	}
}
