package wire_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/wire"
)

var testNode = wire.NodeID{Target: "stock-1", Incarnation: 1 << 60}

// sampleFrames returns one frame of each kind.
func sampleFrames() []*wire.Frame {
	send := wire.SendID{Node: testNode, Sequence: 7}
	return []*wire.Frame{
		{Hello: &wire.Hello{Version: wire.ProtocolVersion, Node: testNode, Service: "stock", DataCentre: "dc1"}},
		{Heartbeat: &wire.Heartbeat{State: wire.NodeServing, DocumentVersion: 12, Load: wire.Load{InFlight: 40, Limit: 190, AdmissionLevel: 3}}},
		{Cancel: &wire.Cancel{Send: send}},
		{Fence: &wire.Fence{Send: send}},
		{FenceReply: &wire.FenceReply{Send: send, MayHaveRun: true}},
		{Digest: &wire.DocumentDigest{Version: 12, Hash: 99, RejectedVersion: 13, RejectionReason: "4:2: name: empty"}},
		{DocumentRequest: &wire.DocumentRequest{KnownVersion: 11}},
		{Document: &wire.Document{Version: 12, Text: []byte("version: 12")}},
		{Member: &wire.Member{Node: testNode, Service: "stock", DataCentre: "dc1", PeerAddress: "10.0.0.1:7101", LinkAddress: "10.0.0.1:7102", State: wire.NodeServing}},
		{Suspect: &wire.Suspect{Fingerprint: 5, Crashes: 2, Remaining: time.Minute}},
	}
}

// TestFrameEncoding compares the bytes of each kind of frame with the golden file:
// they are the protocol between nodes of different versions. It also decodes them.
func TestFrameEncoding(t *testing.T) {
	var out bytes.Buffer
	for _, f := range sampleFrames() {
		data, err := wire.Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := wire.Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, f) {
			t.Fatalf("%x decodes to %+v, %v", data, decoded, err)
		}
		_, _ = fmt.Fprintf(&out, "%3d %x\n", len(data), data)
	}
	goldie.New(t).Assert(t, "session", out.Bytes())
}

// mustMarshal returns v as CBOR.
func mustMarshal(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// fields is a CBOR map with integer keys, like every struct of a frame.
type fields = map[int]any

// malformedFrames returns encoded frames that Decode must reject, by description.
// 20 levels exceed maxNesting, 5000 elements maxElements, 200 bytes MaxNameBytes,
// 600 bytes MaxReasonBytes and 2 hours MaxSuspicion.
func malformedFrames() map[string][]byte {
	id := fields{1: "a", 2: 1}
	send := fields{1: id, 2: 1}
	nested := any(1)
	for range 20 {
		nested = []any{nested}
	}
	valid := mustMarshal(fields{7: fields{1: 1}})
	return map[string][]byte{
		"empty":               {},
		"not cbor":            []byte("hello"),
		"no message":          mustMarshal(fields{}),
		"two messages":        mustMarshal(fields{7: fields{1: 1}, 2: fields{1: 2, 2: 1, 3: fields{}}}),
		"only unknown":        mustMarshal(fields{90: fields{1: 1}}),
		"cut short":           valid[:len(valid)-1],
		"trailing bytes":      append(append([]byte{}, valid...), 0),
		"list for frame":      mustMarshal([]int{1}),
		"text for number":     mustMarshal(fields{7: fields{1: "x"}}),
		"negative version":    mustMarshal(fields{7: fields{1: -1}}),
		"duplicate key":       {0xa2, 0x07, 0xa1, 0x01, 0x01, 0x07, 0xa1, 0x01, 0x02},
		"too deep":            mustMarshal(fields{7: fields{1: 1, 9: nested}}),
		"array too large":     mustMarshal(fields{7: fields{1: 1, 9: make([]int, 5000)}}),
		"indefinite":          {0xbf, 0x07, 0xa1, 0x01, 0x01, 0xff},
		"tag":                 mustMarshal(cbor.Tag{Number: 5000, Content: fields{7: fields{1: 1}}}),
		"invalid text":        mustMarshal(fields{3: fields{1: fields{1: fields{1: cbor.RawMessage{0x61, 0xff}, 2: 1}, 2: 1}}}),
		"hello version":       mustMarshal(fields{1: fields{1: 2, 2: id, 3: "s", 4: "d"}}),
		"hello no node":       mustMarshal(fields{1: fields{1: 1, 3: "s", 4: "d"}}),
		"hello long name":     mustMarshal(fields{1: fields{1: 1, 2: id, 3: strings.Repeat("s", 200), 4: "d"}}),
		"state zero":          mustMarshal(fields{2: fields{1: 0}}),
		"state too large":     mustMarshal(fields{2: fields{1: 5}}),
		"load overflow":       mustMarshal(fields{2: fields{1: 2, 3: fields{1: uint64(1) << 40}}}),
		"cancel no target":    mustMarshal(fields{3: fields{1: fields{1: fields{2: 1}, 2: 1}}}),
		"fence incarnation":   mustMarshal(fields{4: fields{1: fields{1: fields{1: "a"}, 2: 1}}}),
		"long reason":         mustMarshal(fields{6: fields{1: 1, 2: 1, 3: 2, 4: strings.Repeat("r", 600)}}),
		"document no version": mustMarshal(fields{8: fields{2: []byte("x")}}),
		"document no text":    mustMarshal(fields{8: fields{1: 1}}),
		"document both":       mustMarshal(fields{8: fields{1: 1, 2: []byte("x"), 3: []byte("x")}}),
		"document corrupt":    mustMarshal(fields{8: fields{1: 1, 3: []byte("hello")}}),
		"document bomb":       mustMarshal(fields{8: fields{1: 1, 3: decompressionBomb()}}),
		"document too long":   mustMarshal(fields{8: fields{1: 1, 2: make([]byte, wire.MaxDocumentBytes+1)}}),
		"frame too long":      mustMarshal(fields{3: fields{1: send, 9: make([]byte, wire.MaxFrameBytes)}}),
		"member no service":   mustMarshal(fields{10: fields{1: id, 3: "d", 6: 2}}),
		"member address":      mustMarshal(fields{10: fields{1: id, 2: "s", 3: "d", 4: strings.Repeat("1", 200), 6: 2}}),
		"member state":        mustMarshal(fields{10: fields{1: id, 2: "s", 3: "d"}}),
		"negative duration":   mustMarshal(fields{9: fields{1: 1, 2: 1, 3: -1}}),
		"duration overflow":   mustMarshal(fields{9: fields{1: 1, 2: 1, 3: uint64(1) << 63}}),
		"duration too long":   mustMarshal(fields{9: fields{1: 1, 2: 1, 3: 2 * time.Hour}}),
	}
}

// decompressionBomb returns compressed data that expands to 64 MiB, far more than
// MaxDocumentBytes.
func decompressionBomb() []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestCompression)
	_, _ = w.Write(make([]byte, 64<<20))
	_ = w.Close()
	return out.Bytes()
}

// TestDocumentCompression checks that a long document is compressed in its frame
// and decoded to the same text.
func TestDocumentCompression(t *testing.T) {
	text := bytes.Repeat([]byte("  route: {method: GET, wait: 1s}\n"), 20_000)
	frame, err := wire.Encode(&wire.Frame{Document: &wire.Document{Version: 3, Text: text}})
	if err != nil || len(frame) > len(text)/20 {
		t.Fatalf("%d bytes are compressed to %d, want at most %d; error %v", len(text), len(frame), len(text)/20, err)
	}
	decoded, err := wire.Decode(frame)
	if err != nil || !bytes.Equal(decoded.Document.Text, text) || decoded.Document.Compressed != nil {
		t.Fatalf("the decoded text differs: %v", err)
	}
}

// TestDecodeRejectsMalformedFrames checks the error for each malformed frame against
// the golden file.
func TestDecodeRejectsMalformedFrames(t *testing.T) {
	frames := malformedFrames()
	var out bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(frames)) {
		_, err := wire.Decode(frames[name])
		if err == nil {
			t.Errorf("%s: accepted", name)
			continue
		}
		_, _ = fmt.Fprintf(&out, "%s: %v\n", name, err)
	}
	goldie.New(t).Assert(t, "malformed", out.Bytes())
}

// TestDecodeIgnoresUnknownFields checks that frames of a newer node, which may have
// more fields and messages, are accepted.
func TestDecodeIgnoresUnknownFields(t *testing.T) {
	f, err := wire.Decode(mustMarshal(fields{7: fields{1: 4, 30: "new"}, 40: fields{1: "new"}}))
	if err != nil || f.DocumentRequest == nil || f.DocumentRequest.KnownVersion != 4 {
		t.Fatalf("%+v, %v, want a request with known version 4", f, err)
	}
}

// TestHeartbeatSizeBound checks that a heartbeat with a zero stamp and without
// NextHeartbeatMS is at most 40 bytes long, whatever its document version and load.
func TestHeartbeatSizeBound(t *testing.T) {
	const maxHeartbeatBytes = 40
	rapid.Check(t, func(t *rapid.T) {
		f := &wire.Frame{Heartbeat: &wire.Heartbeat{
			State: wire.NodeServing, DocumentVersion: rapid.Uint64().Draw(t, "document"),
			Load: wire.Load{InFlight: rapid.Uint32().Draw(t, "in flight"), Limit: rapid.Uint32().Draw(t, "limit"), AdmissionLevel: rapid.Uint16().Draw(t, "level")},
		}}
		data, err := wire.Encode(f)
		if err != nil || len(data) > maxHeartbeatBytes {
			t.Fatalf("%d bytes, want at most %d; error %v", len(data), maxHeartbeatBytes, err)
		}
	})
}

// FuzzDecode checks that every frame that Decode accepts can be encoded again and
// decodes to an equal frame.
func FuzzDecode(f *testing.F) {
	for _, data := range malformedFrames() {
		if len(data) < 2048 {
			f.Add(data)
		}
	}
	for _, frame := range sampleFrames() {
		data, _ := wire.Encode(frame)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := wire.Decode(data)
		if err != nil {
			return
		}
		encoded, err := wire.Encode(frame)
		if err != nil {
			t.Fatalf("a decoded frame cannot be encoded: %v", err)
		}
		decoded, err := wire.Decode(encoded)
		if err != nil || !reflect.DeepEqual(decoded, frame) {
			t.Fatalf("%+v decodes to %+v after encoding, %v", frame, decoded, err)
		}
	})
}
