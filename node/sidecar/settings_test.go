package sidecar_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/node/sidecar"
)

const validSettings = `node: "n1"
service: "s"
data_centre: "a"
listen:
  callers: "127.0.0.1:1"
  peers: "127.0.0.1:2"
  ready: "127.0.0.1:3"
  heartbeats: "127.0.0.1:4"
  metrics: "127.0.0.1:5"
upstream:
  address: "127.0.0.1:6"
store:
  address: "127.0.0.1:7"
limits:
  memory_mb: 284
  descriptors: 4100
bounds:
  grace_seconds: 6
  retry_ratio: 0.2
  retry_slack: 49
  retry_window_seconds: 10
`

func TestParseSettings(t *testing.T) {
	s, err := sidecar.ParseSettings([]byte(validSettings))
	if err != nil || s.Bounds.RetrySlack != 49 || s.Listen.Heartbeats != "127.0.0.1:4" || s.LogLevel != "info" {
		t.Fatalf("got %+v and error %v, want the values in validSettings and log level info", s, err)
	}
}

// TestParseSettingsReportsInvalidField checks that each error names the invalid field
// or its position.
func TestParseSettingsReportsInvalidField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`node: "n1"`, `node: ""`, "node: must be set"},
		{`service: "s"`, ``, "service: must be set"},
		{`callers: "127.0.0.1:1"`, `callers: "nowhere"`, `listen.callers: "nowhere" is not IP:port`},
		{`address: "127.0.0.1:7"`, `address: ""`, `store.address: "" is not IP:port`},
		{`heartbeats: "127.0.0.1:4"`, `heartbeats: "0.0.0.0:4"`, `listen.heartbeats: "0.0.0.0:4" does not name`},
		{`heartbeats: "127.0.0.1:4"`, `heartbeats: "127.0.0.1:0"`, `listen.heartbeats: "127.0.0.1:0" does not name`},
		{`grace_seconds: 6`, `grace_seconds: 0`, "bounds.grace_seconds: 0 is not above 0"},
		{`retry_slack: 49`, `retry_slack: -1`, "retry_slack: must not be below 0"},
		{`memory_mb: 284`, `memory_mb: much`, "[15:14]"},
		{`limits:`, "colour: red\nlimits:", `[14:1] unknown field "colour"`},
		{`limits:`, "log_level: loud\nlimits:", `log_level: "loud" is not known`},
		{`limits:`, "limits: [", "["},
	} {
		_, err := sidecar.ParseSettings([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !errors.Is(err, sidecar.ErrInvalidSettings) {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
}
