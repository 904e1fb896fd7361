package faults

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
)

const (
	// uploadPath is the path of the route for large bodies, and uploadTimeout its timeout.
	uploadPath    = "/upload/"
	uploadTimeout = 8 * time.Second
	// maxBodyBytes is the limit on the bodies of requests in all tables.
	maxBodyBytes = 64 << 20
	// uploadRate is how fast each upstream reads a body, in bytes per second.
	uploadRate = 8 << 20
	// uploadPause is the time between two requests of one sender.
	uploadPause = 4 * time.Second
	// uploadsID begins the IDs of requests with large bodies.
	uploadsID = "upload"
)

// The number of senders of large bodies and the size of these bodies, unless Options state
// them.
const (
	defaultUploads  = 24
	defaultUploadMB = 24
)

// upload is a request with a large body and its answer; status is 0 if it got none.
type upload struct {
	id            string
	status        int
	hasRetryAfter bool
	duration      time.Duration
}

// sendUploads sends large bodies to all nodes, whose upstreams read slowly, until the period of the
// scenario ends.
func sendUploads(r *runner, _ *instance) (wait func()) {
	for _, n := range r.instances {
		n.upstreamProxy.delayTraffic(copyBufferBytes * time.Second / uploadRate)
	}
	var sends conc.WaitGroup
	for i := range r.options.Uploads {
		sends.Go(func() {
			time.Sleep(uploadPause * time.Duration(i) / time.Duration(r.options.Uploads))
			client := &http.Client{Timeout: uploadTimeout + responseGrace, Transport: &http.Transport{}}
			for round := 0; time.Duration(round)*uploadPause < scenarioPeriod; round++ {
				started := time.Now()
				r.sendUpload(client, r.instances[i%len(r.instances)], fmt.Sprintf("%s-%d-%d", uploadsID, i, round))
				time.Sleep(uploadPause - time.Since(started))
			}
		})
	}
	return func() {
		sends.Wait()
		for _, n := range r.instances {
			n.upstreamProxy.restore()
		}
	}
}

func (r *runner) sendUpload(client *http.Client, n *instance, id string) {
	size := int64(r.options.UploadMB) << 20
	req, err := http.NewRequest(http.MethodPost, "http://"+n.address(n.ports.callers)+uploadPath+id, io.LimitReader(zeros{}, size))
	if err != nil {
		r.recordError(err)
		return
	}
	req.Host, req.ContentLength = virtualHost, size
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(uploadTimeout.Milliseconds()))
	sent := upload{id: id}
	started := time.Now()
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		sent.status, sent.hasRetryAfter = resp.StatusCode, resp.Header.Get(platform.HeaderRetryAfter) != ""
	}
	sent.duration = time.Since(started)
	r.history.update(func() { r.history.uploads = append(r.history.uploads, sent) })
}

// zeros is a body of zero bytes without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// findUploadsWithoutAnswer finds requests with large bodies that got no answer, a refusal that does
// not say when to come back, or one that did not come at once.
func findUploadsWithoutAnswer(h *history) (violations []string) {
	for _, u := range h.uploads {
		switch {
		case u.status == 0:
			violations = append(violations, fmt.Sprintf("%s got no answer in %v", u.id, u.duration))
		case u.status == http.StatusServiceUnavailable && !u.hasRetryAfter:
			violations = append(violations, u.id+" was refused without Retry-After")
		case u.status == http.StatusServiceUnavailable && h.executions()[u.id] > 0:
			violations = append(violations, u.id+" was refused and has run")
		}
	}
	return violations
}

// countUploads returns the number of requests with large bodies by status.
func (h *history) countUploads() map[int]int {
	count := map[int]int{}
	for _, u := range h.uploads {
		count[u.status]++
	}
	return count
}

// receiveUpload reads the body of a request whose body is large, and answers it.
func (u *upstream) receiveUpload(ctx *fasthttp.RequestCtx) {
	received, err := io.Copy(io.Discard, ctx.RequestBodyStream())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.Set(platform.HeaderResponseStamp, u.id)
	ctx.SetBodyString(fmt.Sprint(received))
}
