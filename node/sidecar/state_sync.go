package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

const (
	// statePath is the path at which a node serves its copy of the store's state to
	// other nodes.
	statePath = "/shallot/state"
	// versionParam, eraParam and revisionParam are the query parameters with the table
	// version and the position of the store that the requesting node already has.
	versionParam  = "version"
	eraParam      = "era"
	revisionParam = "revision"
	// stateSyncInterval is how often a node that does not read the store looks for a
	// node with newer state. It allows several tries within the one second that callers
	// wait.
	stateSyncInterval = 300 * time.Millisecond
	// stateTimeout limits the time to fetch the state from another node.
	stateTimeout = time.Second
	// maxStateBytes limits the size of an encoded state. All registrations and removals that
	// a node may know, and the largest table that the store holds, fit into it.
	maxStateBytes = 40 << 20
)

// The counters of states that could not be fetched, and of values that were refused.
const (
	stateFetchFailuresName = "shallot_state_fetch_failures_total"
	invalidValuesName      = "shallot_invalid_values_total"
)

// errInvalidState marks a response that contains no usable state.
var errInvalidState = errors.New("invalid state")

// syncState fetches the store's state from another node if that node's is newer and the
// store does not answer this node or is left to others.
func (s *Sidecar) syncState() {
	s.mu.Lock()
	instance, ok := s.node.NewerPeer(s.now())
	known := s.node.StoreVersion()
	s.mu.Unlock()
	if !ok {
		return
	}
	if err := s.syncStateFrom(instance, known); err != nil {
		s.log.Info("fetching state from node failed", field("instance", instance), field("error", err))
		s.metrics.AddToCounter(stateFetchFailuresName, 1)
		s.mu.Lock()
		s.node.StateFetchFailed(s.now(), instance)
		s.mu.Unlock()
	}
}

// syncStateFrom takes over the state of the node at instance, as far as it is newer than known.
// It leaves out values that are invalid. Its error is marked with errInvalidState if one of
// these is the table.
func (s *Sidecar) syncStateFrom(instance string, known mesh.StoreVersion) error {
	state, invalid, err := s.fetchState(instance, known)
	if err != nil {
		return err
	}
	s.metrics.AddToCounter(invalidValuesName, int64(len(invalid)))
	for _, err := range invalid {
		s.log.Warn("invalid value in state of node", field("instance", instance), field("error", err))
	}
	s.mu.Lock()
	changes := s.node.ApplyState(s.now(), state)
	s.mu.Unlock()
	if changes.Table != nil {
		s.log.Info("table in force", field("version", changes.Table.Version), field("routes", len(changes.Table.Routes)),
			field("revision", state.Revision), field("from", instance))
	}
	for _, u := range changes.Upstreams {
		s.logUpstream(u, instance)
	}
	for _, err := range invalid {
		if errors.Is(err, route.ErrInvalidTable) {
			return errors.Mark(err, errInvalidState)
		}
	}
	return nil
}

// fetchState requests the state that the node at instance has beyond known; see decodeState.
func (s *Sidecar) fetchState(instance string, known mesh.StoreVersion) (state mesh.StoreState, invalid []error, err error) {
	p := s.peerPool(instance)
	// An idle connection may have gone silent, and a change must not wait until that shows.
	conn, err := p.Dial(dialTimeout)
	if err != nil {
		return state, nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.Address())
	var args fasthttp.Args
	for name, number := range map[string]uint64{
		versionParam: uint64(known.Version), eraParam: known.Position.Era, revisionParam: known.Position.Revision,
	} {
		args.Set(name, strconv.FormatUint(number, 10))
	}
	req.Header.SetRequestURI(statePath + "?" + args.String())
	_ = conn.SetDeadline(time.Now().Add(stateTimeout))
	if err := conn.ExchangeWithOptions(req, resp, pool.ExchangeOptions{MaxBodyBytes: maxStateBytes}); err != nil {
		p.Discard(conn)
		return state, nil, err
	}
	p.Put(conn)
	if resp.StatusCode() != http.StatusOK {
		return state, nil, errors.Mark(errors.Newf("node returned status %d", resp.StatusCode()), errInvalidState)
	}
	return decodeState(resp.Body())
}

// decodeState decodes the state of another node. It removes what is invalid and returns why;
// see mesh.StoreState.RemoveInvalid. err is marked with errInvalidState.
func decodeState(data []byte) (state mesh.StoreState, invalid []error, err error) {
	if err := cbor.Unmarshal(data, &state); err != nil {
		return mesh.StoreState{}, nil, errors.Mark(errors.Wrap(err, "decode state"), errInvalidState)
	}
	invalid, err = state.RemoveInvalid()
	if err != nil {
		return mesh.StoreState{}, nil, errors.Mark(err, errInvalidState)
	}
	if state.Table != nil {
		state.Table.BuildIndex()
	}
	return state, invalid, nil
}

// isStateRequest reports whether another node requests the state, rather than
// forwarding a request to run.
func isStateRequest(x *listener.Exchange) bool {
	h := &x.Request.Header
	return len(h.Peek(rankHeader)) == 0 && bytes.HasPrefix(h.RequestURI(), []byte(statePath))
}

// serveState responds with the part of the store's state that the requesting node does
// not have yet.
func (s *Sidecar) serveState(_ context.Context, x *listener.Exchange) {
	args := x.Request.URI().QueryArgs()
	version, err1 := strconv.ParseUint(string(args.Peek(versionParam)), 10, 64)
	era, err2 := strconv.ParseUint(string(args.Peek(eraParam)), 10, 64)
	revision, err3 := strconv.ParseUint(string(args.Peek(revisionParam)), 10, 64)
	if err := errors.CombineErrors(err1, errors.CombineErrors(err2, err3)); err != nil {
		s.log.Warn("invalid state request from node", field("address", x.RemoteIP), field("error", err))
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	state := s.node.StateSince(s.now(), mesh.StoreVersion{
		Version: route.Version(version), Position: registry.Position{Era: era, Revision: revision},
	})
	s.mu.Unlock()
	encoded, err := cbor.Marshal(state)
	if err != nil {
		s.log.Warn("encoding state failed", field("error", err))
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.SetBodyRaw(encoded)
}
