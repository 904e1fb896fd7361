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

// Error reports a header field that is malformed, missing or given twice.
type Error struct {
	// Header is the name of the field.
	Header string
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return e.Header + ": " + e.Detail }

// Call is the content of a call's header. Fields that the call does not have, or
// that its origin may not set, are zero.
type Call struct {
	Service string
	Key     string
	Group   string
	// Timeout is the time left until the deadline.
	Timeout       time.Duration
	Parent        engine.AttemptID
	Stage         engine.Stage
	Class         document.Class
	RetryTokens   int
	Depth         int
	Send          wire.SendID
	ReceiverStamp wire.Stamp
	Rerun         bool
	// Priority is the priority within the class.
	Priority uint16
	// ForwardedHeader holds the fields to forward, in wire format.
	ForwardedHeader []byte
}

// parser holds the state of parsing one header.
type parser struct {
	origin      engine.Origin
	incarnation uint64
	call        Call
	// seen is the union of the bits (callField.bit) of the fields found so far.
	seen uint32
	// connection is the value of the Connection field.
	connection []byte
	err        error
}

// Parse parses the header of a call. It ignores internal fields that origin may
// not set. incarnation identifies this run of the node: a Shallot-Parent with
// another one names an attempt of an earlier run. The error is an *Error.
func Parse(h *fasthttp.RequestHeader, origin engine.Origin, incarnation uint64) (Call, error) {
	p := parser{origin: origin, incarnation: incarnation, connection: h.Peek("Connection")}
	for name, value := range h.All() {
		p.addField(string(name), value)
		if p.err != nil {
			return Call{}, p.err
		}
	}
	if origin == engine.OriginPeer {
		return p.call, p.checkRequired()
	}
	return p.call, nil
}

// addField processes one header field.
func (p *parser) addField(name string, value []byte) {
	if name != Key && !strings.HasPrefix(name, internalPrefix) {
		p.addForwarded(name, value)
		return
	}
	f := findField(name)
	if f == nil || !f.acceptsFrom(p.origin) {
		return
	}
	if p.seen&f.bit != 0 {
		p.err = &Error{name, "given twice"}
		return
	}
	p.seen |= f.bit
	if detail := f.parse(p, string(value)); detail != "" {
		p.err = &Error{name, detail}
	}
}

// addForwarded keeps a field to forward, unless it is hop-by-hop.
func (p *parser) addForwarded(name string, value []byte) {
	if hopByHop[name] || listedInConnection(p.connection, name) {
		return
	}
	p.call.ForwardedHeader = AppendField(p.call.ForwardedHeader, name, value)
}

// checkRequired checks that a call from another node has all required fields.
func (p *parser) checkRequired() error {
	for i := range callFields {
		f := &callFields[i]
		if f.required && p.seen&f.bit == 0 {
			return &Error{f.name, "missing"}
		}
	}
	return nil
}

// listedInConnection reports whether a Connection field lists name, which makes
// the field of that name hop-by-hop.
func listedInConnection(connection []byte, name string) bool {
	for len(connection) > 0 {
		var token []byte
		token, connection, _ = bytes.Cut(connection, []byte{','})
		if strings.EqualFold(string(bytes.TrimSpace(token)), name) {
			return true
		}
	}
	return false
}

// parseNumber parses a decimal number of 1 to 20 digits, as many as the largest
// uint64 has. detail says what is wrong with it, or is empty.
func parseNumber(text string, lowest, highest uint64) (n uint64, detail string) {
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

// checkName checks the name of a service, target or group. It returns what is
// wrong with it, or an empty string.
func checkName(text string) string {
	switch {
	case text == "":
		return "is empty"
	case len(text) > maxNameBytes:
		return "is longer than " + strconv.Itoa(maxNameBytes)
	}
	for _, c := range []byte(text) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return "has a character that is not a letter, digit, '-', '_' or '.'"
		}
	}
	return ""
}

// checkKey checks an idempotency key and returns what is wrong with it, or an
// empty string.
func checkKey(text string) string {
	switch {
	case text == "":
		return "is empty"
	case len(text) > maxKeyBytes:
		return "is longer than " + strconv.Itoa(maxKeyBytes)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return "has a character that is not visible ASCII"
		}
	}
	return ""
}
