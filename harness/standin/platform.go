// Package standin holds small stand-ins for what stands around a node: the
// platform, upstreams and callers, over loopback TCP.
package standin

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/member"
)

type instanceText struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	LinkAddress string `json:"link_address"`
	Leaving     bool   `json:"leaving"`
}

// Platform serves a document and a list of instances.
type Platform struct {
	Address string

	server  *fasthttp.Server
	mu      sync.Mutex
	version uint64
	text    []byte
	list    []byte
	away    bool
	stalled chan struct{}
}

// NewPlatform starts a Platform.
func NewPlatform() (*Platform, error) {
	p := &Platform{list: []byte("[]")}
	p.server = &fasthttp.Server{Handler: p.handle}
	var err error
	p.Address, err = serve(p.server)
	return p, err
}

// Publish replaces the document; the version may be a lie.
func (p *Platform) Publish(version uint64, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.text = version, text
}

// List replaces the list of instances.
func (p *Platform) List(list []member.Instance) {
	entries := make([]instanceText, len(list))
	for i, inst := range list {
		entries[i] = instanceText(inst)
	}
	text, _ := json.Marshal(entries)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = text
}

// SetAway makes every read fail, or succeed again.
func (p *Platform) SetAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = away
}

// Stall lets every read wait until the returned function is called.
func (p *Platform) Stall() (resume func()) {
	stalled := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	return func() { close(stalled) }
}

// Close ends the Platform.
func (p *Platform) Close() { _ = p.server.Shutdown() }

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch path := string(ctx.Path()); {
	case p.away || path == "/v1/document" && p.version == 0:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case path == "/v1/document" && string(ctx.Request.Header.Peek("If-None-Match")) == `"`+strconv.FormatUint(p.version, 10)+`"`:
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	case path == "/v1/document":
		ctx.Response.Header.Set("Document-Version", strconv.FormatUint(p.version, 10))
		ctx.SetBody(p.text)
	default:
		ctx.SetBody(p.list)
	}
}

func serve(s *fasthttp.Server) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}
