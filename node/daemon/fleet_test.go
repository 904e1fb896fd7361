package daemon

import (
	"fmt"
	"io"
	"net/netip"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/harness/standin"
)

// testDocument has an idempotent route that calls a second service, and
// non-idempotent routes on both services.
const testDocument = `version: 1
name: test
classes: [payment, lookup]
resend_window: 1s
answers: {bytes: 1048576, keys: 1000}
groups: [shops]
services:
  front:
    targets: 1
    routes:
      read: {method: GET, path: "/read/{id}", class: lookup, idempotent: true, wait: 2s, retries: 2, calls: [deep.stock]}
      pay: {method: POST, path: /pay, class: payment, idempotent: false, wait: 1s, retries: 2}
  deep:
    targets: 2
    routes:
      stock: {method: GET, path: "/stock/{id}", class: lookup, idempotent: true, wait: 1s, retries: 1}
      take: {method: POST, path: /take, class: payment, idempotent: false, wait: 1s, retries: 1}
`

// fleet runs several nodes on loopback addresses, each beside a simulated
// upstream, with one simulated platform.
type fleet struct {
	t         *testing.T
	doc       *document.Document
	platform  *standin.Platform
	upstreams map[string]*standin.Upstream
	nodes     map[string]*Daemon
	instances []membership.Instance
}

// newFleet starts one node for each target and waits until all nodes are
// connected to each other. The fleet is closed when the test ends.
func newFleet(t *testing.T, targets ...string) *fleet {
	t.Parallel()
	doc, err := document.Parse([]byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	platform, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, doc: doc, platform: platform, upstreams: map[string]*standin.Upstream{}, nodes: map[string]*Daemon{}}
	t.Cleanup(f.close)
	for _, target := range targets {
		f.upstreams[target] = f.newUpstream(target)
		f.startNode(target, f.upstreams[target].Address)
	}
	platform.Publish(1, []byte(testDocument))
	f.waitUntilConnected(targets)
	return f
}

// serviceOf returns the service of a target with a one-digit number.
func serviceOf(target string) string { return target[:len(target)-2] }

func (f *fleet) newUpstream(target string) *standin.Upstream {
	u, err := standin.NewUpstream(32, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	u.SetCallees(f.doc, serviceOf(target))
	return u
}

// startNode starts a node beside the upstream at the given address and publishes
// it in the platform's list of instances.
func (f *fleet) startNode(target, upstream string) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s := DefaultSettings()
	s.Target, s.Service, s.DataCentre = target, serviceOf(target), "dc0"
	s.ListenCallers, s.ListenUpstream, s.ListenPeers, s.ListenAdmin = loopback, loopback, loopback, loopback
	s.UpstreamAddress = netip.MustParseAddrPort(upstream)
	s.PlatformAddress = netip.MustParseAddrPort(f.platform.Address)
	d, err := Start(s, io.Discard)
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[target] = d
	f.upstreams[target].SetNodeAddress(s.ListenUpstream.String())
	peers := s.ListenPeers.String()
	inst := membership.Instance{Target: target, Service: s.Service, DataCentre: "dc0", PeerAddress: peers, LinkAddress: peers}
	f.instances = append(f.instancesExcept(target), inst)
	f.platform.SetInstances(f.instances)
}

func (f *fleet) instancesExcept(target string) []membership.Instance {
	var list []membership.Instance
	for _, inst := range f.instances {
		if inst.Target != target {
			list = append(list, inst)
		}
	}
	return list
}

// waitUntilConnected waits until each of the given nodes has a document and is
// linked to all other instances. It logs the status of all nodes if the test
// fails.
func (f *fleet) waitUntilConnected(targets []string) {
	f.t.Helper()
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.logStatus()
		}
	})
	for _, target := range targets {
		waitUntil(f.t, target+" is connected", func() bool {
			s := f.nodes[target].Status()
			linked := 0
			for _, p := range s.Peers {
				if p.Linked {
					linked++
				}
			}
			return s.Document.Version > 0 && linked == len(f.instances)-1
		})
	}
}

// logStatus logs the status of each node, to show why a test failed.
func (f *fleet) logStatus() {
	for target, d := range f.nodes {
		s := d.Status()
		f.t.Logf("%s: %s, document %+v, charts %+v", target, s.State, s.Document, s.Charts)
		for _, p := range s.Peers {
			f.t.Logf("  %+v", p)
		}
	}
}

// callerOf returns a caller that sends its requests to the given node.
func (f *fleet) callerOf(target string) *standin.Caller {
	return &standin.Caller{Address: f.nodes[target].settings.ListenCallers.String()}
}

// newCall returns a call of the named route; id identifies it in runCount, which
// does not count routes with method GET.
func (f *fleet) newCall(service, route, id string) standin.Call {
	for _, r := range f.doc.Service(service).Routes {
		if r.Name == route {
			return standin.NewCall(r, id)
		}
	}
	panic(fmt.Sprintf("no route %s.%s", service, route))
}

func (f *fleet) close() {
	for _, d := range f.nodes {
		d.Kill()
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	f.platform.Close()
}

// runCount returns the number of times that a request ran, over all upstreams.
// GET requests are not counted.
func (f *fleet) runCount(id string) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.RunCount(id)
	}
	return n
}

// waitUntilOwnersAcceptKeys waits until the owners accept new keys. Until it has
// run for longer than the resend window, an owner rejects them, since an earlier
// run of it may have executed their calls. With 16 keys, nearly certainly every
// owner gets some.
func (f *fleet) waitUntilOwnersAcceptKeys() {
	for i := range 16 {
		call := f.newCall("deep", "take", fmt.Sprintf("warm%d", i))
		waitUntil(f.t, "owners accept keys", func() bool {
			return f.callerOf("front-1").Do(call).Outcome == "answered"
		})
	}
}

// runConcurrently calls do(0) to do(n-1) concurrently and returns the results in
// this order.
func runConcurrently(n int, do func(i int) standin.Result) []standin.Result {
	results := make([]standin.Result, n)
	var wg conc.WaitGroup
	for i := range n {
		wg.Go(func() { results[i] = do(i) })
	}
	wg.Wait()
	return results
}
