package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often a target writes its entry.
	heartbeatInterval = 1500 * time.Millisecond
	// defaultWork is the time that a target works on a request, unless setWork changes it.
	defaultWork = 20 * time.Millisecond
)

// run is one request that a target ran.
type run struct{ id, service, instance string }

// target is the application target of a machine.
type target struct {
	machine *machine
	id      string
	slots   int
	born    int64
	// handle, if set, answers a request in place of a success after work. It reports whether the
	// connection stays open.
	handle func(c net.Conn, q *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	work     time.Duration
	sequence int
	runs     map[string][]run
}

func newTarget(m *machine, id string, slots int) *target {
	t := &target{machine: m, id: id, slots: slots, born: time.Now().UnixMilli(), work: defaultWork, runs: map[string][]run{}}
	l, err := net.Listen("tcp", m.address(m.rig.ports.target))
	if err != nil {
		fail("target: %v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	t.register()
	go func() {
		for range time.Tick(heartbeatInterval) {
			t.register()
		}
	}()
	return t
}

// register writes the entry of the target.
func (t *target) register() {
	m := t.machine
	t.mu.Lock()
	t.sequence++
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity_slots":%d,"instance_state":"ready","cold_left_ms":0,"sequence":%d,"born":%d}`,
		m.service, m.address(m.rig.ports.target), m.zone, t.slots, t.sequence, t.born)
	t.mu.Unlock()
	m.rig.store.put("servers/"+t.id, []byte(text))
}

// setWork sets how long the target works on each request that begins from now on.
func (t *target) setWork(work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = work
}

// serve runs the requests of one connection, one at a time.
func (t *target) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != t.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id, id)
			continue
		}
		t.mu.Lock()
		t.runs[id] = append(t.runs[id], run{id: id, service: t.machine.service, instance: t.id})
		work := t.work
		t.mu.Unlock()
		t.machine.rig.record.line("target %s of %s runs %s %s %s, %d bytes", t.id, t.machine.service, q.Method, q.RequestURI, id, len(body))
		if t.handle != nil {
			if !t.handle(c, q, body) {
				return
			}
			continue
		}
		time.Sleep(work)
		if !t.answer(c, q, http.StatusOK, t.body(id)) {
			return
		}
	}
}

// body is the body of a success.
func (t *target) body(id string) []byte {
	return []byte("answer to " + id + " by " + t.machine.service)
}

// answer writes a whole answer with the target's stamp.
func (t *target) answer(c net.Conn, q *http.Request, status int, body []byte) bool {
	id := q.Header.Get("Request-Id")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Stamp: st.%s.%s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), id, t.id, id, len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	t.machine.rig.record.line("target %s answers %s with %d", t.id, id, status)
	return err == nil
}

// runsOf returns all runs of a request at any target.
func (r *rig) runsOf(id string) (out []run) {
	for _, m := range r.machines {
		m.target.mu.Lock()
		out = append(out, m.target.runs[id]...)
		m.target.mu.Unlock()
	}
	return out
}

// get sends one read on a new connection to the node of m.
func (r *rig) get(m *machine, path, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", m.address(r.ports.callers), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	r.record.line("client sends GET %s %s to node %s", path, id, m.name)
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: lists.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", path, id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	r.record.line("client gets %d for %s", resp.StatusCode, id)
	return resp.StatusCode, err
}
