// Package client reads the status of nodes from their admin listeners. A Client
// is safe for concurrent use.
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
	// maxStatusBytes is the longest status a node sends.
	maxStatusBytes = 4 << 20
	// maxConcurrent is the number of nodes asked at once.
	maxConcurrent = 64
)

// ErrUnreachable means that a node gave no status.
var ErrUnreachable = errors.New("node gave no status")

// Client asks nodes for their status.
type Client struct {
	http    fasthttp.Client
	timeout time.Duration
}

// New returns a Client that waits up to timeout for each node.
func New(timeout time.Duration) *Client {
	return &Client{
		http:    fasthttp.Client{MaxResponseBodySize: maxStatusBytes, NoDefaultUserAgentHeader: true},
		timeout: timeout,
	}
}

// Answer is what one node said: Status, or Err when it said nothing.
type Answer struct {
	Address string
	Status  *status.Node
	Err     error
}

// Statuses asks every address, several at once, and returns the answers in the
// order of the addresses. It stops early when ctx ends.
func (c *Client) Statuses(ctx context.Context, addresses []string) []Answer {
	mapper := iter.Mapper[string, Answer]{MaxGoroutines: maxConcurrent}
	return mapper.Map(addresses, func(address *string) Answer {
		s, err := c.status(ctx, *address)
		return Answer{Address: *address, Status: s, Err: err}
	})
}

func (c *Client) status(ctx context.Context, address string) (*status.Node, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + statusPath)
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s", address), ErrUnreachable)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Mark(errors.Newf("node %s answered %d", address, response.StatusCode()), ErrUnreachable)
	}
	var s status.Node
	if err := json.Unmarshal(response.Body(), &s); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s", address), ErrUnreachable)
	}
	return &s, nil
}
