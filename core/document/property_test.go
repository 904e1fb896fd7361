package document_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/document"
)

// drawDocument generates a valid document: each service calls only the next one,
// reads call only reads, writes only writes, and the timeouts decrease along the
// chain.
func drawDocument(t *rapid.T) *document.Document {
	name := rapid.StringMatching(`[a-z][a-z0-9_-]{0,8}`)
	d := &document.Document{
		Version:       document.Version(rapid.Uint64Range(1, document.MaxVersion).Draw(t, "version")),
		Name:          name.Draw(t, "name"),
		Classes:       rapid.SliceOfNDistinct(name, 1, 5, rapid.ID[string]).Draw(t, "classes"),
		ResendWindow:  time.Duration(rapid.IntRange(60, 600).Draw(t, "window")) * time.Second,
		ResponseCache: document.ResponseCacheLimits{Bytes: rapid.Int64Range(1<<10, 64<<20).Draw(t, "bytes"), Keys: rapid.IntRange(1, 1000).Draw(t, "keys")},
		Groups:        rapid.SliceOfNDistinct(name, 0, 3, rapid.ID[string]).Draw(t, "groups"),
	}
	services := rapid.IntRange(1, 8).Draw(t, "services")
	for i := range services {
		s := &document.Service{Name: fmt.Sprintf("s%d", i), TargetCount: rapid.IntRange(1, 9).Draw(t, "targets")}
		for _, method := range []string{"GET", "POST"} {
			r := &document.Route{
				Name: fmt.Sprintf("r-%s", map[string]string{"GET": "read", "POST": "write"}[method]), Method: method,
				Path: "/a/{b}", Class: document.Class(rapid.IntRange(0, len(d.Classes)-1).Draw(t, "class")),
				Idempotent: method == "GET", Timeout: time.Duration(60-i) * time.Second,
				RetryBudget: rapid.IntRange(0, 10).Draw(t, "retries"),
			}
			r.RetryOnLost = r.Idempotent && rapid.Bool().Draw(t, "lost")
			if i+1 < services && rapid.Bool().Draw(t, "calls") {
				r.Callees = []string{fmt.Sprintf("s%d.%s", i+1, r.Name)}
			}
			s.Routes = append(s.Routes, r)
		}
		d.Services = append(d.Services, s)
	}
	d.BuildIndex()
	return d
}

// TestRenderParseRoundTrip checks that parsing a rendered document yields an equal
// one and that Diff finds no change between the two.
func TestRenderParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawDocument(t)
		if len(want.Groups) == 0 {
			want.Groups = nil
		}
		got, err := document.Parse(document.Render(want))
		if err != nil {
			t.Fatalf("%v\n%s", err, document.Render(want))
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("the parsed document differs: %v", document.Diff(want, got))
		}
		if changes := document.Diff(want, got); len(changes) != 0 {
			t.Fatalf("Diff of equal documents: %v", changes)
		}
	})
}

// FuzzParse checks that any text is either accepted or rejected with a bounded list
// of problems, and that an accepted document survives rendering and parsing.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/malformed/*.yaml")
	for _, file := range append(files, "testdata/valid.yaml") {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := document.Parse(text)
		if err != nil {
			var problems *document.Problems
			if !errors.As(err, &problems) || len(problems.List) == 0 || len(problems.List) > document.MaxProblems {
				t.Fatalf("want a *Problems with 1 to MaxProblems entries, got %v", err)
			}
			return
		}
		reparsed, err := document.Parse(document.Render(d))
		if err != nil || len(document.Diff(d, reparsed)) != 0 {
			t.Fatalf("the rendered document parses to a different one: %v", err)
		}
	})
}

// TestExplainAndDiff checks the explanation of a request, the error for a request
// without a route, and the differences after two edits.
func TestExplainAndDiff(t *testing.T) {
	older, err := document.Parse(readFile(t, "testdata/valid.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := document.Explain(older, "desk", "GET", "/lists/r7?x=1")
	if err != nil || explanation.Class != "lookup" || explanation.MaxAttempts != 4 || explanation.Depth != 2 || explanation.Timeout != 2*time.Second || !explanation.RetryOnLost {
		t.Fatalf("%+v, %v, want class lookup, 4 attempts, depth 2, timeout 2s and a retry of lost attempts", explanation, err)
	}
	if _, err := document.Explain(older, "desk", "GET", "/nowhere"); !errors.Is(err, document.ErrNoRoute) {
		t.Fatalf("error %v, want ErrNoRoute", err)
	}
	newer, _ := document.Parse(document.Render(older))
	newer.Services[0].Routes[0].Timeout = time.Second
	newer.Services = newer.Services[:1]
	changes := document.Diff(older, newer)
	// The timeout, and of the removed service its targets and 8 fields of each of 2 routes.
	if len(changes) != 18 || changes[0].String() != "~ services.desk.routes.charge.wait: 3s -> 1s" {
		t.Fatalf("%d changes, want 18; first %v, want the timeout of charge", len(changes), changes[0])
	}
}
