package faults

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
)

const (
	// stopWorkTime is the processing time of a request in StopScenario.
	stopWorkTime = 600 * time.Millisecond
	// maxStopGap bounds the time between two stops; a stop may take longer.
	maxStopGap = 5 * time.Second
	// pipeliners is the number of callers that do not wait for answers, and pipelinePause the
	// time between two of their requests.
	pipeliners    = 12
	pipelinePause = 300 * time.Millisecond
	// maxBodyPause bounds the time in the middle of the body of a pipeliner's request.
	maxBodyPause = 3 * time.Second
	// lateBodyRatio is the fraction of connections whose first body ends late.
	lateBodyRatio = 0.3
)

// planStops returns the faults of StopScenario: stops in series, which may overlap.
func planStops(random *rand.Rand, nodes int) (out []scheduledFault) {
	stop := faultKind{name: "stop", planned: true, restarts: true, inject: func(r *runner, n *instance) func() {
		return n.terminate(r, syscall.SIGTERM)
	}}
	at := 3 * time.Second
	for at < scenarioPeriod {
		out = append(out, scheduledFault{startAt: at, kind: stop, instance: random.IntN(nodes)})
		at += time.Duration(random.Int64N(int64(maxStopGap)))
	}
	return append(out, scheduledFault{kind: faultKind{name: "pipeliners", planned: true, inject: sendPipelined}})
}

// sendPipelined starts callers that send requests without waiting for answers, for the period of
// the scenario.
func sendPipelined(r *runner, _ *instance) (wait func()) {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioPeriod)
	var callers conc.WaitGroup
	for i := range pipeliners {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1000))
			for connection := 0; ctx.Err() == nil; connection++ {
				if n := r.randomReadyInstance(random); n != nil {
					r.pipeline(ctx, n, random, fmt.Sprintf("p%d-%d", i, connection))
				}
				time.Sleep(pipelinePause)
			}
		})
	}
	return func() {
		callers.Wait()
		cancel()
	}
}

// pipeline sends requests on one connection until it closes or ctx ends, and records their answers
// in the order in which they were sent.
func (r *runner) pipeline(ctx context.Context, n *instance, random *rand.Rand, prefix string) {
	conn, err := net.DialTimeout("tcp", n.address(n.ports.callers), time.Second)
	if err != nil {
		return
	}
	sent := make(chan *request, 1000)
	var answers conc.WaitGroup
	answers.Go(func() { r.readPipelined(conn, sent) })
	for k := 0; ctx.Err() == nil && k < cap(sent) && err == nil; k++ {
		q := &request{id: fmt.Sprintf("%s-%d", prefix, k), node: n.index, timeout: callerTimeout}
		pause := time.Duration(0)
		if k == 0 && random.Float64() < lateBodyRatio {
			pause = time.Duration(random.Int64N(int64(maxBodyPause)))
			q.timeout += maxBodyPause
		}
		r.history.recordRequest(q)
		sent <- q
		err = writePipelined(conn, q, pause)
		time.Sleep(pipelinePause)
	}
	close(sent)
	answers.Wait()
}

// writePipelined sends a request, with a pause before its body.
func writePipelined(conn net.Conn, q *request, pause time.Duration) error {
	body := "order of " + q.id
	head := fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", q.id, virtualHost,
		platform.HeaderRequestID, q.id, platform.HeaderDeadline, q.timeout.Milliseconds(), len(body))
	if pause == 0 {
		head, body = head+body, ""
	}
	if _, err := conn.Write([]byte(head)); err != nil {
		return err
	}
	time.Sleep(pause)
	_, err := conn.Write([]byte(body))
	return err
}

// readPipelined records the answers to the requests sent on a connection. Those without an answer end
// with the connection.
func (r *runner) readPipelined(conn net.Conn, sent <-chan *request) {
	reader, open := bufio.NewReader(conn), true
	for q := range sent {
		var resp fasthttp.Response
		if open {
			_ = conn.SetReadDeadline(time.Now().Add(q.timeout + responseGrace))
			if resp.Read(reader) != nil {
				open = false
			}
		}
		answered := open
		r.history.update(func() {
			q.endedAt = r.history.now()
			if answered {
				q.status, q.gotBody = resp.StatusCode(), string(resp.Body())
				q.wantBody = responseBody(frontService, q.id)
				q.stamped = len(resp.Header.Peek(platform.HeaderResponseStamp)) > 0
				q.hasRetryAfter = len(resp.Header.Peek(platform.HeaderRetryAfter)) > 0
			}
		})
		if open && resp.ConnectionClose() {
			open = false
		}
		if !open {
			_ = conn.Close()
		}
	}
	_ = conn.Close()
}
