package header

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// AppendLine appends a header field in wire format: "NAME: VALUE\r\n".
func AppendLine(dst []byte, name string, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// EachLine calls f for each field of a header in wire format.
func EachLine(raw []byte, f func(name, value []byte)) {
	for len(raw) > 0 {
		var line []byte
		line, raw, _ = bytes.Cut(raw, []byte("\r\n"))
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			f(name, value)
		}
	}
}

// OfAnswer returns the fields of a response that are forwarded, in wire
// format. It omits hop-by-hop fields and the internal fields of this system.
func OfAnswer(h *fasthttp.ResponseHeader) []byte {
	var raw []byte
	connection := h.Peek("Connection")
	for key, value := range h.All() {
		name := string(key)
		if hopByHop[name] || strings.HasPrefix(name, internalPrefix) || listedInConnection(connection, name) {
			continue
		}
		raw = AppendLine(raw, name, value)
	}
	return raw
}
