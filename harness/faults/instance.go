package faults

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/platform"
)

// instance is one node process with its upstream and the proxies that connect the two
// with each other, with the peers and with the store.
type instance struct {
	index    int
	service  string
	ip       string // the first of two; see newInstance
	ports    ports
	dir      string // directory for the settings file and the log
	binary   string
	upstream *upstream
	// peerProxy carries connections from peers to the node, upstreamProxy those from
	// the node to its upstream, storeProxy those from the node to the store.
	peerProxy, upstreamProxy, storeProxy *proxy
	// restartMutex is held from the signal that ends a process until the next process is
	// started.
	restartMutex sync.Mutex
	draining     bool  // as published in the upstream's registry entry
	entryWrites  int64 // counts the writes of the registry entry
	born         int64 // Unix time in milliseconds; see registry.Upstream

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	logFile *os.File
	// peakMemory is the most memory that a process of the node took, in bytes.
	peakMemory int64
}

// ports are the listening ports; each instance uses the same ones on its own IPs.
type ports struct{ callers, peers, ready, heartbeats, metrics, upstream, store int }

const settingsTemplate = `node: "%[1]s"
service: "%[2]s"
data_centre: "%[3]s"
listen:
  callers: "%[1]s:%[4]d"
  peers: "%[5]s:%[6]d"
  ready: "%[1]s:%[7]d"
  heartbeats: "%[1]s:%[8]d"
  metrics: "%[1]s:%[9]d"
upstream:
  address: "%[5]s:%[10]d"
store:
  address: "%[1]s:%[11]d"
bounds:
  grace_seconds: 6
  retry_ratio: %[12]v
  retry_slack: %[13]v
  retry_window_seconds: %[14]v
limits:
  memory_mb: %[15]d
`

// newInstance prepares instance i and starts its upstream and proxies, but not the
// node's process. The instance has two IPs, so that proxies can use the same ports as
// what they stand in front of. peerProxy listens on the first IP and forwards to the
// node on the second; upstreamProxy listens on the second and forwards to the upstream
// on the first. All else listens on the first IP.
func newInstance(i int, service string, p ports, o Options, store string, h *history) (*instance, error) {
	n := &instance{index: i, service: service, ip: fmt.Sprintf("127.20.%d.1", i+1), ports: p, dir: o.Dir, binary: o.Binary, born: time.Now().UnixMilli()}
	secondIP := fmt.Sprintf("127.20.%d.2", i+1)
	n.upstream = &upstream{
		history: h, service: service, id: fmt.Sprintf(upstreamIDFormat, i), address: n.address(p.upstream),
		nodeAddress: n.address(p.callers), workTime: upstreamWorkTime, defect: o.Defect,
		outlivedByListener: o.Scenario == ListenerScenario, streamsBodies: o.Scenario == UploadScenario,
	}
	if o.Scenario == StopScenario {
		n.upstream.workTime = stopWorkTime
	}
	ratio := retryRatio
	if o.Defect == unlimitedRetries {
		ratio = 100
	}
	text := fmt.Sprintf(settingsTemplate, n.ip, service, n.dataCentre(), p.callers, secondIP, p.peers, p.ready, p.heartbeats,
		p.metrics, p.upstream, p.store, ratio, retrySlack, retryWindow.Seconds(), o.MemoryMB)
	if err := os.WriteFile(n.settingsPath(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	for _, link := range []struct {
		result   **proxy
		from, to string
	}{
		{&n.peerProxy, n.address(p.peers), fmt.Sprintf("%s:%d", secondIP, p.peers)},
		{&n.upstreamProxy, fmt.Sprintf("%s:%d", secondIP, p.upstream), n.address(p.upstream)},
		{&n.storeProxy, n.address(p.store), store},
	} {
		var err error
		if *link.result, err = newProxy(link.from, link.to); err != nil {
			return nil, err
		}
	}
	n.upstream.proxy = n.upstreamProxy
	return n, n.upstream.start()
}

// upstreamIDFormat is the ID of an upstream by the index of its instance.
const upstreamIDFormat = "u%d"

// upstreamWorkTime is the processing time of a request in an upstream.
const upstreamWorkTime = 15 * time.Millisecond

// dataCentres are those of the instances, which alternate between them.
var dataCentres = []string{"a", "b"}

// dataCentre returns the data centre of the instance.
func (n *instance) dataCentre() string { return dataCentres[n.index%len(dataCentres)] }

// settingsPath returns the path of the node's settings file.
func (n *instance) settingsPath() string {
	return filepath.Join(n.dir, fmt.Sprintf("node%d.yaml", n.index))
}

// address returns the address of a port on the first IP of the instance.
func (n *instance) address(port int) string { return net.JoinHostPort(n.ip, fmt.Sprint(port)) }

// registryEntry returns the next entry that announces the upstream in the store.
func (n *instance) registryEntry() *registry.Upstream {
	n.entryWrites++
	return &registry.Upstream{
		ID: n.upstream.id, Service: n.service, Address: n.upstream.address, DataCentre: n.dataCentre(), Slots: upstreamSlots,
		Draining: n.draining, Born: n.born, Sequence: n.entryWrites,
	}
}

// upstreamSlots is the number of requests that an upstream processes concurrently.
const upstreamSlots = 20

// start starts the node's process.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.logFile == nil {
		f, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("node%d.log", n.index)))
		if err != nil {
			return err
		}
		n.logFile = f
	}
	cmd := exec.Command(n.binary, "sidecar", "-config", n.settingsPath())
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.command, n.exited = cmd, exited
	return nil
}

// signal sends a signal to the node's process, if one was started.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// waitExited waits up to limit for the process to exit and returns whether it did.
func (n *instance) waitExited(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
	}
	// Both may have been ready.
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// close ends the process, the upstream and the proxies for good.
func (n *instance) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.waitExited(killTimeout)
	n.upstream.crash()
	for _, p := range []*proxy{n.peerProxy, n.upstreamProxy, n.storeProxy} {
		_ = p.listener.Close()
		p.resetConnections()
	}
	_ = n.logFile.Close()
}

// killTimeout bounds the time that a process takes to exit after SIGKILL.
const killTimeout = 5 * time.Second

// isReady queries the node's readiness endpoint.
func (n *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.address(n.ports.ready) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
