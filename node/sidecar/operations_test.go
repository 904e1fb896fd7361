package sidecar_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// operatorsPage shows lines of failed requests, as real days wrote them.
const operatorsPage = "../../docs/OPERATIONS.md"

var (
	messageOf = regexp.MustCompile(`msg=("[^"]+"|\S+)`)
	keyOf     = regexp.MustCompile(`(?:^| )([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// keys returns the message of a line and the keys that belong to it, without those
// that any line may have.
func keys(line string) (message string, out []string) {
	if m := messageOf.FindStringSubmatch(line); m != nil {
		message = strings.Trim(m[1], `"`)
	}
	for _, m := range keyOf.FindAllStringSubmatch(line, -1) {
		if !slices.Contains([]string{"time", "level", "msg", "suppressed", "lines_dropped"}, m[1]) {
			out = append(out, m[1])
		}
	}
	slices.Sort(out)
	return message, out
}

// TestOperatorsPageShowsRealLines: the lines that the page takes an operator
// through are those that a node writes, with the same fields.
func TestOperatorsPageShowsRealLines(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+deep2)
	c := f.caller(front)
	unstamped := func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Del("X-Stamp") }
	turnedAway := func(ctx *fasthttp.RequestCtx) {
		unstamped(ctx)
		ctx.Response.Header.Set("X-Not-Run", "1")
		ctx.SetStatusCode(503)
	}
	for _, behave := range []func(*fasthttp.RequestCtx){
		unstamped, turnedAway, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(504) },
		func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() },
	} {
		f.upstreams[deep].behave(behave)
		f.upstreams[deep2].behave(behave)
		c.ask("POST", "/write/1", "r1")
		c.ask("GET", "/read/1", "r2")
	}
	real := map[string][]string{}
	note := func() bool {
		for line := range strings.Lines(f.logs.String()) {
			if message, have := keys(strings.TrimSpace(line)); real[message] == nil {
				real[message] = have
			}
		}
		return real["request failed"] != nil && real["upstream failed"] != nil && real["exchange failed"] != nil &&
			real["request refused"] != nil && real["request sent again"] != nil
	}
	f.eventually("all kinds of lines", note)
	page, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, page2, _ := strings.Cut(string(page), "# Explaining a failed request")
	shown := 0
	for line := range strings.Lines(page2) {
		message, have := keys(strings.TrimSpace(line))
		if !strings.HasPrefix(line, "    ") || message == "" || message == "entry shares" || message == "work refused" {
			continue
		}
		shown++
		if want := real[message]; !slices.Equal(have, want) {
			t.Errorf("%q has the fields %v on the page, %v in the log", message, have, want)
		}
	}
	if shown < 3 {
		t.Errorf("%d lines are shown", shown)
	}
}

// TestMetricsPage: the metrics tell what decisions follow from, by names with
// units, each of which the operators' page explains.
func TestMetricsPage(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	if got := f.caller(front).ask("GET", "/read/1", "r1"); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	var body string
	f.eventually("all levels", func() bool {
		_, text, err := fasthttp.Get(nil, "http://"+f.addr(front, metricsPort)+"/metrics")
		body = string(text)
		return err == nil && strings.Contains(body, `shallot_heartbeat_age_seconds{instance="`+deep+`"}`) &&
			strings.Contains(body, `shallot_repeats_left{service="deep"}`)
	})
	page, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(body) {
		if name, found := strings.CutPrefix(line, "# TYPE "); found {
			name, _, _ = strings.Cut(name, " ")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s is not on the page", name)
			}
		}
	}
}
