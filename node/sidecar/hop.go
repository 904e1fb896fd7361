package sidecar

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// The header lines between nodes.
const (
	hopRank   = "Shallot-Rank"
	hopResult = "Shallot-Result"
	hopLoad   = "Shallot-Load"
)

// work is a request on its way to the upstream that is to run it.
type work struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	id       string
	rank     mesh.Rank
	route    uint32
	deadline time.Duration
	// once tells that the request must not run twice.
	once bool
}

// formatRank writes what the receiving node needs to order the request.
func formatRank(w *work) string {
	b := make([]byte, 0, 48)
	b = strconv.AppendInt(b, int64(w.rank.Priority), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, w.rank.Age.Milliseconds(), 10)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(w.rank.Root), 16)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(w.route), 16)
	if w.rank.Rerun {
		b = append(b, " rerun"...)
	}
	if w.once {
		b = append(b, " once"...)
	}
	return string(b)
}

// parseRank is the inverse of formatRank; ok is false for anything else.
func parseRank(text string, w *work) (ok bool) {
	text, w.once = strings.CutSuffix(text, " once")
	text, rerun := strings.CutSuffix(text, " rerun")
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
	w.rank = mesh.Rank{Priority: priority, Age: time.Duration(age) * time.Millisecond, Root: uint32(root), Rerun: rerun}
	w.route = uint32(routeID)
	return true
}

// formatResult writes how an attempt ended, for the node that sent it.
func formatResult(o mesh.Outcome) string {
	reached := "0"
	if o.Reached {
		reached = "1"
	}
	return strconv.Itoa(int(o.Kind)) + " " + reached + " " + o.Reason.String()
}

// parseResult is the inverse of formatResult; ok is false for anything else.
func parseResult(text string, o *mesh.Outcome) (ok bool) {
	parts := strings.Split(text, " ")
	if len(parts) != 3 {
		return false
	}
	kind, err := strconv.Atoi(parts[0])
	if err != nil || kind < int(mesh.Answered) || kind > int(mesh.Unknown) {
		return false
	}
	o.Kind, o.Reached, o.Reason = mesh.OutcomeKind(kind), parts[1] == "1", mesh.ParseReason(parts[2])
	return true
}

func formatLoad(l mesh.Load) string {
	return strconv.Itoa(l.Running) + " " + strconv.Itoa(l.Queued) + " " + strconv.Itoa(l.Limit)
}

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

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

type headerLines interface {
	Peek(name string) []byte
	Del(name string)
}

// dropConnectionHeaders removes the lines that concern one connection, those
// that Connection names among them.
func dropConnectionHeaders(h headerLines) {
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		name = strings.TrimSpace(name)
		if name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
