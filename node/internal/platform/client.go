// Package platform reads the document and the list of instances that the
// platform publishes, and polls the upstream's health and load endpoints. It
// never writes to the platform. A read that fails or returns invalid data leaves
// the last valid state unchanged.
package platform

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// The paths of the platform's resources, and the response header with the
// version of the document.
const (
	DocumentPath  = "/v1/document"
	InstancesPath = "/v1/instances"
	VersionHeader = "Document-Version"
)

const (
	// readTimeout is the timeout for one read.
	readTimeout = 5 * time.Second
	// maxInstanceListBytes is the maximum size of the list of instances.
	maxInstanceListBytes = 4 << 20
	// maxConnections allows one connection for each resource.
	maxConnections = 2
)

// ErrReadFailed marks a read that failed or returned invalid data.
var ErrReadFailed = errors.New("no valid response from the platform")

// Client reads the resources of the platform. Its methods may be called from any
// goroutine.
type Client struct{ pool *pool.Pool }

// NewClient returns a Client for the platform at address, an IP:port.
func NewClient(address string) *Client {
	return &Client{pool: pool.New(pool.Config{Address: address, MaxConnections: maxConnections})}
}

// Document reads the document and its version; the version is 0 if the response
// does not state it. knownVersion is the version that the node already has, or 0
// for none. If the platform still has that version, the text is nil: the request
// is conditional (If-None-Match, RFC 9110, section 13.1.2).
func (c *Client) Document(ctx context.Context, knownVersion document.Version) (document.Version, []byte, error) {
	var versionText string
	text, err := c.get(ctx, resourceRequest{
		path: DocumentPath, maxBytes: document.MaxBytes, knownVersion: knownVersion, padOversized: true,
		onHeader: func(h *fasthttp.ResponseHeader) { versionText = string(h.Peek(VersionHeader)) },
	})
	if err != nil || text == nil {
		return knownVersion, nil, err
	}
	if versionText == "" {
		return 0, text, nil
	}
	n, err := strconv.ParseUint(versionText, 10, 64)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrReadFailed, "%s: header %s is not a valid version", DocumentPath, VersionHeader)
	}
	return document.Version(n), text, nil
}

// Instances reads the list of instances; see ParseInstances.
func (c *Client) Instances(ctx context.Context) (list []membership.Instance, invalid []error, err error) {
	text, err := c.get(ctx, resourceRequest{
		path: InstancesPath, maxBytes: maxInstanceListBytes, onHeader: func(*fasthttp.ResponseHeader) {},
	})
	if err != nil {
		return nil, nil, err
	}
	return ParseInstances(text)
}

// resourceRequest describes one read of a resource.
type resourceRequest struct {
	path         string
	maxBytes     int
	knownVersion document.Version
	onHeader     func(*fasthttp.ResponseHeader)
	// padOversized replaces a resource that is larger than maxBytes by maxBytes+1
	// zero bytes instead of failing the read, so that the parser rejects it
	// because of its size.
	padOversized bool
}

// entityTag returns the HTTP entity tag of a document version.
func entityTag(v document.Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

// get reads one resource and aborts the read when ctx is done. It returns nil
// without an error if the platform still has the known version.
func (c *Client) get(ctx context.Context, r resourceRequest) ([]byte, error) {
	conn, err := c.pool.Get(readTimeout)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, r.path), ErrReadFailed)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(c.pool.Address())
	req.Header.SetRequestURI(r.path)
	if r.knownVersion > 0 {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, entityTag(r.knownVersion))
	}
	_ = conn.SetDeadline(time.Now().Add(readTimeout))
	if err := conn.Exchange(req, resp, r.maxBytes); err != nil {
		c.pool.Discard(conn)
		if r.padOversized && errors.Is(err, pool.ErrTooLarge) {
			r.onHeader(&resp.Header)
			return make([]byte, r.maxBytes+1), nil
		}
		return nil, errors.Mark(errors.Wrap(err, r.path), ErrReadFailed)
	}
	c.pool.Put(conn)
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotModified && r.knownVersion > 0:
		return nil, nil
	case status != fasthttp.StatusOK:
		return nil, errors.Wrapf(ErrReadFailed, "%s: status %d", r.path, status)
	}
	r.onHeader(&resp.Header)
	return append([]byte{}, resp.Body()...), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }
