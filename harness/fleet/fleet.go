// Package fleet runs real nodes over loopback TCP in one process, each beside a
// stand-in upstream, with a stand-in platform.
package fleet

import (
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/harness/standin"
	"github.com/shallotspool/shallotspool/node/daemon"
)

// Shape is what one upstream can do.
type Shape struct {
	Slots int
	Work  time.Duration
}

// Fleet is one node for each target of a document.
type Fleet struct {
	Document *document.Document
	Platform *standin.Platform

	mu        sync.Mutex
	upstreams map[string]*standin.Upstream
	nodes     map[string]*daemon.Daemon
	list      []member.Instance
	services  map[string]string
}

// Start runs the fleet of a document. The shape of a service that has none is
// many slots and no work.
func Start(text []byte, shapes map[string]Shape) (*Fleet, error) {
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
		nodes: map[string]*daemon.Daemon{}, services: map[string]string{},
	}
	for _, service := range doc.Services {
		shape, ok := shapes[service.Name]
		if !ok {
			shape = Shape{Slots: 4096}
		}
		for i := 1; i <= service.Targets; i++ {
			if err := f.add(service.Name, owner.TargetName(service.Name, i), shape); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	platform.Publish(uint64(doc.Version), text)
	return f, f.settle()
}

func (f *Fleet) add(service, target string, shape Shape) error {
	u, err := standin.NewUpstream(shape.Slots, shape.Work)
	if err != nil {
		return err
	}
	u.SetCalls(f.Document, service)
	f.upstreams[target] = u
	f.services[target] = service
	return f.StartNode(target)
}

// StartNode runs a new node beside the upstream of target and lists it.
func (f *Fleet) StartNode(target string) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s := daemon.DefaultSettings()
	s.Target, s.Service, s.DataCentre = target, f.services[target], "dc1"
	s.ListenCallers, s.ListenUpstream, s.ListenPeers, s.ListenAdmin = loopback, loopback, loopback, loopback
	s.UpstreamAddress = netip.MustParseAddrPort(f.upstreams[target].Address)
	s.PlatformAddress = netip.MustParseAddrPort(f.Platform.Address)
	d, err := daemon.Start(s, io.Discard)
	if err != nil {
		return err
	}
	f.upstreams[target].SetNode(s.ListenUpstream.String())
	peers := s.ListenPeers.String()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[target] = d
	f.listed(member.Instance{Target: target, Service: s.Service, DataCentre: "dc1", PeerAddress: peers, LinkAddress: peers})
	return nil
}

// listed puts an instance in the platform's list, in place of an earlier one.
func (f *Fleet) listed(inst member.Instance) {
	list := []member.Instance{inst}
	for _, old := range f.list {
		if old.Target != inst.Target {
			list = append(list, old)
		}
	}
	f.list = list
	f.Platform.List(list)
}

// settleLimit is how long a fleet may take until every node takes calls.
const settleLimit = 20 * time.Second

// settle waits until every node has the document and knows all others.
func (f *Fleet) settle() error {
	for range settleLimit / (20 * time.Millisecond) {
		if f.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the nodes did not find the document and each other")
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

// Node returns the node beside a target.
func (f *Fleet) Node(target string) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[target]
}

// Upstream returns the upstream of a target.
func (f *Fleet) Upstream(target string) *standin.Upstream { return f.upstreams[target] }

// Caller returns a caller of the node beside a target.
func (f *Fleet) Caller(target string) *standin.Caller {
	s := f.Node(target).Settings()
	return &standin.Caller{Address: s.ListenCallers.String()}
}

// Runs tells how often a request ran, over all upstreams.
func (f *Fleet) Runs(id string) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.Runs(id)
	}
	return n
}

// InForce tells whether every node has this version of the document.
func (f *Fleet) InForce(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.nodes {
		if d.Status().Document.Version != version {
			return false
		}
	}
	return true
}

// Violations counts the invariants that the nodes saw broken.
func (f *Fleet) Violations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.nodes {
		n += d.Status().ViolationCount
	}
	return n
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, d := range f.nodes {
		d.Kill()
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	f.Platform.Close()
}
