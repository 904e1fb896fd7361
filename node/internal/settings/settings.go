// Package settings reads the settings of one node from a YAML file, the
// environment and the command line. The environment overrides the file, and the
// command line overrides both. All values are validated before the node starts.
package settings

import (
	"net/netip"

	"github.com/sirupsen/logrus"
)

// Settings is the configuration of one node.
type Settings struct {
	// Target is the stable target name of the node, and Service is the service
	// that the target belongs to.
	Target     string
	Service    string
	DataCentre string

	// ListenCallers, ListenUpstream, ListenPeers and ListenAdmin are the
	// addresses of the listeners for callers, for the node's own upstream, for
	// other nodes and for operators.
	ListenCallers  netip.AddrPort
	ListenUpstream netip.AddrPort
	ListenPeers    netip.AddrPort
	ListenAdmin    netip.AddrPort

	// UpstreamAddress is the address of the node's own upstream.
	UpstreamAddress netip.AddrPort
	// UpstreamHealthPath is the path of the upstream's health endpoint, empty if it
	// has none.
	UpstreamHealthPath string
	// UpstreamLoadPath is the path of the upstream's load endpoint, empty if it has
	// none.
	UpstreamLoadPath string
	// PlatformAddress is the address at which the platform publishes the document
	// and the instances.
	PlatformAddress netip.AddrPort

	// MaxCalls is the maximum number of calls in progress.
	MaxCalls int
	// MaxCallerConnections, MaxUpstreamConnections and MaxPeerConnections are the
	// maximum numbers of connections to each listener for calls, to the upstream and
	// to each other node.
	MaxCallerConnections   int
	MaxUpstreamConnections int
	MaxPeerConnections     int
	// MaxBodyBytes is the maximum size of one request or response body, and
	// MaxHeldBodyBytes that of all request bodies in memory together.
	MaxBodyBytes     int
	MaxHeldBodyBytes int
	// MaxLinks is the maximum number of links to other nodes.
	MaxLinks int

	// LogLevel is the least severe level that is logged.
	LogLevel logrus.Level
}

// Default returns the default settings. Settings without a default are empty.
func Default() *Settings {
	return &Settings{
		ListenAdmin: netip.MustParseAddrPort("127.0.0.1:9090"),
		MaxCalls:    20000, MaxCallerConnections: 10000, MaxUpstreamConnections: 1200, MaxPeerConnections: 250,
		MaxBodyBytes: 1 << 20, MaxHeldBodyBytes: 32 << 20, MaxLinks: 256, LogLevel: logrus.InfoLevel,
	}
}

// option is one setting. path is its key in the file, with a dot between section
// and name. The flag is the path with dashes, and the environment variable is
// EnvPrefix followed by the path in capitals with underscores.
type option struct {
	path     string
	value    settingValue
	required bool
	usage    string
}

// The ranges of the settings in the section limits.
const (
	maxCalls                = 1_000_000
	maxCallerConnections    = 100_000
	minConnectionsPerTarget = 200
	maxConnectionsPerTarget = 1200
	maxBodyBytes            = 64 << 20
	maxHeldBytes            = 1 << 30
	maxLinks                = 4096
	minSizeBytes            = 1024
)

// options returns all settings of s, in the order of the help text.
func options(s *Settings) []option {
	return []option{
		{"target", &nameValue{&s.Target}, true, "target name of the node, numbered as in the document: SERVICE-N"},
		{"service", &nameValue{&s.Service}, true, "service of the node's upstream"},
		{"data_centre", &nameValue{&s.DataCentre}, true, "data centre of the instance"},
		{"listen.callers", &addressValue{&s.ListenCallers}, true, "listener for callers, IP:port"},
		{"listen.upstream", &addressValue{&s.ListenUpstream}, true, "listener for calls from the node's upstream to other services, IP:port"},
		{"listen.peers", &addressValue{&s.ListenPeers}, true, "listener for other nodes, IP:port; this node also connects to them from this IP"},
		{"listen.admin", &addressValue{&s.ListenAdmin}, false, "listener for operators, IP:port"},
		{"upstream.address", &addressValue{&s.UpstreamAddress}, true, "address of the node's upstream, IP:port"},
		{"upstream.health_path", &pathValue{&s.UpstreamHealthPath}, false, "path of the upstream's health endpoint, which is advisory"},
		{"upstream.load_path", &pathValue{&s.UpstreamLoadPath}, false, "path of the upstream's load endpoint, which is advisory"},
		{"platform.address", &addressValue{&s.PlatformAddress}, true, "address at which the platform publishes the document and the instances, IP:port"},
		{"limits.calls", &intValue{&s.MaxCalls, 1, maxCalls}, false, "maximum number of calls in progress"},
		{"limits.caller_connections", &intValue{&s.MaxCallerConnections, 1, maxCallerConnections}, false, "maximum number of connections to each listener for calls"},
		{"limits.upstream_connections", &intValue{&s.MaxUpstreamConnections, minConnectionsPerTarget, maxConnectionsPerTarget}, false, "maximum number of connections to the upstream"},
		{"limits.peer_connections", &intValue{&s.MaxPeerConnections, minConnectionsPerTarget, maxConnectionsPerTarget}, false, "maximum number of connections to each other node"},
		{"limits.body_bytes", &intValue{&s.MaxBodyBytes, minSizeBytes, maxBodyBytes}, false, "maximum size of one request or response body, in bytes"},
		{"limits.held_bytes", &intValue{&s.MaxHeldBodyBytes, minSizeBytes, maxHeldBytes}, false, "maximum size of all request bodies in memory, in bytes"},
		{"limits.links", &intValue{&s.MaxLinks, 1, maxLinks}, false, "maximum number of links to other nodes"},
		{"log.level", &levelValue{&s.LogLevel}, false, "least severe level that is logged: debug, info, warning or error"},
	}
}
