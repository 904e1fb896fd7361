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

// field is one line that a call may carry for this system.
type field struct {
	name string
	bit  uint32
	// from is the highest origin that may not set it; origins are ordered by
	// trust.
	from     engine.Origin
	required bool
	// set takes the value in and returns what is wrong with it.
	set func(p *parser, value string) string
}

func (f *field) trusted(o engine.Origin) bool { return o >= f.from }

var fields = []field{
	{name: Key, bit: 1, from: engine.OriginCaller, set: setKey},
	{name: Service, bit: 2, from: engine.OriginCaller, set: setService},
	{name: Wait, bit: 4, from: engine.OriginCaller, required: true, set: setWait},
	{name: Group, bit: 8, from: engine.OriginCaller, set: setGroup},
	{name: Parent, bit: 16, from: engine.OriginUpstream, set: setParent},
	{name: Budget, bit: 32, from: engine.OriginPeer, required: true, set: setBudget},
	{name: Class, bit: 64, from: engine.OriginPeer, required: true, set: setClass},
	{name: Depth, bit: 128, from: engine.OriginPeer, required: true, set: setDepth},
	{name: Send, bit: 256, from: engine.OriginPeer, required: true, set: setSend},
	{name: Stage, bit: 512, from: engine.OriginPeer, required: true, set: setStage},
	{name: Heard, bit: 1024, from: engine.OriginPeer, set: setHeard},
	{name: Priority, bit: 4096, from: engine.OriginPeer, required: true, set: setPriority},
	{name: Rerun, bit: 2048, from: engine.OriginPeer, set: setRerun},
}

func fieldOf(name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

func setKey(p *parser, value string) string {
	p.call.Key = value
	return visible(value)
}

func setService(p *parser, value string) string {
	p.call.Service = value
	return name(value)
}

func setGroup(p *parser, value string) string {
	p.call.Group = value
	return name(value)
}

func setWait(p *parser, value string) string {
	n, detail := number(value, 1, maxWait)
	p.call.Wait = time.Duration(n) * time.Millisecond
	return detail
}

func setBudget(p *parser, value string) string {
	n, detail := number(value, 0, maxSmall)
	p.call.Tokens = int(n)
	return detail
}

func setClass(p *parser, value string) string {
	n, detail := number(value, 0, maxSmall)
	p.call.Class = document.Class(n)
	return detail
}

func setDepth(p *parser, value string) string {
	n, detail := number(value, 0, maxSmall)
	p.call.Depth = int(n)
	return detail
}

func setPriority(p *parser, value string) string {
	n, detail := number(value, 0, maxPriority)
	p.call.Priority = uint16(n)
	return detail
}

// noAttempt stands for a dispatch of an earlier run of this node: it names no
// attempt, and is not the same as naming none.
const noAttempt = engine.AttemptID(math.MaxUint64)

// setParent reads INCARNATION.ATTEMPT.
func setParent(p *parser, value string) string {
	incarnation, attempt, found := strings.Cut(value, ".")
	i, wrong := number(incarnation, 0, math.MaxUint64)
	if !found || wrong != "" {
		return "is not INCARNATION.ATTEMPT"
	}
	a, wrong := number(attempt, 1, math.MaxUint64)
	if wrong != "" {
		return "is not INCARNATION.ATTEMPT"
	}
	p.call.Parent = engine.AttemptID(a)
	if i != p.incarnation {
		p.call.Parent = noAttempt
	}
	return ""
}

// setSend reads TARGET/INCARNATION/SEQUENCE.
func setSend(p *parser, value string) string {
	const form = "is not TARGET/INCARNATION/SEQUENCE"
	parts := strings.Split(value, "/")
	if len(parts) != 3 || name(parts[0]) != "" {
		return form
	}
	incarnation, wrong := number(parts[1], 1, math.MaxUint64)
	if wrong != "" {
		return form
	}
	sequence, wrong := number(parts[2], 1, math.MaxUint64)
	if wrong != "" {
		return form
	}
	p.call.Send = wire.SendID{Node: wire.NodeID{Target: parts[0], Incarnation: incarnation}, Sequence: sequence}
	return ""
}

func setStage(p *parser, value string) string {
	switch value {
	case stageRun:
		p.call.Stage = engine.StageRun
	case stageOwn:
		p.call.Stage = engine.StageOwn
	default:
		return "is neither run nor own"
	}
	return ""
}

// setHeard reads INCARNATION/CLOCK.
func setHeard(p *parser, value string) string {
	stamp, ok := parseStamp(value)
	p.call.Heard = stamp
	if !ok {
		return "is not INCARNATION/CLOCK"
	}
	return ""
}

func setRerun(p *parser, value string) string {
	p.call.Rerun = true
	if value != "1" {
		return "is not 1"
	}
	return ""
}

// The values of Shallot-Stage.
const (
	stageRun = "run"
	stageOwn = "own"
)

// FormatParent returns the value of Shallot-Parent for a dispatch.
func FormatParent(incarnation uint64, a engine.AttemptID) string {
	return strconv.FormatUint(incarnation, 10) + "." + strconv.FormatUint(uint64(a), 10)
}

// FormatSend returns the value of Shallot-Send.
func FormatSend(s wire.SendID) string {
	return s.Node.Target + "/" + strconv.FormatUint(s.Node.Incarnation, 10) + "/" + strconv.FormatUint(s.Sequence, 10)
}

// FormatStage returns the value of Shallot-Stage.
func FormatStage(s engine.Stage) string {
	if s == engine.StageOwn {
		return stageOwn
	}
	return stageRun
}

// FormatStamp returns the value of Shallot-Heard and Shallot-Stamp.
func FormatStamp(s wire.Stamp) string {
	return strconv.FormatUint(s.Incarnation, 10) + "/" + strconv.FormatUint(s.Clock, 10)
}

func parseStamp(text string) (wire.Stamp, bool) {
	incarnation, clock, _ := strings.Cut(text, "/")
	i, wrongI := number(incarnation, 0, math.MaxUint64)
	c, wrongC := number(clock, 0, math.MaxUint64)
	return wire.Stamp{Incarnation: i, Clock: c}, wrongI+wrongC == ""
}
