package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ownTime is how long clients send requests, and ownInterval the pause of each client between
	// two of them.
	ownTime     = 25 * time.Second
	ownInterval = 80 * time.Millisecond
	// ownClients is the number of clients at each machine.
	ownClients = 6
	// ownWork is the time that targets work on a request.
	ownWork = 290 * time.Millisecond
	// greyFrom, greyFor and greyShare say when the targets of a service fail requests, and how many.
	greyFrom  = 5 * time.Second
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
	// ownMachines is the number of machines, half of them with targets of the service.
	ownMachines = 8
)

// playOwn503 has clients that send requests that must not run twice. With trouble, the
// targets fail part of these once they have run, with status 503 and its stamp. The function returns the
// number of requests that a client was told not to have run, though they have.
func playOwn503(r *rig, trouble bool) (violations int) {
	zones := []string{"z-a", "z-b"}
	for i := range ownMachines {
		service := []string{"front", "orders"}[i%2]
		m := r.addMachine(fmt.Sprintf("m-%d", i), fmt.Sprintf("127.43.%d.1", i+1), zones[i/4], service, fmt.Sprintf("i-%d", i), 50)
		m.target.work = ownWork
	}
	r.putConfig([]routeConfig{{host: "orders.example", prefix: "/orders/", kind: "non_idempotent", service: "orders", timeoutMS: 3000, attempts: 2}}, []string{"front", "orders"})
	r.startAll()

	start := time.Now()
	for _, m := range r.machines {
		if !trouble || m.service != "orders" {
			continue
		}
		t := m.target
		t.handle = func(c net.Conn, q *http.Request, body []byte) bool {
			time.Sleep(ownWork)
			if since := time.Since(start); since > greyFrom && since < greyFrom+greyFor && rand.Float64() < greyShare {
				// The request has run: the answer does not have Not-Executed.
				return t.answer(c, q, http.StatusServiceUnavailable, []byte("order is written, receipt printer is away"))
			}
			return t.answer(c, q, http.StatusOK, t.body(q.Header.Get("Request-Id")))
		}
	}
	var served, retried, broken atomic.Int64
	var clients sync.WaitGroup
	for k := range ownClients * ownMachines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			m := r.machines[k%ownMachines]
			for n := 0; time.Since(start) < ownTime; n++ {
				time.Sleep(ownInterval/2 + rand.N(ownInterval))
				// One retry, as the clients of the site make.
				for try := range 2 {
					id := fmt.Sprintf("o%d-%d-%d", k, n, try)
					status, retryAfter, stamp, err := r.order(m, id)
					if err != nil {
						r.record.line("client gets no answer to %s: %v", id, err)
						break
					}
					if status == http.StatusOK {
						served.Add(1)
						break
					}
					if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
						break
					}
					if runs := r.runsOf(id); len(runs) > 0 {
						broken.Add(1)
						r.record.line("VIOLATION: %s was answered %d (stamp %q): not run, never will be. It ran at target %s.", id, status, stamp, runs[0].instance)
					}
					retried.Add(1)
					time.Sleep(retryAfter)
				}
			}
		}()
	}
	clients.Wait()
	fmt.Printf("%d orders served, %d refusals, %d of them for orders that have run\n", served.Load(), retried.Load(), broken.Load())
	if served.Load() < 500 {
		fail("too few orders")
	}
	return int(broken.Load())
}

// order sends one request on a new connection to the node of m.
func (r *rig) order(m *machine, id string) (status int, retryAfter time.Duration, stamp string, err error) {
	c, err := net.DialTimeout("tcp", m.address(r.ports.callers), time.Second)
	if err != nil {
		return 0, 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	const body = "one berth, deposit 500"
	r.record.line("client sends POST %s to node %s", id, m.name)
	text := fmt.Sprintf("POST /orders/7 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	if _, err := io.WriteString(c, text); err != nil {
		return 0, 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, "", err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, "", err
	}
	r.record.line("client gets %d for %s, stamp %q, Retry-After %q", resp.StatusCode, id, resp.Header.Get("Response-Stamp"), resp.Header.Get("Retry-After"))
	var seconds float64
	_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &seconds)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), resp.Header.Get("Response-Stamp"), nil
}
