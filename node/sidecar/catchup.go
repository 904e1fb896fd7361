package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

const (
	// statePath is where a node tells others what it knows from the store.
	statePath = "/shallot/state"
	// versionArg and revisionArg are what the asking node knows.
	versionArg  = "version"
	revisionArg = "revision"
	// catchUpInterval is how often a node without the store looks for one that
	// knows more: a few times within the second that callers wait.
	catchUpInterval = 300 * time.Millisecond
	// stateLimit is how long the other may take.
	stateLimit = time.Second
	// maxState bounds a state, in bytes: a table of a megabyte and as many
	// upstreams as are held.
	maxState = 8 << 20
)

// errState is a state that cannot be used.
var errState = errors.New("unusable state")

// catchUp asks another node for what the store does not tell.
func (s *Sidecar) catchUp() {
	s.mu.Lock()
	instance, behind := s.node.AskPeer(s.now())
	known := s.node.Known()
	s.mu.Unlock()
	if behind {
		s.catchUpFrom(instance, known)
	}
}

func (s *Sidecar) catchUpFrom(instance string, known mesh.Known) {
	state, err := s.fetchState(instance, known)
	if err != nil {
		s.log.Info("state not fetched", field("instance", instance), field("error", err))
		return
	}
	s.mu.Lock()
	changes := s.node.CatchUp(s.now(), state)
	s.mu.Unlock()
	if changes.Table != nil {
		s.log.Info("table in force", field("version", changes.Table.Version), field("routes", len(changes.Table.Routes)),
			field("revision", state.Revision), field("from", instance))
	}
	for _, u := range changes.Upstreams {
		s.logUpstream(u, instance)
	}
}

func (s *Sidecar) fetchState(instance string, known mesh.Known) (state mesh.State, err error) {
	p := s.peerPool(instance)
	conn, err := p.Get(dialLimit)
	if err != nil {
		return state, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.Address())
	var args fasthttp.Args
	args.SetUint(versionArg, int(known.Version))
	args.SetUint(revisionArg, int(known.Revision))
	req.Header.SetRequestURI(statePath + "?" + args.String())
	_ = conn.SetDeadline(time.Now().Add(stateLimit))
	if err := conn.ExchangeOn(req, resp, pool.Terms{MaxBody: maxState}); err != nil {
		p.Discard(conn)
		return state, err
	}
	p.Put(conn)
	if resp.StatusCode() != http.StatusOK {
		return state, errors.Mark(errors.Newf("status %d", resp.StatusCode()), errState)
	}
	if err := cbor.Unmarshal(resp.Body(), &state); err != nil {
		return state, errors.Mark(errors.Wrap(err, "read state"), errState)
	}
	if state.Table != nil {
		state.Table.Index()
	}
	return state, nil
}

// isStateRequest tells a node's question for the state from a request to run.
func isStateRequest(x *listener.Exchange) bool {
	h := &x.Request.Header
	return len(h.Peek(hopRank)) == 0 && bytes.HasPrefix(h.RequestURI(), []byte(statePath))
}

// serveState tells another node what this one knows from the store.
func (s *Sidecar) serveState(_ context.Context, x *listener.Exchange) {
	args := x.Request.URI().QueryArgs()
	version, err1 := args.GetUint(versionArg)
	revision, err2 := args.GetUint(revisionArg)
	if err1 != nil || err2 != nil {
		s.log.Warn("bad question from node", field("address", x.Remote), field("error", errors.CombineErrors(err1, err2)))
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	state := s.node.Snapshot(s.now(), mesh.Known{Version: route.Version(version), Revision: uint64(revision)})
	s.mu.Unlock()
	text, err := cbor.Marshal(state)
	if err != nil {
		s.log.Warn("state not told", field("error", err))
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.SetBodyRaw(text)
}
