package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

const (
	pollInterval     = 2 * time.Second
	pollTimeout      = time.Second
	maxPollBodyBytes = 64 << 10
)

// PollUpstream polls the upstream's health and load endpoints until ctx is done and
// passes the results to handleEvent. An endpoint with an empty path is not
// polled. A response with a status of 200 to 299 means healthy. A load response
// that is missing or invalid is ignored.
func PollUpstream(ctx context.Context, address, healthPath, loadPath string, handleEvent func(engine.Event)) {
	if healthPath == "" && loadPath == "" {
		return
	}
	p := pool.New(pool.Config{Address: address, MaxConnections: 1})
	defer p.Close()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if healthPath != "" {
			_, ok := pollEndpoint(ctx, p, healthPath)
			handleEvent(&engine.HealthReported{Healthy: ok})
		}
		if load, ok := pollLoad(ctx, p, loadPath); ok {
			handleEvent(load)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollLoad reads the upstream's load, {"in_flight":N}. ok is false if path is
// empty or the response is missing or invalid.
func pollLoad(ctx context.Context, p *pool.Pool, path string) (load *engine.LoadReported, ok bool) {
	if path == "" {
		return nil, false
	}
	body, ok := pollEndpoint(ctx, p, path)
	if !ok {
		return nil, false
	}
	var report struct {
		InFlight *int `json:"in_flight"`
	}
	if json.Unmarshal(body, &report) != nil || report.InFlight == nil || *report.InFlight < 0 {
		return nil, false
	}
	return &engine.LoadReported{InFlight: *report.InFlight}, true
}

// pollEndpoint sends one GET request and returns the response body. ok is false
// unless the whole response was received with a status of 200 to 299.
func pollEndpoint(ctx context.Context, p *pool.Pool, path string) (body []byte, ok bool) {
	conn, err := p.Get(pollTimeout)
	if err != nil {
		return nil, false
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.Address())
	req.Header.SetRequestURI(path)
	_ = conn.SetDeadline(time.Now().Add(pollTimeout))
	if conn.Exchange(req, resp, maxPollBodyBytes) != nil {
		p.Discard(conn)
		return nil, false
	}
	p.Put(conn)
	ok = resp.StatusCode() >= fasthttp.StatusOK && resp.StatusCode() < fasthttp.StatusMultipleChoices
	return append([]byte{}, resp.Body()...), ok
}
