package server

import (
	"github.com/valyala/fasthttp"
)

// KeyPath is the path at which callers get an idempotency key issued by the
// node. Unlike a key that the caller makes up, it can be used right after the
// node has started.
const KeyPath = "/shallot/key"

// issueKey responds to POST with a new idempotency key as JSON.
func (s *Server) issueKey(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBodyString(`{"key":"` + s.cfg.Loop.IssueKey() + "\"}\n")
}
