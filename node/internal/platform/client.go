// Package platform reads what the platform publishes: the document and the list
// of instances. It never writes. A read that fails or makes no sense leaves the
// last good state as it was.
package platform

import (
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
// The text is nil if the platform says that it still has version have (RFC
// 9110, section 13.1.2); 0 asks for the text in any case.
func (c *Client) Document(ctx context.Context, have document.Version) (document.Version, []byte, error) {
	var version string
	text, err := c.get(ctx, question{
		path: DocumentPath, limit: document.MaxBytes, have: have, oversized: true,
		head: func(h *fasthttp.ResponseHeader) { version = string(h.Peek(VersionHeader)) },
	})
	if err != nil || text == nil {
		return have, nil, err
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
	text, err := c.get(ctx, question{
		path: InstancesPath, limit: maxInstances, head: func(*fasthttp.ResponseHeader) {},
	})
	if err != nil {
		return nil, err
	}
	return ParseInstances(text)
}

// question is one read: of which resource, of how many bytes at most, and which
// version of it is known already, 0 if none.
type question struct {
	path  string
	limit int
	have  document.Version
	head  func(*fasthttp.ResponseHeader)
	// oversized asks for one byte more than the limit, all of them 0, in place of
	// a longer text: whoever checks it refuses it by its size.
	oversized bool
}

// entityTag is the tag by which the platform names a version.
func entityTag(v document.Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

// get reads one resource; it ends early with ctx. The result is nil, without an
// error, if the platform still has the known version.
func (c *Client) get(ctx context.Context, q question) ([]byte, error) {
	conn, err := c.pool.Get(readLimit)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, q.path), ErrRead)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(c.pool.Address())
	req.Header.SetRequestURI(q.path)
	if q.have > 0 {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, entityTag(q.have))
	}
	_ = conn.SetDeadline(time.Now().Add(readLimit))
	if err := conn.Exchange(req, resp, q.limit); err != nil {
		c.pool.Discard(conn)
		if q.oversized && errors.Is(err, pool.ErrTooLarge) {
			q.head(&resp.Header)
			return make([]byte, q.limit+1), nil
		}
		return nil, errors.Mark(errors.Wrap(err, q.path), ErrRead)
	}
	c.pool.Put(conn)
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotModified && q.have > 0:
		return nil, nil
	case status != fasthttp.StatusOK:
		return nil, errors.Wrapf(ErrRead, "%s: status %d", q.path, status)
	}
	q.head(&resp.Header)
	return append([]byte{}, resp.Body()...), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }
