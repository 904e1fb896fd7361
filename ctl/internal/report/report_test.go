package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/ctl/internal/report"
)

func TestWriteHTML(t *testing.T) {
	var in report.Input
	for _, name := range []string{"measure.txt", "metrics.txt"} {
		f, err := os.Open(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		err = in.Read(name, f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := in.WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if strings.Contains(page, "src=") || strings.Contains(page, "href=\"http") {
		t.Error("the page refers to external resources")
	}
	goldie.New(t).Assert(t, "page", out.Bytes())
}

func TestReadReportsInvalidLines(t *testing.T) {
	// The last line is longer than maxLineBytes, 65536.
	for text, want := range map[string]string{
		"\ncase=surge demand=abc\n":                  `f:2: demand="abc" is not a number`,
		"case=surge oops\n":                          `f:1: "oops" is not a key=value pair`,
		"shallot_refused_total{class=\"a\"} many\n":  `f:1: "many" is not a number`,
		"case=" + strings.Repeat("x", 70_000) + "\n": `f:1: bufio.Scanner: token too long`,
	} {
		var in report.Input
		err := in.Read("f", strings.NewReader(text))
		var line *report.LineError
		if !errors.As(err, &line) || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func TestWriteHTMLWithoutData(t *testing.T) {
	var in report.Input
	if err := in.WriteHTML(&bytes.Buffer{}); !errors.Is(err, report.ErrNoData) {
		t.Errorf("got %v, want ErrNoData", err)
	}
}
