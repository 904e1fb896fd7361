package sidecar

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

// The header fields that nodes add to requests and responses between each other.
const (
	rankHeader   = "Shallot-Rank"
	resultHeader = "Shallot-Result"
	loadHeader   = "Shallot-Load"
)

// upstreamRequest is a request on its way to the upstream that is to run it, directly
// or through another node.
type upstreamRequest struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	id       string
	rank     mesh.Rank
	routeID  uint32
	// deadline is on the clock of Sidecar.now.
	deadline time.Duration
	// nonIdempotent means that the request must not run twice.
	nonIdempotent bool
	// lease is charged with the memory of the response.
	lease *memory.Lease
	// outOfMemory is set if the last exchange failed because this node has no memory left for
	// responses.
	outOfMemory bool
	// connectError is why the last exchange got no connection, or lost it before anything was sent.
	connectError error
	// connectionEnded is set if the last exchange failed because the remote side ended the
	// connection.
	connectionEnded bool
	// rateLimit is the limit that the upstream named to the sending node, in requests per
	// second, if limited is set.
	rateLimit float64
	limited   bool
}

// limitPrefix precedes the limit of the upstream in an encoded rank.
const limitPrefix = " limit="

// formatRank encodes what the receiving node needs to prioritise and run the request.
func formatRank(req *upstreamRequest) string {
	b := make([]byte, 0, 48)
	b = strconv.AppendInt(b, int64(req.rank.Priority), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, req.rank.Age.Milliseconds(), 10)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(req.rank.Root), 16)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(req.routeID), 16)
	if req.limited {
		b = append(b, limitPrefix...)
		b = strconv.AppendFloat(b, req.rateLimit, 'g', -1, 64)
	}
	if req.rank.IsRetry {
		b = append(b, " rerun"...)
	}
	if req.nonIdempotent {
		b = append(b, " once"...)
	}
	return string(b)
}

// parseRank decodes the output of formatRank into req. It returns false for malformed
// text.
func parseRank(text string, req *upstreamRequest) (ok bool) {
	text, req.nonIdempotent = strings.CutSuffix(text, " once")
	text, isRetry := strings.CutSuffix(text, " rerun")
	text, limitText, limited := strings.Cut(text, limitPrefix)
	if limited {
		if req.rateLimit, req.limited = parseRateLimit(limitText); !req.limited {
			return false
		}
	}
	parts := strings.Split(text, " ")
	if len(parts) != 4 {
		return false
	}
	priority, err1 := strconv.Atoi(parts[0])
	age, err2 := strconv.ParseInt(parts[1], 10, 32)
	root, err3 := strconv.ParseUint(parts[2], 16, 32)
	routeID, err4 := strconv.ParseUint(parts[3], 16, 32)
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return false
	}
	req.rank = mesh.Rank{Priority: priority, Age: time.Duration(age) * time.Millisecond, Root: uint32(root), IsRetry: isRetry}
	req.routeID = uint32(routeID)
	return true
}

// formatResult encodes the outcome of an attempt for the node that forwarded the
// request.
func formatResult(o mesh.Outcome) string {
	reached := "0"
	if o.ReachedUpstream {
		reached = "1"
	}
	return strconv.Itoa(int(o.Kind)) + " " + reached + " " + o.Reason.String()
}

// parseResult decodes the output of formatResult into o. It returns false for malformed
// text.
func parseResult(text string, o *mesh.Outcome) (ok bool) {
	parts := strings.Split(text, " ")
	if len(parts) != 3 {
		return false
	}
	kind, err := strconv.Atoi(parts[0])
	if err != nil || kind < int(mesh.OutcomeAnswered) || kind > int(mesh.OutcomeUnknown) {
		return false
	}
	o.Kind, o.ReachedUpstream, o.Reason = mesh.OutcomeKind(kind), parts[1] == "1", mesh.ParseReason(parts[2])
	return true
}

// formatLoad encodes the load of the local upstream for the node that forwarded a
// request.
func formatLoad(l mesh.Load) string {
	return strconv.Itoa(l.Running) + " " + strconv.Itoa(l.Queued) + " " + strconv.Itoa(l.Limit)
}

// parseLoad decodes the output of formatLoad. It returns false for malformed text.
func parseLoad(text string) (l mesh.Load, ok bool) {
	parts := strings.Split(text, " ")
	if len(parts) != 3 {
		return l, false
	}
	var errs [3]error
	l.Running, errs[0] = strconv.Atoi(parts[0])
	l.Queued, errs[1] = strconv.Atoi(parts[1])
	l.Limit, errs[2] = strconv.Atoi(parts[2])
	return l, errs[0] == nil && errs[1] == nil && errs[2] == nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headerFields is implemented by the headers of requests and of responses.
type headerFields interface {
	Peek(name string) []byte
	Del(name string)
}

// removeHopByHopHeaders removes the fields that apply to a single connection, including
// those listed in the Connection field.
func removeHopByHopHeaders(h headerFields) {
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		name = strings.TrimSpace(name)
		if name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
