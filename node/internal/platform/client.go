// Package platform reads what the platform publishes: the document and the list
// of instances. It never writes. A read that fails or makes no sense leaves the
// last good state as it was.
package platform

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// The paths of the platform's two resources, and the line that gives the
// document's version.
const (
	DocumentPath  = "/v1/document"
	InstancesPath = "/v1/instances"
	VersionHeader = "Document-Version"
)

const (
	// readLimit is how long one read may take.
	readLimit = 5 * time.Second
	// maxInstances is the size of the largest list, in bytes.
	maxInstances = 4 << 20
	// maxConnections is one for each resource.
	maxConnections = 2
)

// ErrRead is a read that gave nothing usable.
var ErrRead = errors.New("cannot read the platform")

// Client reads the platform; its methods may be called from any goroutine.
type Client struct{ pool *pool.Pool }

// NewClient returns a client of the platform at an IP:port.
func NewClient(address string) *Client {
	return &Client{pool: pool.New(pool.Config{Address: address, Max: maxConnections})}
}

// Document reads the document and its version, 0 if the platform does not tell.
func (c *Client) Document(ctx context.Context) (document.Version, []byte, error) {
	var version string
	text, err := c.get(ctx, DocumentPath, document.MaxBytes, func(h *fasthttp.ResponseHeader) {
		version = string(h.Peek(VersionHeader))
	})
	if err != nil {
		return 0, nil, err
	}
	if version == "" {
		return 0, text, nil
	}
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrRead, "%s: %s is not a version", DocumentPath, VersionHeader)
	}
	return document.Version(n), text, nil
}

// Instances reads the list of instances.
func (c *Client) Instances(ctx context.Context) ([]member.Instance, error) {
	text, err := c.get(ctx, InstancesPath, maxInstances, func(*fasthttp.ResponseHeader) {})
	if err != nil {
		return nil, err
	}
	return ParseInstances(text)
}

// get reads one resource of at most limit bytes; it ends early with ctx.
func (c *Client) get(ctx context.Context, path string, limit int, head func(*fasthttp.ResponseHeader)) ([]byte, error) {
	conn, err := c.pool.Get(readLimit)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, path), ErrRead)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(c.pool.Address())
	req.Header.SetRequestURI(path)
	_ = conn.SetDeadline(time.Now().Add(readLimit))
	if err := conn.Exchange(req, resp, limit); err != nil {
		c.pool.Discard(conn)
		return nil, errors.Mark(errors.Wrap(err, path), ErrRead)
	}
	c.pool.Put(conn)
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrRead, "%s: status %d", path, status)
	}
	head(&resp.Header)
	return bytes.Clone(resp.Body()), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }
