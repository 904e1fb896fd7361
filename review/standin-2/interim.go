package main

import (
	"bufio"
	"bytes"
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
	// interimTime is how long clients send requests.
	interimTime = 75 * time.Second
	// interimClients is the number of clients, each on one connection to a node, and
	// interimWindow the number of requests that each has open.
	interimClients = 4
	interimWindow  = 8
	// interimWork is the time that targets work on a request.
	interimWork = 60 * time.Millisecond
	// answerBytes is the size of answers, uploadBytes that of the bodies of uploads.
	answerBytes = 6000
	uploadBytes = 700
)

// playInterim has clients that keep several idempotent requests open on one connection: reads, and
// uploads that with trouble have the field "Expect: 100-continue". It returns the number of answers
// that were not the target's.
func playInterim(r *rig, trouble bool) (violations int) {
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range 6 {
		service := []string{"front", "lists"}[i%2]
		m := r.addMachine(fmt.Sprintf("m-%d", i), fmt.Sprintf("127.42.%d.1", i+1), zones[i/2], service, fmt.Sprintf("i-%d", i), 50)
		t := m.target
		t.handle = func(c net.Conn, q *http.Request, body []byte) bool {
			time.Sleep(interimWork)
			return t.answer(c, q, http.StatusOK, interimAnswer(q.Header.Get("Request-Id")))
		}
	}
	r.putConfig([]routeConfig{{host: "lists.example", prefix: "/lists/", kind: "idempotent", service: "lists", timeoutMS: 3000, attempts: 2}}, []string{"front", "lists"})
	r.startAll()

	var answered, wrong, failed atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(interimTime)
	for k := range interimClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(end); n++ {
				ok, bad, err := r.pipeline(fmt.Sprintf("c%d.%d", k, n), r.machines[2*(k%3)], trouble, end)
				answered.Add(int64(ok))
				if bad {
					wrong.Add(1)
				}
				if err != nil {
					failed.Add(1)
					r.record.line("client c%d.%d: connection ends: %v", k, n, err)
				}
			}
		}()
	}
	clients.Wait()
	fmt.Printf("%d whole answers, %d answers that are not the target's, %d connections failed\n", answered.Load(), wrong.Load(), failed.Load())
	if answered.Load() < 1000 {
		fail("too few answers")
	}
	return int(wrong.Load())
}

// interimAnswer is the body of a target's answer.
func interimAnswer(id string) []byte {
	text := "answer to " + id + " "
	return []byte(text + strings.Repeat("x", answerBytes-len(text)))
}

// pipeline keeps interimWindow requests open on one connection to the node of m until a time. It
// ends the connection at the first answer that is not the target's.
func (r *rig) pipeline(name string, m *machine, trouble bool, end time.Time) (answered int, wrong bool, err error) {
	c, err := net.DialTimeout("tcp", m.address(r.ports.callers), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	type request struct{ id, method string }
	var open []request
	in := bufio.NewReader(c)
	for n := 0; ; {
		for len(open) < interimWindow && time.Now().Before(end) {
			q := request{fmt.Sprintf("%s-%d", name, n), http.MethodGet}
			text := ""
			if n%2 == 1 {
				q.method = http.MethodPut
				text = fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
				if trouble {
					text += "Expect: 100-continue\r\n"
				}
			}
			text = fmt.Sprintf("%s /lists/9 HTTP/1.1\r\nHost: lists.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n%s\r\n", q.method, q.id, text)
			if q.method == http.MethodPut {
				text += strings.Repeat("u", uploadBytes)
			}
			if _, err := io.WriteString(c, text); err != nil {
				return answered, false, err
			}
			r.record.line("client sends %s %s, %d open before it", q.method, q.id, len(open))
			open = append(open, q)
			n++
		}
		if len(open) == 0 {
			return answered, false, nil
		}
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		q := open[0]
		resp, body, err := readFinal(in, q.method)
		if err != nil {
			return answered, false, err
		}
		open = open[1:]
		if resp.StatusCode != http.StatusOK || resp.Header.Get("Response-Stamp") == "" {
			r.record.line("client gets %d for %s", resp.StatusCode, q.id)
			continue
		}
		want := interimAnswer(q.id)
		if !bytes.Equal(body, want) {
			at := 0
			for at < min(len(body), len(want)) && body[at] == want[at] {
				at++
			}
			r.record.line("VIOLATION: the 200 for %s (stamp %s) has a body that is not the target's: %d bytes, from byte %d on %q", q.id,
				resp.Header.Get("Response-Stamp"), len(body), at, body[at:min(len(body), at+40)])
			return answered, true, nil
		}
		answered++
		r.record.line("client gets the whole answer to %s", q.id)
	}
}

// readFinal reads an answer and passes over interim ones before it.
func readFinal(in *bufio.Reader, method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, body, nil
		}
	}
}
