package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// The parts that a MalformedError names.
const (
	statusLinePart  = "status line"
	requestLinePart = "request line"
	headPart        = "head"
	chunkSizePart   = "chunk size"
	chunkEndPart    = "end of chunk"
	trailerPart     = "trailer"
)

var lineEnd = []byte("\r\n")

const (
	// maxSizeDigits and maxLengthDigits limit the digits of a chunk size and of a Content-Length.
	maxSizeDigits   = 16
	maxLengthDigits = 19
	// maxTextBytes limits the text that an error quotes.
	maxTextBytes = 64
)

// MalformedError says what is malformed in a message.
type MalformedError struct {
	// Kind is "request" or "response". Part is the part of the message, Detail what is wrong with it.
	Kind, Part, Detail string
	// TooLong is set if a part exceeds its limit, and OtherVersion if a request has another major
	// version than 1.
	TooLong, OtherVersion bool
	// Text is the beginning of the malformed text, at most 64 bytes. It holds no value of a field.
	Text []byte
}

// Error implements error.
func (e *MalformedError) Error() string {
	text := "malformed " + e.Kind + ": " + e.Part + " " + e.Detail
	if len(e.Text) > 0 {
		text += fmt.Sprintf(": %q", e.Text)
	}
	return text
}

// FieldsTooLong reports whether a head or a trailer exceeds its limit.
func (e *MalformedError) FieldsTooLong() bool { return e.TooLong && e.Part != chunkSizePart }

// InHead reports whether the message is malformed before its body.
func (e *MalformedError) InHead() bool {
	return e.Part == statusLinePart || e.Part == requestLinePart || e.Part == headPart
}

func malformed(part, detail string, text []byte) error {
	return &MalformedError{Part: part, Detail: detail, Text: bytes.Clone(text[:min(len(text), maxTextBytes)])}
}

// framing says where a message ends (RFC 9112, section 6.3).
type framing struct {
	http11 bool
	// hasLength means that length is set.
	hasLength, chunked bool
	length             uint64
	// chunkedOverrides accepts a length beside chunks, which have priority.
	chunkedOverrides bool
}

// addField adds a field of the head that may state a length.
func (f *framing) addField(name, value []byte) error {
	switch {
	case isField(name, "Content-Length"):
		return f.addLength(name, value)
	case isField(name, "Transfer-Encoding"):
		return f.addEncoding(name, value)
	}
	return nil
}

func (f *framing) addLength(name, value []byte) error {
	length, ok := parseDecimal(value, maxLengthDigits)
	switch {
	case f.hasLength:
		return malformed(headPart, "repeats a field", name)
	case f.chunked && !f.chunkedOverrides:
		return malformed(headPart, "states a length and an encoding", name)
	case !ok:
		return malformed(headPart, "has a length that is not a decimal number", name)
	}
	f.hasLength, f.length = true, length
	return nil
}

func (f *framing) addEncoding(name, value []byte) error {
	switch {
	case f.chunked:
		return malformed(headPart, "repeats a field", name)
	case f.hasLength && !f.chunkedOverrides:
		return malformed(headPart, "states a length and an encoding", name)
	case !f.http11:
		return malformed(headPart, "states an encoding, which HTTP/1.0 does not have", name)
	case !bytes.EqualFold(value, []byte("chunked")):
		return malformed(headPart, "states an encoding that is not supported", name)
	}
	f.chunked = true
	return nil
}

// parseField checks a field line of part, which is not empty, and splits it (RFC 9112, section 5). A name has no blank
// before the colon, and a value no continuation lines.
func parseField(part string, line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return nil, nil, malformed(part, "has a continuation line", nil)
	case !found:
		return nil, nil, malformed(part, "has a field line without a colon", nil)
	case len(name) == 0:
		return nil, nil, malformed(part, "has a field without a name", nil)
	}
	for i, c := range name {
		if !isNameByte(c) {
			return nil, nil, malformed(part, fmt.Sprintf("has byte 0x%02x at %d in the name of a field", c, i), name)
		}
	}
	if i := invalidValueByte(value); i >= 0 {
		return nil, nil, malformed(part, fmt.Sprintf("has byte 0x%02x in the value of a field", value[i]), name)
	}
	return name, trimBlanks(value), nil
}

// trimBlanks returns value without the blanks around it.
func trimBlanks(value []byte) []byte {
	for len(value) > 0 && isBlank(value[0]) {
		value = value[1:]
	}
	for len(value) > 0 && isBlank(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	return value
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isField reports whether name is that of a field, in any case.
func isField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// nameBytes are the bytes that may be part of the name of a field (RFC 9110, section 5.6.2), and valueBytes those of
// a value (section 5.5).
var nameBytes, valueBytes = byteTables()

func byteTables() (names, values [256]bool) {
	for c := range 256 {
		letter := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		names[c] = letter || c != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
		values[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
	return names, values
}

func isNameByte(c byte) bool { return nameBytes[c] }

// invalidValueByte returns the position of the first byte that must not be part of a value, or -1.
func invalidValueByte(value []byte) int {
	for i, c := range value {
		if !valueBytes[c] {
			return i
		}
	}
	return -1
}

// parseDecimal parses 1 to maxDigits decimal digits.
func parseDecimal(text []byte, maxDigits int) (n uint64, ok bool) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(string(text), 10, 63)
	return n, err == nil
}

// parseChunkSize checks the line before a chunk and returns the size of the chunk. Extensions
// are ignored (RFC 9112, section 7.1).
func parseChunkSize(line []byte) (uint64, error) {
	digits, extensions, _ := bytes.Cut(line, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) > maxSizeDigits || invalidValueByte(extensions) >= 0 {
		return 0, malformed(chunkSizePart, "is not valid", line)
	}
	for _, c := range digits {
		if !isHexDigit(c) {
			return 0, malformed(chunkSizePart, "is not a hexadecimal number", line)
		}
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil {
		return 0, malformed(chunkSizePart, "is not a hexadecimal number", line)
	}
	return size, nil
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
