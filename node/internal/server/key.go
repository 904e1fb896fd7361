package server

import (
	"github.com/valyala/fasthttp"
)

// KeyPath is where callers get a key that the node owns: unlike a key of their
// own, it can be used at once after the node started.
const KeyPath = "/shallot/key"

// issueKey answers POST with a new key as JSON.
func (s *Server) issueKey(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBodyString(`{"key":"` + s.cfg.Loop.IssueKey() + "\"}\n")
}
