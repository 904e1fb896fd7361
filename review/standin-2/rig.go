package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is a small deployment: a store, and machines with one node and one target each.
type rig struct {
	dir      string
	binary   string
	ports    ports
	store    *store
	machines []*machine
	record   *record
	version  int
	// grace is the grace period in the settings, in seconds.
	grace int
}

// ports are the listening ports, which are the same on all machines.
type ports struct{ callers, peers, ready, heartbeats, metrics, target int }

// freePorts finds ports that are free on all loopback addresses.
func freePorts() (p ports) {
	for _, dst := range []*int{&p.callers, &p.peers, &p.ready, &p.heartbeats, &p.metrics, &p.target} {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			fail("no free port: %v", err)
		}
		*dst = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	return p
}

// fail ends the program: the case could not run.
func fail(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the deployment.
type machine struct {
	rig     *rig
	name    string
	ip      string
	zone    string
	service string
	target  *target

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

func newRig(binary, recordPath string) *rig {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	r := &rig{dir: dir, binary: binary, ports: freePorts(), record: newRecord(recordPath), grace: 6}
	r.store = newStore(r.record)
	return r
}

// addMachine adds a machine with a target, which registers itself. The node is not started.
func (r *rig) addMachine(name, ip, zone, service, id string, slots int) *machine {
	m := &machine{rig: r, name: name, ip: ip, zone: zone, service: service}
	m.target = newTarget(r, m, id, slots)
	r.machines = append(r.machines, m)
	return m
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) settingsPath() string { return filepath.Join(m.rig.dir, m.name+".yaml") }

func (m *machine) writeSettings() {
	p := m.rig.ports
	text := fmt.Sprintf(`node: %q
service: %q
data_centre: %q
listen:
  callers: %q
  peers: %q
  ready: %q
  heartbeats: %q
  metrics: %q
upstream:
  address: %q
store:
  address: %q
limits:
  memory_mb: 284
  descriptors: 4100
bounds:
  grace_seconds: %d
  retry_ratio: 0.2
  retry_slack: 49
  retry_window_seconds: 10
`, m.name, m.service, m.zone, m.addr(p.callers), m.addr(p.peers), m.addr(p.ready), m.addr(p.heartbeats), m.addr(p.metrics),
		m.addr(p.target), m.rig.store.addr, m.rig.grace)
	if err := os.WriteFile(m.settingsPath(), []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// startNode starts the node's process.
func (m *machine) startNode() {
	m.writeSettings()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.log == nil {
		f, err := os.Create(filepath.Join(m.rig.dir, m.name+".log"))
		if err != nil {
			fail("log: %v", err)
		}
		m.log = f
	}
	cmd := exec.Command(m.rig.binary, "sidecar")
	cmd.Env = []string{"SHALLOTSPOOL_BOOT=" + m.settingsPath(), "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		fail("start of %s: %v", m.name, err)
	}
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		m.rig.record.line("node %s ended: %v", m.name, err)
		close(exited)
	}()
	m.cmd, m.exited = cmd, exited
	m.rig.record.line("node %s started", m.name)
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rig.record.line("signal %v to node %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// hasExited reports whether the node's process has ended.
func (m *machine) hasExited() bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.addr(m.rig.ports.ready) + "/shallotspool/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func (r *rig) startAll() {
	for _, m := range r.machines {
		m.startNode()
	}
	end := time.Now().Add(20 * time.Second)
	for _, m := range r.machines {
		for !m.ready() {
			if time.Now().After(end) {
				fail("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Heartbeats are known everywhere after a second or two.
	time.Sleep(3 * time.Second)
}

// close ends all processes and removes the temporary folder, unless KEEP is set in the environment.
func (r *rig) close() {
	r.killAll()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs of the nodes:", r.dir)
		return
	}
	_ = os.RemoveAll(r.dir)
}

// killAll ends all processes.
func (r *rig) killAll() {
	for _, m := range r.machines {
		m.mu.Lock()
		cmd, exited := m.cmd, m.exited
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
	}
}

// routeConfig is one route of a configuration.
type routeConfig struct {
	host, prefix, kind, service string
	timeoutMS, attempts         int
	// split divides the requests among services; service is empty then.
	split []weighted
}

// weighted is a service with its weight in a split.
type weighted struct {
	service string
	weight  int
}

// destination returns the fields of the configuration that say where the route leads.
func (c routeConfig) destination() string {
	if len(c.split) == 0 {
		return fmt.Sprintf(`"service":%q`, c.service)
	}
	var parts []string
	for _, w := range c.split {
		parts = append(parts, fmt.Sprintf(`{"service":%q,"weight":%d}`, w.service, w.weight))
	}
	return `"traffic_split":[` + strings.Join(parts, ",") + `]`
}

// putConfig writes a configuration to the store.
func (r *rig) putConfig(routes []routeConfig, services []string) {
	r.version += 3
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"services":[`, r.version)
	for i, s := range services {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":%q,"health_path":"/health","max_conns":424,"protocol":"h1","tls_mode":false}`, s)
	}
	b.WriteString(`],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"virtual_hosts":[`)
	for i, rt := range routes {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"host":%q,"path_rules":[{"name":"r-%d","prefix":%q,"kind":%q,"timeout_ms":%d,"latency_goal_ms":1000,"priority":1,%s,"max_attempts":%d}]}`,
			rt.host, i, rt.prefix, rt.kind, rt.timeoutMS, rt.destination(), rt.attempts)
	}
	b.WriteString(`]}`)
	r.record.line("operator writes version %d: %s", r.version, b.String())
	r.store.put("op/config", []byte(b.String()))
}

// run is one request as a target got it.
type run struct {
	id, method, uri, service, instance, caller string
	body                                       []byte
	header                                     http.Header
	at                                         time.Time
	executed                                   bool
}

// target is the application target of a machine.
type target struct {
	rig     *rig
	machine *machine
	id      string
	slots   int
	born    int64
	// handle answers a request that is for this target; nil answers after work.
	handle func(c net.Conn, r *http.Request, body []byte) (keep bool)
	work   time.Duration

	mu       sync.Mutex
	seq      int
	state    string
	listener net.Listener
	conns    map[net.Conn]struct{}
	runs     []run
	stopBeat chan struct{}
}

func newTarget(r *rig, m *machine, id string, slots int) *target {
	t := &target{rig: r, machine: m, id: id, slots: slots, born: time.Now().UnixMilli(), work: 20 * time.Millisecond, state: "ready", conns: map[net.Conn]struct{}{}}
	t.start()
	t.register()
	return t
}

func (t *target) start() {
	l, err := net.Listen("tcp", t.machine.addr(t.rig.ports.target))
	if err != nil {
		fail("target: %v", err)
	}
	t.listener = l
	t.stopBeat = make(chan struct{})
	stop := t.stopBeat
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[c] = struct{}{}
			t.mu.Unlock()
			go t.serve(c)
		}
	}()
	go func() {
		tick := time.NewTicker(1500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				t.register()
			}
		}
	}()
}

// register writes the entry of the target.
func (t *target) register() {
	t.mu.Lock()
	t.seq++
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity_slots":%d,"instance_state":%q,"cold_left_ms":0,"sequence":%d,"born":%d}`,
		t.machine.service, t.machine.addr(t.rig.ports.target), t.machine.zone, t.slots, t.state, t.seq, t.born)
	t.mu.Unlock()
	t.rig.store.put("servers/"+t.id, []byte(text))
}

// end closes the target's listener and connections.
func (t *target) end() {
	close(t.stopBeat)
	t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (t *target) serve(c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			if err != io.EOF {
				t.rig.record.line("target %s: request not read: %v", t.id, err)
			}
			return
		}
		expect := req.Header.Get("Expect-Instance")
		id := req.Header.Get("Request-Id")
		if expect != "" && expect != t.id {
			_, _ = io.Copy(io.Discard, req.Body)
			t.rig.record.line("target %s: 421 for %s, which expects %s", t.id, id, expect)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id, id)
			continue
		}
		if req.URL.Path == "/health" && req.Method == "GET" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
			continue
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.rig.record.line("target %s: body of %s not read: %v", t.id, id, err)
			return
		}
		t.mu.Lock()
		t.runs = append(t.runs, run{id: id, method: req.Method, uri: req.RequestURI, service: t.machine.service, instance: t.id,
			caller: strings.Join(req.Header.Values("Caller-Service"), "|"), body: body, header: req.Header, at: time.Now(), executed: true})
		t.mu.Unlock()
		t.rig.record.line("target %s (%s) runs %s %s %s, %d bytes, Caller-Service %q", t.id, t.machine.service, id, req.Method, req.RequestURI, len(body),
			req.Header.Values("Caller-Service"))
		if t.handle != nil {
			if !t.handle(c, req, body) {
				return
			}
			continue
		}
		t.mu.Lock()
		work := t.work
		t.mu.Unlock()
		time.Sleep(work)
		if !t.answer(c, req, 200, t.body(id)) {
			return
		}
	}
}

// body is the body of the answer to a request.
func (t *target) body(id string) []byte {
	return []byte("answer to " + id + " by " + t.machine.service)
}

// answer writes a whole answer.
func (t *target) answer(c net.Conn, req *http.Request, status int, body []byte) bool {
	id := req.Header.Get("Request-Id")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Stamp: st.%s.%s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), id, t.id, id, len(body))
	if req.Method != "HEAD" {
		b.Write(body)
	}
	_, err := c.Write(b.Bytes())
	t.rig.record.line("target %s answers %s with %d", t.id, id, status)
	return err == nil
}

func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}

// runsOf returns all runs of a request at any target.
func (r *rig) runsOf(id string) (out []run) {
	for _, m := range r.machines {
		for _, x := range m.target.allRuns() {
			if x.id == id {
				out = append(out, x)
			}
		}
	}
	return out
}

// get sends one read on a new connection to the node of m.
func (r *rig) get(m *machine, path, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", m.addr(r.ports.callers), time.Second)
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

// setWork sets how long the target works on each request that begins from now on.
func (t *target) setWork(work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = work
}
