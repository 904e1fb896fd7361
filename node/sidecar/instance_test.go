package sidecar

import (
	"testing"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestInstanceIsSpelledAsInRegistrations guards against a node that does not find the registration
// of its own upstream, because its settings spell the address in another way.
func TestInstanceIsSpelledAsInRegistrations(t *testing.T) {
	for _, address := range []string{"10.0.0.9:80", "[::ffff:10.0.0.9]:80", "[FD00:0:0::1]:80"} {
		_, registered, err := registry.ParseAddress(address)
		settings := &Settings{Listen: ListenSettings{Heartbeats: address}}
		if got := settings.instance(); err != nil || got != registered {
			t.Errorf("%s: the instance is %q in the settings, %q in a registration (%v)", address, got, registered, err)
		}
	}
}
