// Package settings reads what one node is told about itself: from a YAML file,
// the environment and the command line, the later ones over the earlier. All
// values are checked before the node starts.
package settings

import (
	"net/netip"

	"github.com/sirupsen/logrus"
)

// Settings is everything that a node is told; New returns the defaults.
type Settings struct {
	// Target is the node's stable target name, Service the one it belongs to.
	Target     string
	Service    string
	DataCentre string

	// Callers, Upstream, Peers and Admin are the listeners' addresses.
	ListenCallers  netip.AddrPort
	ListenUpstream netip.AddrPort
	ListenPeers    netip.AddrPort
	ListenAdmin    netip.AddrPort

	// UpstreamAddress is where the node's own upstream takes requests.
	UpstreamAddress netip.AddrPort
	// UpstreamHealth is the path of its health endpoint, empty if it has none.
	UpstreamHealth string
	// UpstreamLoad is the path of its load endpoint, empty if it has none.
	UpstreamLoad    string
	PlatformAddress netip.AddrPort

	// Calls is the number of calls the node holds at once.
	Calls int
	// CallerConnections, UpstreamConnections and PeerConnections bound what
	// callers open here, and what the node opens to its upstream and to each
	// other node.
	CallerConnections   int
	UpstreamConnections int
	PeerConnections     int
	// BodyBytes bounds one body, HeldBytes all request bodies held at once.
	BodyBytes int
	HeldBytes int
	Links     int

	LogLevel logrus.Level
}

// New returns the defaults. What has none must be set.
func New() *Settings {
	return &Settings{
		ListenAdmin: netip.MustParseAddrPort("127.0.0.1:9090"),
		Calls:       20000, CallerConnections: 10000, UpstreamConnections: 1200, PeerConnections: 250,
		BodyBytes: 1 << 20, HeldBytes: 32 << 20, Links: 256, LogLevel: logrus.InfoLevel,
	}
}

// option is one setting: its place in the file is its path, its flag the path
// with dashes, its environment variable the flag in capitals after a prefix.
type option struct {
	path     string
	value    value
	required bool
	usage    string
}

// The bounds of the limits.
const (
	maxCalls     = 1_000_000
	maxCallers   = 100_000
	minTarget    = 200
	maxTarget    = 1200
	maxBodyBytes = 64 << 20
	maxHeldBytes = 1 << 30
	maxLinks     = 4096
	minBytes     = 1024
)

// options returns all settings of s, in the order that help lists them.
func options(s *Settings) []option {
	return []option{
		{"target", &nameValue{&s.Target}, true, "the node's target name, as the document counts them: SERVICE-N"},
		{"service", &nameValue{&s.Service}, true, "the service of the node's own upstream"},
		{"data_centre", &nameValue{&s.DataCentre}, true, "the data centre the instance stands in"},
		{"listen.callers", &addressValue{&s.ListenCallers}, true, "where callers from outside connect, IP:port"},
		{"listen.upstream", &addressValue{&s.ListenUpstream}, true, "where the own upstream connects for its calls to other services, IP:port"},
		{"listen.peers", &addressValue{&s.ListenPeers}, true, "where other nodes connect, IP:port; the IP is also the one this node connects from"},
		{"listen.admin", &addressValue{&s.ListenAdmin}, false, "where operators connect, IP:port"},
		{"upstream.address", &addressValue{&s.UpstreamAddress}, true, "where the own upstream takes requests, IP:port"},
		{"upstream.health_path", &pathValue{&s.UpstreamHealth}, false, "the path of the upstream's health endpoint; a hint only"},
		{"upstream.load_path", &pathValue{&s.UpstreamLoad}, false, "the path of the upstream's load endpoint; a hint only"},
		{"platform.address", &addressValue{&s.PlatformAddress}, true, "where the platform publishes the document and the instances, IP:port"},
		{"limits.calls", &intValue{&s.Calls, 1, maxCalls}, false, "calls held at once"},
		{"limits.caller_connections", &intValue{&s.CallerConnections, 1, maxCallers}, false, "connections that callers hold open"},
		{"limits.upstream_connections", &intValue{&s.UpstreamConnections, minTarget, maxTarget}, false, "connections to the own upstream"},
		{"limits.peer_connections", &intValue{&s.PeerConnections, minTarget, maxTarget}, false, "connections to each other node"},
		{"limits.body_bytes", &intValue{&s.BodyBytes, minBytes, maxBodyBytes}, false, "size of one body, of a request or an answer"},
		{"limits.held_bytes", &intValue{&s.HeldBytes, minBytes, maxHeldBytes}, false, "size of all request bodies held at once"},
		{"limits.links", &intValue{&s.Links, 1, maxLinks}, false, "links to other nodes"},
		{"log.level", &levelValue{&s.LogLevel}, false, "least severe lines written: debug, info, warning or error"},
	}
}
