package faults

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1/http1test"
	"github.com/shallotspool/shallotspool/platform"
)

const (
	// framingID begins the IDs of the requests on connections of FramingScenario.
	framingID = "framing"
	// framingSenders is the number of connections that each node has at a time, and
	// maxFramingRequests the most requests on one.
	framingSenders     = 2
	maxFramingRequests = 6
	// maxFramingHeadBytes exceeds the heads of all of them.
	maxFramingHeadBytes = 16 << 10
)

// framingForms are the framings of requests, behind fields that all have: %L stands for the length of the body, %B
// for the body, which is a whole request, and %S for its size in chunks.
var framingForms = []string{
	"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: %L\r\n\r\n%B", "Content-Length: %L\r\nExpect: 100-continue\r\n\r\n%B",
	"Transfer-Encoding: chunked\r\n\r\n%S\r\n%B\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n%S;x=y\r\n%B\r\n0\r\nX-A: b\r\n\r\n\r\n",
	"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n%S\r\n%B\r\n0\r\n\r\n",
	"Content Length: %L\r\n\r\n%B", "Content-Length : %L\r\n\r\n%B", "Content-Length: %L, %L\r\n\r\n%B", "X A: b\r\n\r\n%B", "A: b\r\n c\r\n\r\n%B",
	"Transfer-Encoding: identity\r\n\r\n%B", "Transfer-Encoding: identity\r\nContent-Length: %L\r\n\r\n%B", "Transfer-Encoding: gzip\r\n\r\n%B",
	"Transfer-Encoding: chunked\r\n\r\n%S;\n%B\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\n\r\n%B", "Transfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n%B",
	"A: b\nB: c\r\n\r\n%B", "Host: other\r\n\r\n%B", "A: b\x00\r\n\r\n%B", "A: b\rc\r\n\r\n%B",
}

// framingConn is a connection of FramingScenario: the requests that a strict reader sees on it, in their order, the IDs
// of those that were answered, in that of their answers, and what was not readable of these.
type framingConn struct {
	sent       string
	wanted     []http1test.Request
	answered   []string
	unreadable string
}

// sendFramings sends requests, well-formed and malformed, on connections to all nodes until the period of the
// scenario ends.
func sendFramings(r *runner, _ *instance) (wait func()) {
	var senders conc.WaitGroup
	for i := range framingSenders * len(r.instances) {
		senders.Go(func() {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
			for round, started := 0, time.Now(); time.Since(started) < scenarioPeriod; round++ {
				r.sendFraming(r.instances[i%len(r.instances)], random, fmt.Sprintf("%s-%d-%d", framingID, i, round))
			}
		})
	}
	return senders.Wait
}

// drawFraming returns the bytes of a connection. IDs of requests begin with id.
func drawFraming(random *rand.Rand, id string) string {
	request := func(id, form string) string {
		fields := fmt.Sprintf("%s: %s\r\n%s: %d\r\n", platform.HeaderRequestID, id, platform.HeaderDeadline, callTimeout.Milliseconds())
		return fmt.Sprintf("PUT /leaf/%s HTTP/1.1\r\nHost: %s\r\n%s%s", id, virtualHost, fields, form)
	}
	var text strings.Builder
	for i := range 1 + random.IntN(maxFramingRequests) {
		own := fmt.Sprint(id, "-", i)
		body := request(own+"-hidden", "\r\n")
		form := framingForms[random.IntN(len(framingForms))]
		form = strings.NewReplacer("%L", fmt.Sprint(len(body)), "%B", body, "%S", fmt.Sprintf("%x", len(body))).Replace(form)
		text.WriteString(request(own, form))
	}
	return text.String()
}

func (r *runner) sendFraming(n *instance, random *rand.Rand, id string) {
	c := &framingConn{sent: drawFraming(random, id)}
	c.wanted, _ = http1test.Read(c.sent, maxFramingHeadBytes)
	for i, request := range c.wanted {
		if request.Closes {
			c.wanted = c.wanted[:i+1]
			break
		}
	}
	r.history.update(func() { r.history.framings = append(r.history.framings, c) })
	conn, err := net.Dial("tcp", n.address(n.ports.callers))
	if err != nil {
		r.recordError(err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout + responseGrace))
	var sender conc.WaitGroup
	sender.Go(func() {
		for rest := c.sent; rest != ""; {
			size := min(1+random.IntN(len(c.sent)), len(rest))
			if _, err := io.WriteString(conn, rest[:size]); err != nil {
				return
			}
			rest = rest[size:]
		}
	})
	answered, unreadable := readAnswers(bufio.NewReader(conn), len(c.wanted))
	r.history.update(func() { c.answered, c.unreadable = answered, unreadable })
	_ = conn.Close()
	sender.Wait()
}

// readAnswers reads the answers to requests, and that to a malformed one behind them, and returns the IDs in those
// with status 200.
func readAnswers(in *bufio.Reader, requests int) (answered []string, unreadable string) {
	for i := 0; i <= requests; {
		resp, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		var netErr net.Error
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &netErr):
			return answered, ""
		case err != nil:
			return answered, err.Error()
		case resp.StatusCode < http.StatusOK:
			continue
		case resp.StatusCode == http.StatusOK:
			id := resp.Header.Get(platform.HeaderRequestID)
			if string(body) != responseBody(leafService, id) {
				return answered, fmt.Sprintf("body of %s: %.60q", id, body)
			}
			answered = append(answered, id)
		}
		i++
	}
	return answered, ""
}

// findWronglyFramed finds requests that ran though no strict reader sees them, that reached an upstream with a malformed
// field, and answers that are not those to the requests of their connection, in order.
func findWronglyFramed(h *history) (violations []string) {
	wanted := map[string]bool{}
	for _, c := range h.framings {
		ids := []string{}
		for _, request := range c.wanted {
			id := request.Fields[strings.ToLower(platform.HeaderRequestID)][0]
			wanted[id], ids = true, append(ids, id)
		}
		if c.unreadable != "" {
			violations = append(violations, fmt.Sprintf("%q was answered with %s", c.sent, c.unreadable))
		}
		for _, id := range c.answered {
			for len(ids) > 0 && ids[0] != id {
				ids = ids[1:]
			}
			if len(ids) == 0 {
				violations = append(violations, fmt.Sprintf("%q was answered for %v, out of order", c.sent, c.answered))
				break
			}
		}
	}
	for _, a := range h.arrivals {
		if strings.HasPrefix(a.id, framingID) && !wanted[a.id] {
			violations = append(violations, a.id+" ran, which no strict reader sees")
		}
	}
	return violations
}

// malformedSuffix marks the ID of a request that has a malformed field.
const malformedSuffix = "-malformed"

// markMalformed adds malformedSuffix to id if the request has a malformed name or a field of a trailer.
func markMalformed(h *fasthttp.RequestHeader, id string) string {
	for name := range h.All() {
		if strings.ContainsAny(string(name), " \t") || string(name) == "X-A" {
			return id + malformedSuffix
		}
	}
	return id
}
