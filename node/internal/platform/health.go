package platform

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

const (
	healthInterval = 2 * time.Second
	healthLimit    = time.Second
	healthBody     = 64 << 10
)

// Health asks the upstream's health endpoint until ctx ends, and tells step
// what it said. An answer of 200 to 299 is healthy.
func Health(ctx context.Context, address, path string, step func(engine.Event)) {
	p := pool.New(pool.Config{Address: address, Max: 1})
	defer p.Close()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		step(&engine.HealthSeen{Healthy: healthy(ctx, p, path)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func healthy(ctx context.Context, p *pool.Pool, path string) bool {
	conn, err := p.Get(healthLimit)
	if err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.Address())
	req.Header.SetRequestURI(path)
	_ = conn.SetDeadline(time.Now().Add(healthLimit))
	if conn.Exchange(req, resp, healthBody) != nil {
		p.Discard(conn)
		return false
	}
	p.Put(conn)
	return resp.StatusCode() >= fasthttp.StatusOK && resp.StatusCode() < fasthttp.StatusMultipleChoices
}
