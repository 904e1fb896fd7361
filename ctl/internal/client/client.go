// Package client fetches the status of nodes from their admin listeners over
// HTTP.
package client

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/status"
)

const (
	statusPath = "/status"
	// maxStatusBytes is the maximum size of a status response body.
	maxStatusBytes = 4 << 20
	// maxConcurrent is the maximum number of concurrent requests.
	maxConcurrent = 64
)

// ErrUnreachable marks errors of nodes whose status could not be fetched.
var ErrUnreachable = errors.New("node status unavailable")

// Client fetches the status of nodes. It is safe for concurrent use.
type Client struct {
	http    fasthttp.Client
	timeout time.Duration
}

// New returns a Client that waits up to timeout for the response of each node.
func New(timeout time.Duration) *Client {
	return &Client{
		http:    fasthttp.Client{MaxResponseBodySize: maxStatusBytes, NoDefaultUserAgentHeader: true},
		timeout: timeout,
	}
}

// Result is the result of one status request. Status is nil if Err is set.
type Result struct {
	Address string
	Status  *status.Node
	Err     error
}

// FetchStatuses fetches the status of every address concurrently and returns the
// results in the order of the addresses. After ctx is done it sends no further
// requests.
func (c *Client) FetchStatuses(ctx context.Context, addresses []string) []Result {
	mapper := iter.Mapper[string, Result]{MaxGoroutines: maxConcurrent}
	return mapper.Map(addresses, func(address *string) Result {
		s, err := c.fetchStatus(ctx, *address)
		return Result{Address: *address, Status: s, Err: err}
	})
}

func (c *Client) fetchStatus(ctx context.Context, address string) (*status.Node, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s: request status", address), ErrUnreachable)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + statusPath)
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s: request status", address), ErrUnreachable)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Mark(errors.Newf("node %s: unexpected HTTP status %d", address, response.StatusCode()), ErrUnreachable)
	}
	var s status.Node
	if err := json.Unmarshal(response.Body(), &s); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s: decode status", address), ErrUnreachable)
	}
	return &s, nil
}
