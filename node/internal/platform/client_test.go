package platform_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"

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

// TestOversizedDocumentIsRefusedBySize: a text over the limit reaches the check,
// so that its refusal and its version show in the status.
func TestOversizedDocumentIsRefusedBySize(t *testing.T) {
	p, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Publish(9, bytes.Repeat([]byte("#"), document.MaxBytes+100))
	c := platform.NewClient(p.Address)
	defer c.Close()
	version, text, err := c.Document(context.Background(), 1)
	if err != nil || version != 9 || len(text) != document.MaxBytes+1 {
		t.Fatalf("version %d, %d bytes, error %v", version, len(text), err)
	}
	if _, err := document.Parse(text); err == nil {
		t.Fatal("a document of this size was taken")
	}
}

// TestStalledPlatformEndsAsAFailedRead: a platform that takes a read and never
// answers does not hold the reader for ever.
func TestStalledPlatformEndsAsAFailedRead(t *testing.T) {
	p, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	resume := p.Stall()
	defer resume()
	c := platform.NewClient(p.Address)
	defer c.Close()
	if _, _, err := c.Document(context.Background(), 0); !errors.Is(err, platform.ErrRead) {
		t.Fatalf("error %v", err)
	}
}
