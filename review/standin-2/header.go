package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerRequests is the number of requests of each client, and headerClients that of clients.
	headerRequests = 100
	headerClients  = 6
	// fullHeader is the size of a header at the limit of the configuration, in bytes, and
	// smallHeader one well below it.
	fullHeader, smallHeader = 16384, 12288
	// maxDenied and deniedPer are those of the rule: more than maxDenied + one in deniedPer.
	maxDenied, deniedPer = 5, 500
)

// playHeader has clients whose requests have headers as large as the configuration allows, with
// trouble, or well below that. The function returns the number of requests that were denied, 0 if
// they are as few as the rule allows.
func playHeader(r *rig, trouble bool) (violations int) {
	for i := range 6 {
		service := []string{"front", "lists"}[i%2]
		m := r.addMachine(fmt.Sprintf("m-%d", i), fmt.Sprintf("127.46.%d.1", i+1), []string{"z-a", "z-b", "z-c"}[i/2], service, fmt.Sprintf("i-%d", i), 50)
		m.target.setWork(20 * time.Millisecond)
	}
	r.putConfig([]routeConfig{{host: "lists.example", prefix: "/lists/", kind: "idempotent", service: "lists", timeoutMS: 3000, attempts: 2}}, []string{"front", "lists"})
	r.startAll()
	size := smallHeader
	if trouble {
		size = fullHeader
	}
	var served, denied, other atomic.Int64
	var clients sync.WaitGroup
	for k := range headerClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := range headerRequests {
				time.Sleep(50 * time.Millisecond)
				id := fmt.Sprintf("h%d-%d", k, n)
				status, err := r.putWithHeader(r.machines[k%len(r.machines)], id, size)
				switch {
				case err == nil && status == http.StatusOK:
					served.Add(1)
				case err == nil && status >= 300 && status < 500:
					denied.Add(1)
				default:
					other.Add(1)
					r.record.line("client gets %d for %s: %v", status, id, err)
				}
			}
		}()
	}
	clients.Wait()
	fmt.Printf("headers of %d bytes: %d requests served, %d denied, %d others\n", size, served.Load(), denied.Load(), other.Load())
	if other.Load() > 0 {
		fail("%d requests were neither served nor denied", other.Load())
	}
	if denied.Load() > maxDenied+(served.Load()+denied.Load())/deniedPer {
		return int(denied.Load())
	}
	return 0
}

// putWithHeader sends an upload whose header has the given size, from the request line to the empty
// line.
func (r *rig) putWithHeader(m *machine, id string, size int) (status int, err error) {
	c, err := net.DialTimeout("tcp", m.address(r.ports.callers), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("PUT /lists/9 HTTP/1.1\r\nHost: lists.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 5\r\nSession: ", id)
	const end = "\r\n\r\n"
	head += strings.Repeat("s", size-len(head)-len(end)) + end
	r.record.line("client sends PUT %s with a header of %d bytes to node %s", id, len(head), m.name)
	if _, err := io.WriteString(c, head+"hello"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	r.record.line("client gets %d for %s, stamp %q", resp.StatusCode, id, resp.Header.Get("Response-Stamp"))
	return resp.StatusCode, nil
}
