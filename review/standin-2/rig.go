package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// startTimeout is how long the nodes may take to become ready, and settleTime the time after
	// which each knows the others.
	startTimeout = 20 * time.Second
	settleTime   = 3 * time.Second
	// versionStep is the step between two versions of the configuration.
	versionStep = 3
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
}

// ports are the listening ports. All machines use the same, each on its own loopback address.
type ports struct{ callers, peers, ready, heartbeats, metrics, target int }

// minPort and maxPort bound the ports. They lie below those that the system gives to outgoing
// connections: one that has ended on an address of a machine keeps its port for a minute.
const minPort, maxPort = 12_000, 32_000

// freePorts finds free ports.
func freePorts() (p ports) {
	for _, port := range []*int{&p.callers, &p.peers, &p.ready, &p.heartbeats, &p.metrics, &p.target} {
		for tries := 0; *port == 0; tries++ {
			candidate := minPort + rand.IntN(maxPort-minPort)
			l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(candidate)))
			if err != nil && tries == 100 {
				fail("no free port: %v", err)
			}
			if err == nil {
				defer l.Close()
				*port = candidate
			}
		}
	}
	return p
}

// fail ends the case, which could not run.
func fail(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

func newRig(binary, recordPath string) *rig {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	r := &rig{dir: dir, binary: binary, ports: freePorts(), record: newRecord(recordPath)}
	r.store = newStore(r.record)
	return r
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

// machine is one machine of the deployment, with a node and a target.
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
}

// addMachine adds a machine with a target, which registers itself. The node is not started.
func (r *rig) addMachine(name, ip, zone, service, targetID string, slots int) *machine {
	m := &machine{rig: r, name: name, ip: ip, zone: zone, service: service}
	m.target = newTarget(m, targetID, slots)
	r.machines = append(r.machines, m)
	return m
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings are those that deploy/settings.yaml.tmpl gives for a machine of a small deployment.
const settings = `node: %q
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
  grace_seconds: 6
  retry_ratio: 0.2
  retry_slack: 49
  retry_window_seconds: 10
`

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() {
	p := m.rig.ports
	path := filepath.Join(m.rig.dir, m.name+".yaml")
	text := fmt.Sprintf(settings, m.name, m.service, m.zone, m.address(p.callers), m.address(p.peers), m.address(p.ready),
		m.address(p.heartbeats), m.address(p.metrics), m.address(p.target), m.rig.store.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(m.rig.dir, m.name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	cmd := exec.Command(m.rig.binary, "sidecar")
	cmd.Env = []string{"SHALLOTSPOOL_BOOT=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fail("start of %s: %v", m.name, err)
	}
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		m.rig.record.line("node %s ended: %v", m.name, err)
		_ = log.Close()
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.rig.record.line("node %s started", m.name)
}

// ready asks the node whether it accepts requests.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.address(m.rig.ports.ready) + "/shallotspool/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready and know each other.
func (r *rig) startAll() {
	for _, m := range r.machines {
		m.startNode()
	}
	end := time.Now().Add(startTimeout)
	for _, m := range r.machines {
		for !m.ready() {
			if time.Now().After(end) {
				fail("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
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

// routeConfig is one route of a configuration. It leads to one service or is split.
type routeConfig struct {
	host, prefix, kind, service string
	timeoutMS, attempts         int
	split                       []weighted
}

// weighted is a service with its weight in a split.
type weighted struct {
	service string
	weight  int
}

// destination returns the fields that say where the route leads.
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

// limitsConfig are the limits on callers of all configurations.
const limitsConfig = `{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}`

// putConfig has the operator write the next version of the configuration.
func (r *rig) putConfig(routes []routeConfig, services []string) {
	r.version += versionStep
	var listed, hosts []string
	for _, s := range services {
		listed = append(listed, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":424,"protocol":"h1","tls_mode":false}`, s))
	}
	for i, rt := range routes {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"path_rules":[{"name":"r-%d","prefix":%q,"kind":%q,"timeout_ms":%d,"latency_goal_ms":1000,"priority":1,%s,"max_attempts":%d}]}`,
			rt.host, i, rt.prefix, rt.kind, rt.timeoutMS, rt.destination(), rt.attempts))
	}
	text := fmt.Sprintf(`{"version":%d,"services":[%s],"limits":%s,"virtual_hosts":[%s]}`, r.version, strings.Join(listed, ","), limitsConfig, strings.Join(hosts, ","))
	r.record.line("operator writes version %d: %s", r.version, text)
	r.store.put("op/config", []byte(text))
}
