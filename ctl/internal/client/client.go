// Package client fetches the status of nodes from their admin listeners over
// HTTP.
package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1"
	"github.com/shallotspool/shallotspool/core/status"
)

const (
	statusPath = "/status"
	// maxStatusBytes is the maximum size of a status response body.
	maxStatusBytes = 4 << 20
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 4 << 10
	// maxConcurrent is the maximum number of concurrent requests.
	maxConcurrent = 64
)

// ErrUnreachable marks errors of nodes whose status could not be fetched.
var ErrUnreachable = errors.New("node status unavailable")

// Client fetches the status of nodes. It is safe for concurrent use.
type Client struct{ timeout time.Duration }

// New returns a Client that waits up to timeout for the response of each node.
func New(timeout time.Duration) *Client { return &Client{timeout: timeout} }

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
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + statusPath)
	req.SetConnectionClose()
	if err := c.exchange(address, req, resp); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s: request status", address), ErrUnreachable)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Mark(errors.Newf("node %s: unexpected HTTP status %d", address, resp.StatusCode()), ErrUnreachable)
	}
	var s status.Node
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "node %s: decode status", address), ErrUnreachable)
	}
	return &s, nil
}

// exchange sends req on a new connection and reads the response, which must be well-formed.
func (c *Client) exchange(address string, req *fasthttp.Request, resp *fasthttp.Response) error {
	end := time.Now().Add(c.timeout)
	conn, err := net.DialTimeout("tcp", address, c.timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(end); err != nil {
		return err
	}
	if _, err := req.WriteTo(conn); err != nil {
		return err
	}
	checked := http1.NewResponseReader(conn, http1.ResponseOptions{MaxHeadBytes: maxHeadBytes})
	if err := resp.ReadLimitBody(bufio.NewReaderSize(checked, maxHeadBytes), maxStatusBytes); err != nil {
		// fasthttp replaces all errors at the first byte.
		if checkErr := checked.Err(); checkErr != nil {
			return checkErr
		}
		return err
	}
	return nil
}
