// Package standin provides test doubles for the platform, the upstreams and the
// callers of a node. They use loopback TCP.
package standin

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/membership"
)

// instanceEntry is the JSON form of a membership.Instance.
type instanceEntry struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	LinkAddress string `json:"link_address"`
	Leaving     bool   `json:"leaving"`
}

// Platform serves a document and a list of instances, as the real platform does.
type Platform struct {
	Address string

	server      *fasthttp.Server
	mu          sync.Mutex
	version     uint64
	document    []byte
	instances   []byte
	unavailable bool
	blocked     chan struct{}
}

// NewPlatform starts a Platform without a document and without instances.
func NewPlatform() (*Platform, error) {
	p := &Platform{instances: []byte("[]")}
	p.server = &fasthttp.Server{Handler: p.handle}
	var err error
	p.Address, err = serve(p.server)
	return p, err
}

// Publish replaces the document. The version may differ from the one inside text.
func (p *Platform) Publish(version uint64, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.document = version, text
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances []membership.Instance) {
	entries := make([]instanceEntry, len(instances))
	for i, inst := range instances {
		entries[i] = instanceEntry(inst)
	}
	text, _ := json.Marshal(entries)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = text
}

// SetUnavailable makes all reads fail with status 503, or succeed again.
func (p *Platform) SetUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
}

// BlockReads blocks all reads until the returned function is called.
func (p *Platform) BlockReads() (resume func()) {
	blocked := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	return func() { close(blocked) }
}

// Close shuts the server down.
func (p *Platform) Close() { _ = p.server.Shutdown() }

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	blocked := p.blocked
	p.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch path := string(ctx.Path()); {
	case p.unavailable || path == "/v1/document" && p.version == 0:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case path == "/v1/document" && string(ctx.Request.Header.Peek("If-None-Match")) == `"`+strconv.FormatUint(p.version, 10)+`"`:
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	case path == "/v1/document":
		ctx.Response.Header.Set("Document-Version", strconv.FormatUint(p.version, 10))
		ctx.SetBody(p.document)
	default:
		ctx.SetBody(p.instances)
	}
}

// serve starts a server on a free loopback port and returns its address.
func serve(s *fasthttp.Server) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}
