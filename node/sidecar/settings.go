// Package sidecar runs one node of the mesh on real sockets: beside one
// upstream, taking requests from callers and from that upstream at one listener
// and from other nodes at another. All decisions are core/mesh's.
package sidecar

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/sirupsen/logrus"
)

// ErrSettings is a settings file that cannot be used.
var ErrSettings = errors.New("invalid settings")

// Settings is what a sidecar is told about itself.
type Settings struct {
	// Node is the name of the instance, for logs.
	Node       string `yaml:"node"`
	Service    string `yaml:"service"`
	DataCentre string `yaml:"data_centre"`

	Listen   ListenSettings   `yaml:"listen"`
	Upstream UpstreamSettings `yaml:"upstream"`
	Store    StoreSettings    `yaml:"store"`
	Limits   LimitSettings    `yaml:"limits"`
	Bounds   BoundSettings    `yaml:"bounds"`
	LogLevel string           `yaml:"log_level"`
}

// ListenSettings are the addresses of the listeners, IP:port.
type ListenSettings struct {
	// Callers takes requests from callers and from the own upstream, Peers those
	// of other nodes.
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	// Ready answers whether the node takes callers.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// Heartbeats is the UDP address of heartbeats.
	Heartbeats string `yaml:"heartbeats"`
}

// UpstreamSettings describe the own upstream.
type UpstreamSettings struct {
	Address string `yaml:"address"`
}

// StoreSettings describe the store of operators and upstreams.
type StoreSettings struct {
	Address string `yaml:"address"`
}

// LimitSettings are the instance's limits.
type LimitSettings struct {
	MemoryMB    int `yaml:"memory_mb"`
	Descriptors int `yaml:"descriptors"`
}

// BoundSettings are the operators' bounds.
type BoundSettings struct {
	// Grace is how long a stop may take.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// Retries bound the repeats that each service gets within the window.
	RetryRatio         float64 `yaml:"retry_ratio"`
	RetrySlack         float64 `yaml:"retry_slack"`
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
}

// The defaults of what a file may leave out.
const (
	defaultMemoryMB    = 256
	defaultDescriptors = 1024
	defaultGrace       = 6
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 10
	defaultRetryWindow = 10
)

// LoadSettings reads and checks a settings file. Errors are ErrSettings and name
// the field, with its line where the file has one.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrSettings)
	}
	return ParseSettings(text)
}

// ParseSettings is LoadSettings for a text.
func ParseSettings(text []byte) (*Settings, error) {
	s := &Settings{
		Limits: LimitSettings{MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors},
		Bounds: BoundSettings{
			GraceSeconds: defaultGrace, RetryRatio: defaultRetryRatio,
			RetrySlack: defaultRetrySlack, RetryWindowSeconds: defaultRetryWindow,
		},
		LogLevel: logrus.InfoLevel.String(),
	}
	if err := yaml.UnmarshalWithOptions(text, s, yaml.Strict()); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrSettings)
	}
	if err := s.check(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrSettings)
	}
	return s, nil
}

func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"node", s.Node}, {"service", s.Service}, {"data_centre", s.DataCentre},
	} {
		if f.value == "" {
			return errors.Newf("%s: must be set", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.peers", s.Listen.Peers}, {"listen.ready", s.Listen.Ready},
		{"listen.metrics", s.Listen.Metrics}, {"listen.heartbeats", s.Listen.Heartbeats},
		{"upstream.address", s.Upstream.Address}, {"store.address", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return errors.Newf("%s: %q is not IP:port", f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"limits.memory_mb", float64(s.Limits.MemoryMB)}, {"limits.descriptors", float64(s.Limits.Descriptors)},
		{"bounds.grace_seconds", s.Bounds.GraceSeconds},
		{"bounds.retry_window_seconds", s.Bounds.RetryWindowSeconds},
	} {
		if f.value <= 0 {
			return errors.Newf("%s: %v is not above 0", f.name, f.value)
		}
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		return errors.New("bounds.retry_ratio, bounds.retry_slack: must not be below 0")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return errors.Newf("log_level: %q is not known", s.LogLevel)
	}
	return nil
}

func (s *Settings) instance() string {
	return netip.MustParseAddrPort(s.Listen.Heartbeats).Addr().String()
}

func (s *Settings) grace() time.Duration { return seconds(s.Bounds.GraceSeconds) }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
