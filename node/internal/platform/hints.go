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
	hintInterval = 2 * time.Second
	hintLimit    = time.Second
	hintBody     = 64 << 10
)

// Hints asks the upstream's health and load endpoints until ctx ends, and tells
// step what they said; an empty path is not asked. An answer of 200 to 299 is
// healthy. A load that cannot be read is passed over.
func Hints(ctx context.Context, address, healthPath, loadPath string, step func(engine.Event)) {
	if healthPath == "" && loadPath == "" {
		return
	}
	p := pool.New(pool.Config{Address: address, Max: 1})
	defer p.Close()
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		if healthPath != "" {
			_, ok := hint(ctx, p, healthPath)
			step(&engine.HealthSeen{Healthy: ok})
		}
		if load, ok := claimedLoad(ctx, p, loadPath); ok {
			step(load)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// claimedLoad reads {"in_flight":N}; ok is false if that is not what came.
func claimedLoad(ctx context.Context, p *pool.Pool, path string) (load *engine.LoadSeen, ok bool) {
	if path == "" {
		return nil, false
	}
	body, ok := hint(ctx, p, path)
	if !ok {
		return nil, false
	}
	var claim struct {
		InFlight *int `json:"in_flight"`
	}
	if json.Unmarshal(body, &claim) != nil || claim.InFlight == nil || *claim.InFlight < 0 {
		return nil, false
	}
	return &engine.LoadSeen{InFlight: *claim.InFlight}, true
}

// hint asks one endpoint; ok is false unless the whole answer came with a status
// of 200 to 299.
func hint(ctx context.Context, p *pool.Pool, path string) (body []byte, ok bool) {
	conn, err := p.Get(hintLimit)
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
	_ = conn.SetDeadline(time.Now().Add(hintLimit))
	if conn.Exchange(req, resp, hintBody) != nil {
		p.Discard(conn)
		return nil, false
	}
	p.Put(conn)
	ok = resp.StatusCode() >= fasthttp.StatusOK && resp.StatusCode() < fasthttp.StatusMultipleChoices
	return append([]byte{}, resp.Body()...), ok
}
