package header

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// callField describes a header field that a call may carry for this system.
type callField struct {
	name string
	// bit identifies the field in parser.seen.
	bit uint32
	// minOrigin is the least trusted origin that may set the field. Origins are
	// ordered by increasing trust: caller, own upstream, other node.
	minOrigin engine.Origin
	// required means that a call from another node must have the field.
	required bool
	// parse stores the value in p.call and returns what is wrong with it, or an
	// empty string.
	parse func(p *parser, value string) string
}

func (f *callField) acceptsFrom(o engine.Origin) bool { return o >= f.minOrigin }

var callFields = []callField{
	{name: Key, bit: 1, minOrigin: engine.OriginCaller, parse: parseKey},
	{name: Service, bit: 2, minOrigin: engine.OriginCaller, parse: parseService},
	{name: TimeoutMS, bit: 4, minOrigin: engine.OriginCaller, required: true, parse: parseTimeout},
	{name: Group, bit: 8, minOrigin: engine.OriginCaller, parse: parseGroup},
	{name: Parent, bit: 16, minOrigin: engine.OriginUpstream, parse: parseParent},
	{name: RetryTokens, bit: 32, minOrigin: engine.OriginPeer, required: true, parse: parseRetryTokens},
	{name: Class, bit: 64, minOrigin: engine.OriginPeer, required: true, parse: parseClass},
	{name: Depth, bit: 128, minOrigin: engine.OriginPeer, required: true, parse: parseDepth},
	{name: Send, bit: 256, minOrigin: engine.OriginPeer, required: true, parse: parseSendID},
	{name: Stage, bit: 512, minOrigin: engine.OriginPeer, required: true, parse: parseStage},
	{name: ReceiverStamp, bit: 1024, minOrigin: engine.OriginPeer, parse: parseReceiverStamp},
	{name: Priority, bit: 4096, minOrigin: engine.OriginPeer, required: true, parse: parsePriority},
	{name: Rerun, bit: 2048, minOrigin: engine.OriginPeer, parse: parseRerun},
}

// findField returns the field with a name, or nil if it is unknown.
func findField(name string) *callField {
	for i := range callFields {
		if callFields[i].name == name {
			return &callFields[i]
		}
	}
	return nil
}

func parseKey(p *parser, value string) string {
	p.call.Key = value
	return checkKey(value)
}

func parseService(p *parser, value string) string {
	p.call.Service = value
	return checkName(value)
}

func parseGroup(p *parser, value string) string {
	p.call.Group = value
	return checkName(value)
}

func parseTimeout(p *parser, value string) string {
	n, detail := parseNumber(value, 1, maxTimeoutMS)
	p.call.Timeout = time.Duration(n) * time.Millisecond
	return detail
}

func parseRetryTokens(p *parser, value string) string {
	n, detail := parseNumber(value, 0, maxUint8)
	p.call.RetryTokens = int(n)
	return detail
}

func parseClass(p *parser, value string) string {
	n, detail := parseNumber(value, 0, maxUint8)
	p.call.Class = document.Class(n)
	return detail
}

func parseDepth(p *parser, value string) string {
	n, detail := parseNumber(value, 0, maxUint8)
	p.call.Depth = int(n)
	return detail
}

func parsePriority(p *parser, value string) string {
	n, detail := parseNumber(value, 0, maxPriority)
	p.call.Priority = uint16(n)
	return detail
}

// staleAttempt stands for an attempt of an earlier run of this node. It matches
// no attempt of this run and differs from 0, which means that the call names no
// parent.
const staleAttempt = engine.AttemptID(math.MaxUint64)

// parseParent parses INCARNATION.ATTEMPT.
func parseParent(p *parser, value string) string {
	incarnation, attempt, found := strings.Cut(value, ".")
	i, detail := parseNumber(incarnation, 0, math.MaxUint64)
	if !found || detail != "" {
		return "is not INCARNATION.ATTEMPT"
	}
	a, detail := parseNumber(attempt, 1, math.MaxUint64)
	if detail != "" {
		return "is not INCARNATION.ATTEMPT"
	}
	p.call.Parent = engine.AttemptID(a)
	if i != p.incarnation {
		p.call.Parent = staleAttempt
	}
	return ""
}

// parseSendID parses TARGET/INCARNATION/SEQUENCE.
func parseSendID(p *parser, value string) string {
	const malformed = "is not TARGET/INCARNATION/SEQUENCE"
	parts := strings.Split(value, "/")
	if len(parts) != 3 || checkName(parts[0]) != "" {
		return malformed
	}
	incarnation, detail := parseNumber(parts[1], 1, math.MaxUint64)
	if detail != "" {
		return malformed
	}
	sequence, detail := parseNumber(parts[2], 1, math.MaxUint64)
	if detail != "" {
		return malformed
	}
	p.call.Send = wire.SendID{Node: wire.NodeID{Target: parts[0], Incarnation: incarnation}, Sequence: sequence}
	return ""
}

func parseStage(p *parser, value string) string {
	switch value {
	case stageRun:
		p.call.Stage = engine.StageRun
	case stageOwner:
		p.call.Stage = engine.StageOwner
	default:
		return "is neither run nor own"
	}
	return ""
}

// parseReceiverStamp parses INCARNATION/CLOCK.
func parseReceiverStamp(p *parser, value string) string {
	stamp, ok := parseStamp(value)
	p.call.ReceiverStamp = stamp
	if !ok {
		return "is not INCARNATION/CLOCK"
	}
	return ""
}

func parseRerun(p *parser, value string) string {
	p.call.Rerun = true
	if value != "1" {
		return "is not 1"
	}
	return ""
}

// Values of Shallot-Stage.
const (
	stageRun   = "run"
	stageOwner = "own"
)

// FormatParent returns the value of Shallot-Parent for an attempt of the run
// that incarnation identifies.
func FormatParent(incarnation uint64, a engine.AttemptID) string {
	return strconv.FormatUint(incarnation, 10) + "." + strconv.FormatUint(uint64(a), 10)
}

// FormatSend returns the value of Shallot-Send.
func FormatSend(s wire.SendID) string {
	return s.Node.Target + "/" + strconv.FormatUint(s.Node.Incarnation, 10) + "/" + strconv.FormatUint(s.Sequence, 10)
}

// FormatStage returns the value of Shallot-Stage.
func FormatStage(s engine.Stage) string {
	if s == engine.StageOwner {
		return stageOwner
	}
	return stageRun
}

// FormatStamp returns the value of Shallot-Heard and Shallot-Stamp.
func FormatStamp(s wire.Stamp) string {
	return strconv.FormatUint(s.Incarnation, 10) + "/" + strconv.FormatUint(s.UptimeMS, 10)
}

// parseStamp parses INCARNATION/CLOCK, where CLOCK is Stamp.UptimeMS.
func parseStamp(text string) (wire.Stamp, bool) {
	incarnation, uptime, _ := strings.Cut(text, "/")
	i, iDetail := parseNumber(incarnation, 0, math.MaxUint64)
	u, uDetail := parseNumber(uptime, 0, math.MaxUint64)
	return wire.Stamp{Incarnation: i, UptimeMS: u}, iDetail+uDetail == ""
}
