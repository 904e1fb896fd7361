package sidecar_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// operationsPage is the operators' documentation. It shows log lines of failed requests
// and explains the metrics.
const operationsPage = "../../docs/OPERATIONS.md"

var (
	messagePattern = regexp.MustCompile(`msg=("[^"]+"|\S+)`)
	keyPattern     = regexp.MustCompile(`(?:^| )([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// messageAndKeys returns the message of a log line and its field names in order, except
// for those that any line may have.
func messageAndKeys(line string) (message string, keys []string) {
	if m := messagePattern.FindStringSubmatch(line); m != nil {
		message = strings.Trim(m[1], `"`)
	}
	for _, m := range keyPattern.FindAllStringSubmatch(line, -1) {
		if !slices.Contains([]string{"time", "level", "msg", "suppressed", "lines_dropped"}, m[1]) {
			keys = append(keys, m[1])
		}
	}
	slices.Sort(keys)
	return message, keys
}

// TestOperationsPageMatchesLogLines checks that the log lines shown on the operations
// page have the same fields as the lines that a node writes.
func TestOperationsPageMatchesLogLines(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	c := f.caller(front)
	unstamped := func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Del("X-Stamp") }
	notExecuted := func(ctx *fasthttp.RequestCtx) {
		unstamped(ctx)
		ctx.Response.Header.Set("X-Not-Run", "1")
		ctx.SetStatusCode(503)
	}
	for _, respond := range []func(*fasthttp.RequestCtx){
		unstamped, notExecuted, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(504) },
		func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() },
	} {
		f.upstreams[deep].setResponse(respond)
		f.upstreams[secondDeep].setResponse(respond)
		c.request("POST", "/write/1", "r1")
		c.request("GET", "/read/1", "r2")
	}
	logged := map[string][]string{}
	collectMessages := func() bool {
		for line := range strings.Lines(f.logs.String()) {
			if message, fields := messageAndKeys(strings.TrimSpace(line)); logged[message] == nil {
				logged[message] = fields
			}
		}
		return logged["request failed"] != nil && logged["upstream failed"] != nil && logged["exchange failed"] != nil &&
			logged["request refused"] != nil && logged["request sent again"] != nil
	}
	f.eventually("all log messages written", collectMessages)
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "# Explaining a failed request")
	compared := 0
	for line := range strings.Lines(section) {
		message, fields := messageAndKeys(strings.TrimSpace(line))
		// This test does not provoke the two messages that are skipped.
		if !strings.HasPrefix(line, "    ") || message == "" || message == "entry shares" || message == "work refused" {
			continue
		}
		compared++
		if want := logged[message]; !slices.Equal(fields, want) {
			t.Errorf("log line %q has the fields %v on the page and %v in the log", message, fields, want)
		}
	}
	if compared < 3 {
		t.Errorf("the page shows only %d log lines, want at least 3", compared)
	}
}

// TestMetricsAreDocumented checks that the metrics include gauges about other nodes and
// about retries, and that the operations page names every metric.
func TestMetricsAreDocumented(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	if got := f.caller(front).request("GET", "/read/1", "r1"); got.status != 200 {
		t.Fatalf("got %+v, want status 200", got)
	}
	var body string
	f.eventually("all gauges written", func() bool {
		_, text, err := fasthttp.Get(nil, "http://"+f.address(front, metricsPort)+"/metrics")
		body = string(text)
		return err == nil && strings.Contains(body, `shallot_heartbeat_age_seconds{instance="`+deep+`"}`) &&
			strings.Contains(body, `shallot_repeats_left{service="deep"}`)
	})
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(body) {
		if name, found := strings.CutPrefix(line, "# TYPE "); found {
			name, _, _ = strings.Cut(name, " ")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("metric %s is not documented on the page", name)
			}
		}
	}
}
