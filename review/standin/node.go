package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// ports are the ports of a machine; all machines of a deployment have the same.
type ports struct{ inbound, app, ready, outbound, rangeFirst int }

const portRangeLength = 15

// machine is one instance: a node as a process, and its target.
type machine struct {
	dep    *deployment
	name   string
	ip     string
	target *target
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
	peak   int64 // the most memory that a process took
	ends   int   // how often a process was ended because it took too much memory
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *recorder
	dir      string // temporary folder for settings and logs
	root     string // root of the repository
	ports    ports
	net      string
	store    *store
	machines []*machine
	stop     chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills in the template of the deploy file.
func (m *machine) settings() (string, error) {
	text, err := os.ReadFile(filepath.Join(m.dep.root, "deploy", "settings.yaml.tmpl"))
	if err != nil {
		return "", err
	}
	p := m.dep.ports
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	values := map[string]any{
		"node_name": m.name, "service": m.target.service, "zone": m.target.zone, "ip_addr": m.ip, "app_addr": m.target.address,
		"listen_addrs.outbound": at(p.outbound), "listen_addrs.inbound": at(p.inbound), "listen_addrs.ready": at(p.ready),
		"port_range.0": p.rangeFirst, "port_range.1": p.rangeFirst + portRangeLength, "platform.address": m.dep.store.address,
		"limits.memory_mb": memoryMB, "limits.max_fds": 4100, "bounds.grace_s": 6, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 49,
		"bounds.budget_window_s": 10,
	}
	var missing []string
	out := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		match := placeholder.FindStringSubmatch(s)
		v, ok := values[match[1]]
		if !ok {
			missing = append(missing, match[1])
		}
		if match[2] != "" {
			return fmt.Sprintf("%q", fmt.Sprint(v))
		}
		return fmt.Sprint(v)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the template names unknown fields %v", missing)
	}
	return out, nil
}

// memoryMB is limits.memory_mb of the small deployments of the users.
const memoryMB = 284

func newDeployment(rec *recorder) (*deployment, error) {
	root, err := filepath.Abs(os.Getenv("REVIEW_ROOT"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{rec: rec, dir: dir, root: root, net: fmt.Sprintf("127.%d.%d", 32+pid%64, (pid/64)%250), stop: make(chan struct{})}
	d.ports, err = freePorts(d.net + ".1")
	if err != nil {
		return nil, err
	}
	d.store, err = startStore(d.net+".250:0", rec)
	return d, err
}

// freePorts finds ports that are free at an address that nothing else uses.
func freePorts(ip string) (ports, error) {
	for base := 21000; base < 30000; base += 100 {
		free := true
		for i := range 30 {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ports{base, base + 1, base + 2, base + 4, base + 6}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// add adds a machine with its target, and registers the target.
func (d *deployment) add(service, zone string) (*machine, error) {
	i := len(d.machines) + 1
	m := &machine{dep: d, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: fmt.Sprintf("%s.%d", d.net, i)}
	t, err := startTarget(fmt.Sprintf("i-%08d", i), service, zone, fmt.Sprintf("%s:%d", m.ip, d.ports.app), d.rec)
	if err != nil {
		return nil, err
	}
	m.target = t
	d.machines = append(d.machines, m)
	return m, nil
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.dep.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	m.log, err = os.OpenFile(filepath.Join(m.dep.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/shallotd", "sidecar")
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = m.dep.root, m.log, m.log
	m.cmd.Env = []string{"SHALLOTSPOOL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	cmd, exited := m.cmd, m.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	m.dep.rec.logf("node %s starts, pid %d", m.name, m.cmd.Process.Pid)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.dep.rec.logf("node %s gets signal %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// running reports whether the process of the node runs.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// startAll registers all targets, keeps their entries fresh, starts the nodes, and waits until
// all are ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		d.store.put(targetKey(m.target.id), m.target.registration())
	}
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	go d.askReady()
	end := time.Now().Add(15 * time.Second)
	for _, m := range d.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks a node as the platform does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/shallotspool/ready", m.ip, m.dep.ports.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// askReady asks all nodes once per second, as the platform does.
func (d *deployment) askReady() {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(time.Second):
		}
		for _, m := range d.machines {
			if !m.ready() {
				d.rec.logf("node %s is not ready", m.name)
			}
		}
	}
}

// close ends all processes, and removes the temporary folder.
func (d *deployment) close() {
	close(d.stop)
	for _, m := range d.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}

// answer is what a client has got. status is 0 if the connection ended without an answer.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	sentAt time.Time
	took   time.Duration
	err    error
}

// client sends requests one after the other, on a kept connection.
type client struct {
	m    *machine
	conn net.Conn
	in   *bufio.Reader
}

func (m *machine) client() *client { return &client{m: m} }

// do sends one request and waits for its answer. body may be nil.
func (c *client) do(method, path, id string, deadline time.Duration, bodyBytes int64) (a answer) {
	a = answer{id: id, sentAt: time.Now()}
	rec := c.m.dep.rec
	defer func() {
		a.took = time.Since(a.sentAt)
		rec.logf("client at %s: %s %s, id %s: %d after %d ms %v", c.m.name, method, path, id, a.status, a.took.Milliseconds(), errText(a.err))
		if a.status == 0 || strings.EqualFold(a.header.Get("Connection"), "close") {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.m.ip, c.m.dep.ports.outbound), time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, callHost, id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		a.err = err
		return a
	}
	block := make([]byte, 64<<10)
	for left := bodyBytes; left > 0; {
		n, err := c.conn.Write(block[:min(left, int64(len(block)))])
		if err != nil {
			a.err = err
			return a
		}
		left -= int64(n)
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header, a.body = resp.StatusCode, resp.Header, string(content)
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
