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

// instance is one node as a process, its upstream, and the proxies between them
// and the rest.
type instance struct {
	index    int
	service  string
	ip       string
	ports    ports
	dir      string
	binary   string
	upstream *upstream
	// fromPeers, toUpstream and toStore are the links that can be harmed.
	fromPeers, toUpstream, toStore *proxy
	// replacing is held while the process is ended and started.
	replacing sync.Mutex
	draining  bool
	born      int64

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// ports are the same on all instances.
type ports struct{ callers, peers, ready, heartbeats, metrics, upstream, store int }

const settingsText = `node: "%[1]s"
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
`

// newInstance prepares instance i, which nothing of runs yet. Others reach its node
// at ip through a proxy; the node itself listens at the IP after it, where it also
// finds its upstream, through another proxy.
func newInstance(i int, service string, p ports, o Options, store string, l *ledger) (*instance, error) {
	n := &instance{index: i, service: service, ip: fmt.Sprintf("127.20.%d.1", i+1), ports: p, dir: o.Dir, binary: o.Binary, born: time.Now().UnixMilli()}
	inner := fmt.Sprintf("127.20.%d.2", i+1)
	n.upstream = &upstream{
		ledger: l, service: service, id: fmt.Sprintf("u%d", i), address: n.address(p.upstream),
		outbound: n.address(p.callers), work: workTime, broken: o.Broken,
	}
	ratio := retryRatio
	if o.Broken == manyRepeats {
		ratio = 100
	}
	text := fmt.Sprintf(settingsText, n.ip, service, n.dataCentre(), p.callers, inner, p.peers, p.ready, p.heartbeats,
		p.metrics, p.upstream, p.store, ratio, retrySlack, retryWindow.Seconds())
	if err := os.WriteFile(n.settings(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	for _, link := range []struct {
		into     **proxy
		from, to string
	}{
		{&n.fromPeers, n.address(p.peers), fmt.Sprintf("%s:%d", inner, p.peers)},
		{&n.toUpstream, fmt.Sprintf("%s:%d", inner, p.upstream), n.address(p.upstream)},
		{&n.toStore, n.address(p.store), store},
	} {
		var err error
		if *link.into, err = newProxy(link.from, link.to); err != nil {
			return nil, err
		}
	}
	return n, n.upstream.start()
}

// workTime is what an upstream works on a request.
const workTime = 15 * time.Millisecond

func (n *instance) dataCentre() string { return []string{"a", "b"}[n.index%2] }

func (n *instance) settings() string {
	return filepath.Join(n.dir, fmt.Sprintf("node%d.yaml", n.index))
}

func (n *instance) address(port int) string { return net.JoinHostPort(n.ip, fmt.Sprint(port)) }

// entry is what the upstream writes of itself into the store.
func (n *instance) entry() *registry.Upstream {
	return &registry.Upstream{
		ID: n.upstream.id, Service: n.service, Address: n.upstream.address, DataCentre: n.dataCentre(), Slots: slots,
		Draining: n.draining, Born: n.born,
	}
}

// slots is the number of requests that an upstream works on at once.
const slots = 20

// start runs the node's process.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		f, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("node%d.log", n.index)))
		if err != nil {
			return err
		}
		n.log = f
	}
	cmd := exec.Command(n.binary, "sidecar", "-config", n.settings())
	cmd.Stdout, cmd.Stderr = n.log, n.log
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

// signal sends a signal to the node's process.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// gone waits for the end of the process; it is false if that takes too long.
func (n *instance) gone(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// end stops the process for good.
func (n *instance) end() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.gone(endLimit)
	n.upstream.crash()
	for _, p := range []*proxy{n.fromPeers, n.toUpstream, n.toStore} {
		_ = p.listener.Close()
		p.resetAll()
	}
	_ = n.log.Close()
}

// endLimit is how long a killed process may take to be gone.
const endLimit = 5 * time.Second

// ready asks the node whether it takes callers.
func (n *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.address(n.ports.ready) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
