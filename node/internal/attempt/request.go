package attempt

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/header"
)

// fill sets what the caller asked for.
func fill(req *fasthttp.Request, r *engine.Request, host string) {
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(r.Method)
	h.SetRequestURI(r.Path)
	header.EachLine(r.Header, h.AddBytesKV)
	h.SetHost(host)
	if r.Key != "" {
		h.Set(header.Key, r.Key)
	}
	if r.Group != "" {
		h.Set(header.Group, r.Group)
	}
	req.SetBodyRaw(r.Body)
}

// fillPeer adds what another node needs to know.
func fillPeer(req *fasthttp.Request, a *engine.SendCall) {
	h := &req.Header
	if a.Request.Service != "" {
		h.Set(header.Service, a.Request.Service)
	}
	h.Set(header.Send, header.FormatSend(a.Send))
	h.Set(header.Stage, header.FormatStage(a.Stage))
	h.Set(header.Class, strconv.Itoa(int(a.Class)))
	h.Set(header.Budget, strconv.Itoa(a.Tokens))
	h.Set(header.Depth, strconv.Itoa(a.Depth))
	h.Set(header.Priority, strconv.Itoa(int(a.Priority)))
	h.Set(header.Heard, header.FormatStamp(a.Heard))
	if a.Rerun {
		h.Set(header.Rerun, "1")
	}
	setWait(req, a.Wait)
}

// setWait tells what remains of the deadline, at least a millisecond.
func setWait(req *fasthttp.Request, wait time.Duration) {
	req.Header.Set(header.Wait, strconv.FormatInt(max(wait.Milliseconds(), 1), 10))
}

// readUpstream turns an upstream's answer into a reply. A status of 500 and
// above is the upstream's own failure.
func readUpstream(resp *fasthttp.Response) (engine.Reply, error) {
	outcome := engine.OutcomeAnswered
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		outcome = engine.OutcomeUpstreamError
	}
	return engine.Reply{Outcome: outcome, Answer: answerOf(resp)}, nil
}

// readPeer turns another node's answer into a reply.
func readPeer(resp *fasthttp.Response) (engine.Reply, error) {
	reply, err := header.ReadReply(&resp.Header)
	if err != nil {
		return reply, err
	}
	if reply.Outcome == engine.OutcomeAnswered || reply.Outcome == engine.OutcomeUpstreamError {
		reply.Answer = answerOf(resp)
	}
	return reply, nil
}

// answerOf copies an answer out of the connection's buffers.
func answerOf(resp *fasthttp.Response) *engine.Answer {
	return &engine.Answer{
		Status: resp.StatusCode(), Header: header.OfAnswer(&resp.Header), Body: bytes.Clone(resp.Body()),
	}
}
