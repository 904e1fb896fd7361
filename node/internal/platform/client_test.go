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

// TestKnownDocumentIsNotResent checks that the platform sends the document unless
// the node already has exactly the published version.
func TestKnownDocumentIsNotResent(t *testing.T) {
	p, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Publish(2, []byte("text"))
	c := platform.NewClient(p.Address)
	defer c.Close()
	for knownVersion, want := range map[document.Version]string{0: "text", 1: "text", 2: "", 3: "text"} {
		version, text, err := c.Document(context.Background(), knownVersion)
		if err != nil || version != 2 || string(text) != want || (text == nil) != (want == "") {
			t.Errorf("with version %d: got version %d, text %q, error %v; want version 2, text %q", knownVersion, version, text, err, want)
		}
	}
}

// TestOversizedDocumentFailsParsing checks that a document over the size limit is
// passed to the parser instead of failing the read, so that the status shows its
// version and why it was rejected.
func TestOversizedDocumentFailsParsing(t *testing.T) {
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
		t.Fatalf("got version %d, %d bytes, error %v; want version 9, %d bytes", version, len(text), err, document.MaxBytes+1)
	}
	if _, err := document.Parse(text); err == nil {
		t.Fatal("an oversized document was accepted")
	}
}

// TestReadFromStalledPlatformFails checks that a read ends with an error if the
// platform accepts the request but never responds.
func TestReadFromStalledPlatformFails(t *testing.T) {
	p, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	resume := p.BlockReads()
	defer resume()
	c := platform.NewClient(p.Address)
	defer c.Close()
	if _, _, err := c.Document(context.Background(), 0); !errors.Is(err, platform.ErrReadFailed) {
		t.Fatalf("got error %v, want ErrReadFailed", err)
	}
}
