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

var node = wire.NodeID{Target: "stock-1", Incarnation: 1 << 60}

// session holds one frame of each kind.
func session() []*wire.Frame {
	send := wire.SendID{Node: node, Sequence: 7}
	return []*wire.Frame{
		{Hello: &wire.Hello{Version: wire.ProtocolVersion, Node: node, Service: "stock", DataCentre: "dc1"}},
		{State: &wire.State{State: wire.NodeServing, Document: 12, Load: wire.Load{InFlight: 40, Limit: 190, Level: 3}}},
		{Cancel: &wire.Cancel{Send: send}},
		{Fence: &wire.Fence{Send: send}},
		{Fenced: &wire.Fenced{Send: send, Ran: true}},
		{Digest: &wire.Digest{Version: 12, Hash: 99, Refused: 13, Reason: "4:2: name: empty"}},
		{Pull: &wire.Pull{Have: 11}},
		{Document: &wire.Document{Version: 12, Text: []byte("version: 12")}},
		{Member: &wire.Member{Node: node, Service: "stock", DataCentre: "dc1", PeerAddress: "10.0.0.1:7101", LinkAddress: "10.0.0.1:7102", State: wire.NodeServing}},
		{Suspect: &wire.Suspect{Fingerprint: 5, Crashes: 2, Remaining: time.Minute}},
	}
}

// TestSession keeps the bytes of each kind of frame: they are the protocol.
func TestSession(t *testing.T) {
	var out bytes.Buffer
	for _, f := range session() {
		text, err := wire.Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		back, err := wire.Decode(text)
		if err != nil || !reflect.DeepEqual(back, f) {
			t.Fatalf("%x decodes to %+v, %v", text, back, err)
		}
		_, _ = fmt.Fprintf(&out, "%3d %x\n", len(text), text)
	}
	goldie.New(t).Assert(t, "session", out.Bytes())
}

func raw(v any) []byte {
	text, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

type fields = map[int]any

func malformed() map[string][]byte {
	id := fields{1: "a", 2: 1}
	send := fields{1: id, 2: 1}
	deep := any(1)
	for range 20 {
		deep = []any{deep}
	}
	good := raw(fields{7: fields{1: 1}})
	return map[string][]byte{
		"empty":               {},
		"not cbor":            []byte("hello"),
		"no message":          raw(fields{}),
		"two messages":        raw(fields{7: fields{1: 1}, 2: fields{1: 2, 2: 1, 3: fields{}}}),
		"only unknown":        raw(fields{90: fields{1: 1}}),
		"cut short":           good[:len(good)-1],
		"trailing bytes":      append(append([]byte{}, good...), 0),
		"list for frame":      raw([]int{1}),
		"text for number":     raw(fields{7: fields{1: "x"}}),
		"negative version":    raw(fields{7: fields{1: -1}}),
		"duplicate key":       {0xa2, 0x07, 0xa1, 0x01, 0x01, 0x07, 0xa1, 0x01, 0x02},
		"too deep":            raw(fields{7: fields{1: 1, 9: deep}}),
		"array too large":     raw(fields{7: fields{1: 1, 9: make([]int, 5000)}}),
		"indefinite":          {0xbf, 0x07, 0xa1, 0x01, 0x01, 0xff},
		"tag":                 raw(cbor.Tag{Number: 5000, Content: fields{7: fields{1: 1}}}),
		"invalid text":        raw(fields{3: fields{1: fields{1: fields{1: cbor.RawMessage{0x61, 0xff}, 2: 1}, 2: 1}}}),
		"hello version":       raw(fields{1: fields{1: 2, 2: id, 3: "s", 4: "d"}}),
		"hello no node":       raw(fields{1: fields{1: 1, 3: "s", 4: "d"}}),
		"hello long name":     raw(fields{1: fields{1: 1, 2: id, 3: strings.Repeat("s", 200), 4: "d"}}),
		"state zero":          raw(fields{2: fields{1: 0}}),
		"state too large":     raw(fields{2: fields{1: 5}}),
		"load overflow":       raw(fields{2: fields{1: 2, 3: fields{1: uint64(1) << 40}}}),
		"cancel no target":    raw(fields{3: fields{1: fields{1: fields{2: 1}, 2: 1}}}),
		"fence incarnation":   raw(fields{4: fields{1: fields{1: fields{1: "a"}, 2: 1}}}),
		"long reason":         raw(fields{6: fields{1: 1, 2: 1, 3: 2, 4: strings.Repeat("r", 600)}}),
		"document no version": raw(fields{8: fields{2: []byte("x")}}),
		"document no text":    raw(fields{8: fields{1: 1}}),
		"document both":       raw(fields{8: fields{1: 1, 2: []byte("x"), 3: []byte("x")}}),
		"document not packed": raw(fields{8: fields{1: 1, 3: []byte("hello")}}),
		"document bomb":       raw(fields{8: fields{1: 1, 3: bomb()}}),
		"document too long":   raw(fields{8: fields{1: 1, 2: make([]byte, wire.MaxTextBytes+1)}}),
		"frame too long":      raw(fields{3: fields{1: send, 9: make([]byte, wire.MaxFrameBytes)}}),
		"member no service":   raw(fields{10: fields{1: id, 3: "d", 6: 2}}),
		"member address":      raw(fields{10: fields{1: id, 2: "s", 3: "d", 4: strings.Repeat("1", 200), 6: 2}}),
		"member state":        raw(fields{10: fields{1: id, 2: "s", 3: "d"}}),
		"negative duration":   raw(fields{9: fields{1: 1, 2: 1, 3: -1}}),
		"duration overflow":   raw(fields{9: fields{1: 1, 2: 1, 3: uint64(1) << 63}}),
		"duration too long":   raw(fields{9: fields{1: 1, 2: 1, 3: 2 * time.Hour}}),
	}
}

// bomb unpacks to more than a document may have.
func bomb() []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestCompression)
	_, _ = w.Write(make([]byte, 64<<20))
	_ = w.Close()
	return out.Bytes()
}

// TestPacked: a long text takes few bytes and comes back whole.
func TestPacked(t *testing.T) {
	text := bytes.Repeat([]byte("  route: {method: GET, wait: 1s}\n"), 20_000)
	frame, err := wire.Encode(&wire.Frame{Document: &wire.Document{Version: 3, Text: text}})
	if err != nil || len(frame) > len(text)/20 {
		t.Fatalf("%d bytes of %d, %v", len(frame), len(text), err)
	}
	back, err := wire.Decode(frame)
	if err != nil || !bytes.Equal(back.Document.Text, text) || back.Document.Packed != nil {
		t.Fatalf("does not come back: %v", err)
	}
}

// TestMalformed keeps the error of each malformed frame.
func TestMalformed(t *testing.T) {
	frames := malformed()
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

// TestUnknownFields: a newer node may say more than this one knows.
func TestUnknownFields(t *testing.T) {
	f, err := wire.Decode(raw(fields{7: fields{1: 4, 30: "new"}, 40: fields{1: "new"}}))
	if err != nil || f.Pull == nil || f.Pull.Have != 4 {
		t.Fatalf("%+v, %v", f, err)
	}
}

// TestHeartbeatSize: a heartbeat stays small, whatever its numbers.
func TestHeartbeatSize(t *testing.T) {
	const most = 40
	rapid.Check(t, func(t *rapid.T) {
		f := &wire.Frame{State: &wire.State{
			State: wire.NodeServing, Document: rapid.Uint64().Draw(t, "document"),
			Load: wire.Load{InFlight: rapid.Uint32().Draw(t, "in flight"), Limit: rapid.Uint32().Draw(t, "limit"), Level: rapid.Uint16().Draw(t, "level")},
		}}
		text, err := wire.Encode(f)
		if err != nil || len(text) > most {
			t.Fatalf("%d bytes, %v", len(text), err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, text := range malformed() {
		if len(text) < 2048 {
			f.Add(text)
		}
	}
	for _, frame := range session() {
		text, _ := wire.Encode(frame)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := wire.Decode(data)
		if err != nil {
			return
		}
		text, err := wire.Encode(frame)
		if err != nil {
			t.Fatalf("decoded but not encoded: %v", err)
		}
		again, err := wire.Decode(text)
		if err != nil || !reflect.DeepEqual(again, frame) {
			t.Fatalf("%+v became %+v, %v", frame, again, err)
		}
	})
}
