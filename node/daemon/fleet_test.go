package daemon

import (
	"fmt"
	"io"
	"net/netip"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/harness/standin"
)

// testDocument has an idempotent read that calls a deeper service, and writes.
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

// fleet is a few nodes on loopback with their stand-ins.
type fleet struct {
	t         *testing.T
	doc       *document.Document
	platform  *standin.Platform
	upstreams map[string]*standin.Upstream
	nodes     map[string]*Daemon
	list      []member.Instance
}

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
		f.upstreams[target] = f.upstream(target)
		f.start(target, f.upstreams[target].Address)
	}
	platform.Publish(1, []byte(testDocument))
	f.settle(targets)
	return f
}

func serviceOf(target string) string { return target[:len(target)-2] }

func (f *fleet) upstream(target string) *standin.Upstream {
	u, err := standin.NewUpstream(32, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	u.SetCalls(f.doc, serviceOf(target))
	return u
}

// start runs a node and puts it in the platform's list.
func (f *fleet) start(target, upstream string) {
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
	f.upstreams[target].SetNode(s.ListenUpstream.String())
	peers := s.ListenPeers.String()
	inst := member.Instance{Target: target, Service: s.Service, DataCentre: "dc0", PeerAddress: peers, LinkAddress: peers}
	f.list = append(f.without(target), inst)
	f.platform.List(f.list)
}

func (f *fleet) without(target string) []member.Instance {
	var list []member.Instance
	for _, inst := range f.list {
		if inst.Target != target {
			list = append(list, inst)
		}
	}
	return list
}

// settle returns when each node has the document, knows all others and is
// linked to them.
func (f *fleet) settle(targets []string) {
	f.t.Helper()
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.report()
		}
	})
	for _, target := range targets {
		await(f.t, target+" settled", func() bool {
			s := f.nodes[target].Status()
			linked := 0
			for _, p := range s.Peers {
				if p.Linked {
					linked++
				}
			}
			return s.Document.Version > 0 && linked == len(f.list)-1
		})
	}
}

// report logs what each node knows, to tell why a test failed.
func (f *fleet) report() {
	for target, d := range f.nodes {
		s := d.Status()
		f.t.Logf("%s: %s, document %+v, charts %+v", target, s.State, s.Document, s.Charts)
		for _, p := range s.Peers {
			f.t.Logf("  %+v", p)
		}
	}
}

func (f *fleet) caller(target string) *standin.Caller {
	return &standin.Caller{Address: f.nodes[target].settings.ListenCallers.String()}
}

func (f *fleet) call(service, route, id string) standin.Call {
	for _, r := range f.doc.Service(service).Routes {
		if r.Name == route {
			return standin.Request(r, id)
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

// runs tells how often a request ran on any upstream.
func (f *fleet) runs(id string) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.Runs(id)
	}
	return n
}

// warm returns when the owners of all keys remember a whole resend window.
func (f *fleet) warm() {
	for i := range 16 {
		call := f.call("deep", "take", fmt.Sprintf("warm%d", i))
		await(f.t, "owners take keys", func() bool {
			return f.caller("front-1").Do(call).Outcome == "answered"
		})
	}
}

// many makes n calls at once and returns what their callers got.
func many(n int, do func(i int) standin.Result) []standin.Result {
	results := make([]standin.Result, n)
	var wg conc.WaitGroup
	for i := range n {
		wg.Go(func() { results[i] = do(i) })
	}
	wg.Wait()
	return results
}
