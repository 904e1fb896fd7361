package header

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// AppendLine appends one header line in wire form.
func AppendLine(dst []byte, name string, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// EachLine calls do with each line of a header in wire form.
func EachLine(lines []byte, do func(name, value []byte)) {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			do(name, value)
		}
	}
}

// OfAnswer returns the lines of an answer that are passed on, in wire form:
// neither the connection's own nor this system's.
func OfAnswer(h *fasthttp.ResponseHeader) []byte {
	var lines []byte
	connection := h.Peek("Connection")
	for key, value := range h.All() {
		line := string(key)
		if hopByHop[line] || strings.HasPrefix(line, prefix) || namedIn(connection, line) {
			continue
		}
		lines = AppendLine(lines, line, value)
	}
	return lines
}
