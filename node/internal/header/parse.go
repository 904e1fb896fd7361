package header

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Error is a header line that a call must not have.
type Error struct {
	Header string
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return e.Header + ": " + e.Detail }

// Call is what the header of a call said.
type Call struct {
	Service string
	Key     string
	Group   string
	Wait    time.Duration
	Parent  engine.AttemptID
	Stage   engine.Stage
	Class   document.Class
	Tokens  int
	Depth   int
	Send    wire.SendID
	Heard   wire.Stamp
	Rerun   bool
	// Priority is the call's within its class.
	Priority uint16
	// Extra holds the caller's own header lines in wire form.
	Extra []byte
}

// parser collects the lines of one header.
type parser struct {
	origin      engine.Origin
	incarnation uint64
	call        Call
	seen        uint32
	named       []byte
	err         error
}

// Parse reads h. Which lines count depends on origin; incarnation is that of
// this node, which a Shallot-Parent must bear. The error is an *Error.
func Parse(h *fasthttp.RequestHeader, origin engine.Origin, incarnation uint64) (Call, error) {
	p := parser{origin: origin, incarnation: incarnation, named: h.Peek("Connection")}
	for name, value := range h.All() {
		p.line(string(name), value)
		if p.err != nil {
			return Call{}, p.err
		}
	}
	if origin == engine.OriginPeer {
		return p.call, p.complete()
	}
	return p.call, nil
}

// line takes one header line in.
func (p *parser) line(name string, value []byte) {
	if name != Key && !strings.HasPrefix(name, prefix) {
		p.extra(name, value)
		return
	}
	f := fieldOf(name)
	if f == nil || !f.trusted(p.origin) {
		return
	}
	if p.seen&f.bit != 0 {
		p.err = &Error{name, "given twice"}
		return
	}
	p.seen |= f.bit
	if detail := f.set(p, string(value)); detail != "" {
		p.err = &Error{name, detail}
	}
}

// extra keeps a line of the caller's own, unless it belongs to the connection.
func (p *parser) extra(name string, value []byte) {
	if hopByHop[name] || namedIn(p.named, name) {
		return
	}
	p.call.Extra = AppendLine(p.call.Extra, name, value)
}

// complete checks that a peer's call has all it needs.
func (p *parser) complete() error {
	for i := range fields {
		f := &fields[i]
		if f.required && p.seen&f.bit == 0 {
			return &Error{f.name, "missing"}
		}
	}
	return nil
}

// namedIn tells whether a Connection line names this header line.
func namedIn(connection []byte, name string) bool {
	for len(connection) > 0 {
		var token []byte
		token, connection, _ = bytes.Cut(connection, []byte{','})
		if strings.EqualFold(string(bytes.TrimSpace(token)), name) {
			return true
		}
	}
	return false
}

// number reads a decimal number of digits only.
func number(text string, lowest, highest uint64) (n uint64, detail string) {
	if text == "" || len(text) > 20 {
		return 0, "is not a decimal number"
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, "is not a decimal number"
		}
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n < lowest || n > highest {
		return 0, "is not in " + strconv.FormatUint(lowest, 10) + " to " + strconv.FormatUint(highest, 10)
	}
	return n, ""
}

// name reads a service, target or group name.
func name(text string) string {
	switch {
	case text == "":
		return "is empty"
	case len(text) > maxName:
		return "is longer than " + strconv.Itoa(maxName)
	}
	for _, c := range []byte(text) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return "has a character that is not a letter, digit, '-', '_' or '.'"
		}
	}
	return ""
}

// visible reads a key.
func visible(text string) string {
	switch {
	case text == "":
		return "is empty"
	case len(text) > maxKey:
		return "is longer than " + strconv.Itoa(maxKey)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return "has a character that is not visible ASCII"
		}
	}
	return ""
}
