package platform_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
	"github.com/shallotspool/shallotspool/node/internal/platform"
)

// TestListedInstanceCanBeToldToOthers guards against an instance that the list names and whose
// frames close the links between nodes, because these allow less.
func TestListedInstanceCanBeToldToOthers(t *testing.T) {
	name := strings.Repeat("x", 64)
	for _, address := range []string{
		"10.0.0.1:80", "[2001:db8:1111:2222:3333:4444:5555:6666]:65535", "[::ffff:10.0.0.1]:80", "[fe80::1%" + strings.Repeat("z", 200) + "]:80",
	} {
		text := fmt.Sprintf(`[{"target":%q,"service":%q,"data_centre":%q,"peer_address":%q,"link_address":%q}]`, name, name, name, address, address)
		list, _, err := platform.ParseInstances([]byte(text))
		if err != nil {
			continue
		}
		self := wire.NodeID{Target: "self", Incarnation: 1}
		view := membership.NewView(membership.Config{Self: self, Service: "s", DataCentre: "a"})
		view.MergeList(0, list)
		peer := view.Peer(name)
		peer.Incarnation, peer.State = 1, wire.NodeServing
		if _, err := wire.Encode(&wire.Frame{Member: view.WireMember(peer)}); err != nil {
			t.Errorf("%.40s: %v", address, err)
		}
	}
}

// TestInvalidInstanceDoesNotAffectOthers guards against one odd entry in the list of instances
// that keeps a node from learning of all others.
func TestInvalidInstanceDoesNotAffectOthers(t *testing.T) {
	entry := func(target, fields string) string {
		return fmt.Sprintf(`{"target":%q,"service":"s","data_centre":"a","peer_address":"10.0.0.1:80","link_address":"10.0.0.1:81"%s}`, target, fields)
	}
	for name, odd := range map[string]string{
		"type":          `7`,
		"no name":       entry("", ""),
		"long name":     entry(strings.Repeat("x", 65), ""),
		"no port":       entry("odd", `,"peer_address":"10.0.0.9:"`),
		"large port":    entry("odd", `,"link_address":"10.0.0.9:99999"`),
		"long zone":     entry("odd", `,"peer_address":"[fe80::1%`+strings.Repeat("z", 200)+`]:80"`),
		"no instance":   entry("odd", `,"link_address":"0.0.0.0:80"`),
		"port 0":        entry("odd", `,"link_address":"10.0.0.9:0"`),
		"type of field": entry("odd", `,"leaving":"yes"`),
		"nested":        entry("odd", `,"service":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
		"unknown field": entry("odd", `,"colour":"red"`),
		"listed twice":  entry("before", ""),
	} {
		list, invalid, err := platform.ParseInstances([]byte("[" + entry("before", "") + "," + odd + "," + entry("after", "") + "]"))
		if err != nil || len(list) != 2 || list[0].Target != "before" || list[1].Target != "after" {
			t.Errorf("%s: got %+v and error %v, want the two others", name, list, err)
			continue
		}
		if len(invalid) != 1 || !errors.Is(invalid[0], platform.ErrReadFailed) || !strings.HasPrefix(invalid[0].Error(), "instances[1]: ") {
			t.Errorf("%s: got problems %v, want one that names the entry", name, invalid)
		}
	}
	for name, text := range map[string]string{
		"no list": `{}`, "cut": "[" + entry("before", ""), "more": "[]" + entry("after", ""), "none usable": `[7,{}]`, "null": "null",
	} {
		if list, _, err := platform.ParseInstances([]byte(text)); !errors.Is(err, platform.ErrReadFailed) {
			t.Errorf("%s: got %+v and error %v, want ErrReadFailed", name, list, err)
		}
	}
}
