package header

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// AppendField appends a header field in wire format: "NAME: VALUE\r\n".
func AppendField(dst []byte, name string, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// ForEachField calls f for each field of a header in wire format.
func ForEachField(raw []byte, f func(name, value []byte)) {
	for len(raw) > 0 {
		var line []byte
		line, raw, _ = bytes.Cut(raw, []byte("\r\n"))
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			f(name, value)
		}
	}
}

// ForwardedFields returns the fields of a response that are forwarded, in wire
// format. It omits hop-by-hop fields and the internal fields of this system.
func ForwardedFields(h *fasthttp.ResponseHeader) []byte {
	var raw []byte
	connection := h.Peek("Connection")
	for key, value := range h.All() {
		name := string(key)
		if hopByHop[name] || strings.HasPrefix(name, internalPrefix) || listedInConnection(connection, name) {
			continue
		}
		raw = AppendField(raw, name, value)
	}
	return raw
}
