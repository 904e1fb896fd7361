// Package sidecar runs one node on real sockets, beside its upstream. One listener
// accepts requests from callers and from the upstream, another accepts requests that
// other nodes forward. Package core/mesh makes all decisions.
package sidecar

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/sirupsen/logrus"

	"github.com/shallotspool/shallotspool/core/registry"
)

// ErrInvalidSettings marks errors caused by an invalid settings file.
var ErrInvalidSettings = errors.New("invalid settings")

// Settings is the configuration of one sidecar.
type Settings struct {
	// Node is the name of the instance in log lines.
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

// ListenSettings holds the listen addresses, each an IP:port.
type ListenSettings struct {
	// Callers accepts requests from callers and from the local upstream, Peers those
	// from other nodes.
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	// Ready serves the readiness check.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// Heartbeats is the UDP address for heartbeats.
	Heartbeats string `yaml:"heartbeats"`
}

// UpstreamSettings describes the local upstream.
type UpstreamSettings struct {
	Address string `yaml:"address"`
}

// StoreSettings describes the store to which operators and upstreams write.
type StoreSettings struct {
	Address string `yaml:"address"`
}

// LimitSettings holds the resource limits of the instance.
type LimitSettings struct {
	// MemoryMB is the memory of the instance, in units of 2^20 bytes.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors is the maximum number of open file descriptors.
	Descriptors int `yaml:"descriptors"`
}

// BoundSettings holds the bounds on the duration of a stop and on retries.
type BoundSettings struct {
	// GraceSeconds is the longest time that a stop may take.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// For each service, the retries within RetryWindowSeconds are limited to RetryRatio
	// times its requests plus RetrySlack.
	RetryRatio         float64 `yaml:"retry_ratio"`
	RetrySlack         float64 `yaml:"retry_slack"`
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
}

// The defaults of optional settings.
const (
	defaultMemoryMB           = 256
	defaultDescriptors        = 1024
	defaultGraceSeconds       = 6
	defaultRetryRatio         = 0.2
	defaultRetrySlack         = 10
	defaultRetryWindowSeconds = 10
)

// LoadSettings reads and validates a settings file. Errors are marked with
// ErrInvalidSettings and name the field or, for malformed YAML and unknown fields, the
// position.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrInvalidSettings)
	}
	return ParseSettings(data)
}

// ParseSettings parses and validates the content of a settings file, like LoadSettings.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{
		Limits: LimitSettings{MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors},
		Bounds: BoundSettings{
			GraceSeconds: defaultGraceSeconds, RetryRatio: defaultRetryRatio,
			RetrySlack: defaultRetrySlack, RetryWindowSeconds: defaultRetryWindowSeconds,
		},
		LogLevel: logrus.InfoLevel.String(),
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrInvalidSettings)
	}
	if err := s.validate(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrInvalidSettings)
	}
	return s, nil
}

func (s *Settings) validate() error {
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
	if _, _, err := registry.ParseAddress(s.Listen.Heartbeats); err != nil {
		return errors.Newf("listen.heartbeats: %q does not name the IP and the port of one instance", s.Listen.Heartbeats)
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

// instance returns the IP address by which other nodes identify this one, spelled as in
// registrations. The settings must be valid.
func (s *Settings) instance() string {
	_, instance, _ := registry.ParseAddress(s.Listen.Heartbeats)
	return instance
}

func (s *Settings) gracePeriod() time.Duration { return seconds(s.Bounds.GraceSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
