// Package http1test has a reference reader of HTTP/1.1 requests (RFC 9112) for tests. It shares no code with
// the reader that it is compared with, and reads text that is there as a whole.
package http1test

import (
	"regexp"
	"strconv"
	"strings"
)

// Request is a request as a strict server sees it.
type Request struct {
	Method, Target string
	// Fields has the names in lower case. Fields of trailers are left out.
	Fields map[string][]string
	Body   string
	// Closes is set if no request may follow on the connection, as the request has both a length and chunks.
	Closes bool
}

const (
	token    = "[-!#$%&'*+.^_`|~0-9A-Za-z]+"
	textByte = `[^\x00-\x08\x0a-\x1f\x7f]`
	// maxChunkLineBytes limits the line before a chunk with its end.
	maxChunkLineBytes = 4 << 10
)

var (
	requestLine = regexp.MustCompile(`^(` + token + `) ([^\x00-\x20\x7f]+) HTTP/1\.([0-9])$`)
	address     = regexp.MustCompile("^(?i:https?)://[^\\x00-\\x20\\x7f/?#@\\\\\"<>^`{|}]+([/?#].*)?$")
	host        = regexp.MustCompile("^[^\\x00-\\x20\\x7f/?#@\\\\\"<>^`{|}]*$")
	fieldLine   = regexp.MustCompile(`^(` + token + `):(` + textByte + `*)$`)
	chunkLine   = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[ \t]*(;` + textByte + `*)?$`)
	decimal     = regexp.MustCompile(`^[0-9]{1,19}$`)
)

// Read returns the whole requests at the beginning of text, and whether nothing follows them. Heads and
// trailers may have maxHeadBytes each.
func Read(text string, maxHeadBytes int) (requests []Request, whole bool) {
	for {
		for strings.HasPrefix(text, "\r\n") {
			text = text[2:]
		}
		if text == "" {
			return requests, true
		}
		r, rest, ok := readRequest(text, maxHeadBytes)
		if !ok {
			return requests, false
		}
		requests, text = append(requests, r), rest
	}
}

func readRequest(text string, maxHeadBytes int) (r Request, rest string, ok bool) {
	first, text, ok := strings.Cut(text, "\r\n")
	line := requestLine.FindStringSubmatch(first)
	if !ok || line == nil {
		return r, "", false
	}
	fields, rest, ok := readFields(text, maxHeadBytes-len(first)-2)
	r = Request{Method: line[1], Target: line[2], Fields: fields}
	if !ok || !isTarget(r.Method, r.Target) || !hasOneHost(fields, line[3] == "0") {
		return r, "", false
	}
	lengths, encodings := fields["content-length"], fields["transfer-encoding"]
	switch {
	case len(lengths) > 1 || len(lengths) == 1 && !isLength(lengths[0]),
		len(encodings) > 1 || len(encodings) == 1 && (line[3] == "0" || !strings.EqualFold(encodings[0], "chunked")):
		return r, "", false
	case len(encodings) == 1:
		r.Closes = len(lengths) == 1
		r.Body, rest, ok = readChunks(rest, maxHeadBytes)
		return r, rest, ok
	case len(lengths) == 1:
		length, _ := strconv.ParseInt(lengths[0], 10, 64)
		if length > int64(len(rest)) {
			return r, "", false
		}
		r.Body, rest = rest[:length], rest[length:]
	}
	return r, rest, true
}

// readFields reads field lines and the empty one behind them, which have at most maxBytes.
func readFields(text string, maxBytes int) (fields map[string][]string, rest string, ok bool) {
	fields = map[string][]string{}
	for {
		line, rest, found := strings.Cut(text, "\r\n")
		maxBytes -= len(line) + 2
		if !found || maxBytes < 0 {
			return nil, "", false
		}
		if line == "" {
			return fields, rest, true
		}
		field := fieldLine.FindStringSubmatch(line)
		if field == nil {
			return nil, "", false
		}
		name := strings.ToLower(field[1])
		fields[name] = append(fields[name], strings.Trim(field[2], " \t"))
		text = rest
	}
}

func readChunks(text string, maxTrailerBytes int) (body, rest string, ok bool) {
	for {
		line, rest, found := strings.Cut(text, "\r\n")
		digits := chunkLine.FindStringSubmatch(line)
		if !found || digits == nil || len(line)+2 > maxChunkLineBytes {
			return "", "", false
		}
		size, err := strconv.ParseInt(digits[1], 16, 64)
		if err != nil {
			return "", "", false
		}
		if size == 0 {
			_, rest, ok = readFields(rest, maxTrailerBytes)
			return body, rest, ok
		}
		if size > int64(len(rest)) || !strings.HasPrefix(rest[size:], "\r\n") {
			return "", "", false
		}
		body, text = body+rest[:size], rest[size+2:]
	}
}

func isTarget(method, target string) bool {
	return target[0] == '/' || method == "OPTIONS" && target == "*" || address.MatchString(target)
}

func hasOneHost(fields map[string][]string, http10 bool) bool {
	hosts := fields["host"]
	return len(hosts) == 1 && host.MatchString(hosts[0]) || len(hosts) == 0 && http10
}

func isLength(text string) bool {
	_, err := strconv.ParseInt(text, 10, 64)
	return decimal.MatchString(text) && err == nil
}

// Path returns the target without scheme and host.
func (r Request) Path() string {
	parts := address.FindStringSubmatch(r.Target)
	switch {
	case parts == nil:
		return r.Target
	case strings.HasPrefix(parts[1], "/"):
		return parts[1]
	}
	return "/" + parts[1]
}
