// Package fleet runs real nodes in one process over loopback TCP, with the test
// doubles of package standin as their upstreams and platform.
package fleet

import (
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/harness/standin"
	"github.com/shallotspool/shallotspool/node/daemon"
)

// UpstreamConfig describes the capacity of one upstream: the number of requests it
// runs concurrently and its working time per request.
type UpstreamConfig struct {
	Slots    int
	WorkTime time.Duration
}

// Fleet runs one node and one upstream for each target of a document.
type Fleet struct {
	Document *document.Document
	Platform *standin.Platform

	mu               sync.Mutex
	upstreams        map[string]*standin.Upstream
	nodes            map[string]*daemon.Daemon
	instances        []membership.Instance
	servicesByTarget map[string]string
}

// Start starts the fleet of a document and waits until it is ready. configs holds
// the capacity of the upstreams by service name; a service without an entry has
// many slots and no working time.
func Start(text []byte, configs map[string]UpstreamConfig) (*Fleet, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	platform, err := standin.NewPlatform()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Document: doc, Platform: platform, upstreams: map[string]*standin.Upstream{},
		nodes: map[string]*daemon.Daemon{}, servicesByTarget: map[string]string{},
	}
	for _, service := range doc.Services {
		config, ok := configs[service.Name]
		if !ok {
			config = UpstreamConfig{Slots: 4096}
		}
		for i := 1; i <= service.TargetCount; i++ {
			if err := f.addTarget(service.Name, idempotency.TargetName(service.Name, i), config); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	platform.Publish(uint64(doc.Version), text)
	return f, f.waitReady()
}

// addTarget starts the upstream and the node of a target.
func (f *Fleet) addTarget(service, target string, config UpstreamConfig) error {
	u, err := standin.NewUpstream(config.Slots, config.WorkTime)
	if err != nil {
		return err
	}
	u.SetCallees(f.Document, service)
	f.upstreams[target] = u
	f.servicesByTarget[target] = service
	return f.StartNode(target)
}

// StartNode starts a new node beside the upstream of target. It adds the instance
// to the platform's list or replaces its earlier entry.
func (f *Fleet) StartNode(target string) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s := daemon.DefaultSettings()
	s.Target, s.Service, s.DataCentre = target, f.servicesByTarget[target], "dc1"
	s.ListenCallers, s.ListenUpstream, s.ListenPeers, s.ListenAdmin = loopback, loopback, loopback, loopback
	s.UpstreamAddress = netip.MustParseAddrPort(f.upstreams[target].Address)
	s.PlatformAddress = netip.MustParseAddrPort(f.Platform.Address)
	d, err := daemon.Start(s, io.Discard)
	if err != nil {
		return err
	}
	// daemon.Start has replaced the zero ports in s by those of the listeners.
	f.upstreams[target].SetNodeAddress(s.ListenUpstream.String())
	peers := s.ListenPeers.String()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[target] = d
	f.listInstance(membership.Instance{Target: target, Service: s.Service, DataCentre: "dc1", PeerAddress: peers, LinkAddress: peers})
	return nil
}

// listInstance adds an instance to the platform's list or replaces the earlier one
// of the same target.
func (f *Fleet) listInstance(inst membership.Instance) {
	instances := []membership.Instance{inst}
	for _, old := range f.instances {
		if old.Target != inst.Target {
			instances = append(instances, old)
		}
	}
	f.instances = instances
	f.Platform.SetInstances(instances)
}

// readyTimeout is the maximum time until a new fleet is ready.
const readyTimeout = 20 * time.Second

// waitReady waits until every node is serving, has the document and knows all
// other nodes.
func (f *Fleet) waitReady() error {
	for range readyTimeout / (20 * time.Millisecond) {
		if f.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("timed out waiting for all nodes to be serving, to have the document and to know each other")
}

func (f *Fleet) ready() bool {
	for _, d := range f.nodes {
		s := d.Status()
		if s.Document.Version == 0 || s.State != "serving" || s.PeerCount < len(f.nodes)-1 {
			return false
		}
	}
	return true
}

// Node returns the node of a target.
func (f *Fleet) Node(target string) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[target]
}

// Upstream returns the upstream of a target.
func (f *Fleet) Upstream(target string) *standin.Upstream { return f.upstreams[target] }

// Caller returns a new caller of the node of a target.
func (f *Fleet) Caller(target string) *standin.Caller {
	s := f.Node(target).Settings()
	return &standin.Caller{Address: s.ListenCallers.String()}
}

// RunCount returns how often the request with the given id ran on all upstreams.
// GET requests are not counted.
func (f *Fleet) RunCount(id string) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.RunCount(id)
	}
	return n
}

// DocumentInForce tells whether the given version of the document is in force at
// every node.
func (f *Fleet) DocumentInForce(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.nodes {
		if d.Status().Document.Version != version {
			return false
		}
	}
	return true
}

// ViolationCount returns the number of invariant violations that the nodes
// detected.
func (f *Fleet) ViolationCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.nodes {
		n += d.Status().ViolationCount
	}
	return n
}

// Close kills the nodes and shuts the upstreams and the platform down.
func (f *Fleet) Close() {
	for _, d := range f.nodes {
		d.Kill()
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	f.Platform.Close()
}
