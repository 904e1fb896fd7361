package platform_test

import (
	"context"
	"testing"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/harness/standin"
	"github.com/shallotspool/shallotspool/node/internal/platform"
)

// TestKnownVersionIsNotSentAgain: the text comes only if it is not the version
// that the node has, older or newer.
func TestKnownVersionIsNotSentAgain(t *testing.T) {
	p, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Publish(2, []byte("text"))
	c := platform.NewClient(p.Address)
	defer c.Close()
	for have, want := range map[document.Version]string{0: "text", 1: "text", 2: "", 3: "text"} {
		version, text, err := c.Document(context.Background(), have)
		if err != nil || version != 2 || string(text) != want || (text == nil) != (want == "") {
			t.Errorf("with version %d: version %d, text %q, error %v", have, version, text, err)
		}
	}
}
