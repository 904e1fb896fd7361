package standin

import (
	"cmp"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/document"
)

// Call is one request of a caller, or a call that an upstream makes through its
// node.
type Call struct {
	Service, Method, Path string
	// ID identifies the request. The upstream returns it as the body of its
	// answer. It is also the idempotency key unless Key is set.
	ID string
	// Parent is the value of the Shallot-Parent header, empty for none.
	Parent string
	// Key is the idempotency key, if it differs from ID.
	Key string
	// Timeout is the timeout of the call. The caller waits one second longer for the
	// reply of the node. The timeout is not sent to the node.
	Timeout time.Duration
}

// Result is the reply to a call. Status is the HTTP status, 0 if the connection
// failed or timed out.
type Result struct {
	Status          int
	Outcome, Reason string
	Body            string
}

// NewCall returns a call that matches a route and has its timeout.
func NewCall(r *document.Route, id string) Call {
	path := strings.NewReplacer("{", "", "}", "").Replace(r.Path)
	return Call{Service: r.Service, Method: r.Method, Path: path, ID: id, Timeout: r.Timeout}
}

// Caller sends calls to the node at one address. It is safe for concurrent use.
type Caller struct {
	Address string

	once   sync.Once
	client *fasthttp.HostClient
}

// maxConnections is the maximum number of connections of one caller.
const maxConnections = 4096

// FetchKey requests an idempotency key that the node issues and owns. It returns
// an empty string if the request fails.
func (c *Caller) FetchKey() string {
	var issued struct{ Key string }
	r := c.Do(Call{Method: "POST", Path: "/shallot/key", Timeout: time.Second})
	_ = json.Unmarshal([]byte(r.Body), &issued)
	return issued.Key
}

// Do sends a call once, without retries, and waits for the reply.
func (c *Caller) Do(call Call) Result {
	c.once.Do(func() {
		c.client = &fasthttp.HostClient{Addr: c.Address, MaxConns: maxConnections, MaxIdemponentCallAttempts: 1}
	})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + c.Address + call.Path)
	req.Header.Set(IDHeader, call.ID)
	req.Header.Set("Idempotency-Key", cmp.Or(call.Key, call.ID))
	req.Header.Set("Shallot-Service", call.Service)
	if call.Parent != "" {
		req.Header.Set("Shallot-Parent", call.Parent)
	}
	if c.client.DoTimeout(req, resp, call.Timeout+time.Second) != nil {
		return Result{}
	}
	return Result{
		Status: resp.StatusCode(), Outcome: string(resp.Header.Peek("Shallot-Outcome")),
		Reason: string(resp.Header.Peek("Shallot-Reason")), Body: string(resp.Body()),
	}
}
