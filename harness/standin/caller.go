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

// Call is one request of a caller.
type Call struct {
	Service, Method, Path string
	// ID is the key as well; each answer must bear it.
	ID     string
	Parent string
	// Key is sent in place of the id, if set.
	Key  string
	Wait time.Duration
}

// Result is what the caller got; Status is 0 when the connection broke.
type Result struct {
	Status          int
	Outcome, Reason string
	Body            string
}

// Request returns a call that takes a route.
func Request(r *document.Route, id string) Call {
	path := strings.NewReplacer("{", "", "}", "").Replace(r.Path)
	return Call{Service: r.Service, Method: r.Method, Path: path, ID: id, Wait: r.Wait}
}

// Caller calls one address; its methods may be called from any goroutine.
type Caller struct {
	Address string

	once   sync.Once
	client *fasthttp.HostClient
}

// maxConnections is what one caller opens.
const maxConnections = 4096

// NewKey asks the node for a key that it owns.
func (c *Caller) NewKey() string {
	var issued struct{ Key string }
	r := c.Do(Call{Method: "POST", Path: "/shallot/key", Wait: time.Second})
	_ = json.Unmarshal([]byte(r.Body), &issued)
	return issued.Key
}

// Do makes a call once and waits for its answer.
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
	if c.client.DoTimeout(req, resp, call.Wait+time.Second) != nil {
		return Result{}
	}
	return Result{
		Status: resp.StatusCode(), Outcome: string(resp.Header.Peek("Shallot-Outcome")),
		Reason: string(resp.Header.Peek("Shallot-Reason")), Body: string(resp.Body()),
	}
}
