package faults

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
)

const (
	// endlessID begins the IDs of requests whose answers have no end.
	endlessID = "endless"
	// endlessRounds is the number of times that one such request is sent to each node at
	// once, endlessPause the pause after each.
	endlessRounds = 6
	endlessPause  = 2 * time.Second
	// maxEndlessTime is how long a node may read an answer without end.
	maxEndlessTime = callTimeout + faultEffectTime
	// endlessBlock is the number of bytes written at a time.
	endlessBlock = 64 << 10
)

// endlessAnswers are answers without end: what follows the fields that every answer has, and
// what is repeated after that.
var endlessAnswers = [][2]string{
	{"Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	{"\r\n", "x"},
	{"Content-Length: 9000000000000000000\r\n\r\n", "x"},
	{"Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
	{"A: ", "x"},
	{"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
}

// endlessAnswer is an answer without end as the upstream saw it.
type endlessAnswer struct {
	id       string
	duration time.Duration
	bytes    int64
}

// answerWithoutEnd answers a request until the node closes the connection.
func (u *upstream) answerWithoutEnd(ctx *fasthttp.RequestCtx, id string) {
	kind, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
	answer := endlessAnswers[kind%len(endlessAnswers)]
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		started := u.history.now()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s", platform.HeaderRequestID, id, platform.HeaderResponseStamp, u.id, answer[0])
		block, total := bytes.Repeat([]byte(answer[1]), max(endlessBlock/len(answer[1]), 1)), int64(0)
		for err == nil {
			var n int
			n, err = conn.Write(block)
			total += int64(n)
		}
		u.history.update(func() {
			u.history.endless = append(u.history.endless, endlessAnswer{id: id, duration: u.history.now() - started, bytes: total})
		})
	})
}

// sendEndless sends requests with answers without end to all nodes at once, several times.
func sendEndless(r *runner, _ *instance) (wait func()) {
	var sends conc.WaitGroup
	sends.Go(func() {
		for round := range endlessRounds {
			for i, n := range r.instances {
				for _, id := range []string{fmt.Sprintf("%s-%d-%d", endlessID, i, round), fmt.Sprintf("%s-%d-again-%d", endlessID, i, round)} {
					sends.Go(func() { r.sendLeaf(n, id, id) })
				}
			}
			time.Sleep(endlessPause)
		}
	})
	return sends.Wait
}

// findEndlessAnswersRead finds answers without end that a node went on reading, or passed on
// as a success.
func findEndlessAnswersRead(h *history) (violations []string) {
	for _, e := range h.endless {
		if e.duration > maxEndlessTime {
			violations = append(violations, fmt.Sprintf("%s was read for %v, %d bytes", e.id, e.duration, e.bytes))
		}
	}
	for id, r := range h.requests {
		if strings.HasPrefix(id, endlessID) && r.status == fasthttp.StatusOK {
			violations = append(violations, id+" was answered with success")
		}
	}
	return violations
}

// recordPeakMemory keeps the most memory that the node's process has taken so far.
func (n *instance) recordPeakMemory() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		// The process has ended.
		return
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	n.peakMemory = max(n.peakMemory, kilobytes<<10)
}

// reportMemory records a violation for each node that took more memory than it has.
func (r *runner) reportMemory() (peak int64) {
	for _, n := range r.instances {
		n.recordPeakMemory()
		peak = max(peak, n.peakMemory)
		if n.peakMemory > int64(r.options.MemoryMB)<<20 {
			r.recordViolation("memory", fmt.Sprintf("node %d took %d MB", n.index, n.peakMemory>>20))
		}
	}
	return peak
}
