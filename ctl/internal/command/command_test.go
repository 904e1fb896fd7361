package command_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/ctl/internal/command"
)

// startStatusServer serves a fixed body like a node's admin listener and returns
// its address.
func startStatusServer(t *testing.T, body []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Shutdown()
		<-done
	})
	return listener.Addr().String()
}

// TestCommandOutput compares the exit code and the output of each command line
// with its golden file.
func TestCommandOutput(t *testing.T) {
	body, err := os.ReadFile("testdata/status.json")
	if err != nil {
		t.Fatal(err)
	}
	address, broken := startStatusServer(t, body), startStatusServer(t, []byte("{"))
	for name, args := range map[string][]string{
		"check_valid":      {"check", "testdata/old.yaml"},
		"check_invalid":    {"check", "testdata/old.yaml", "testdata/bad.yaml"},
		"check_missing":    {"check", "testdata/none.yaml"},
		"check_nothing":    {"check"},
		"explain":          {"explain", "testdata/old.yaml", "post", "/charges"},
		"explain_no_route": {"explain", "-service", "desk", "testdata/old.yaml", "GET", "/charges"},
		"explain_usage":    {"explain", "testdata/old.yaml"},
		"diff":             {"diff", "testdata/old.yaml", "testdata/new.yaml"},
		"diff_backwards":   {"diff", "testdata/new.yaml", "testdata/old.yaml"},
		"status":           {"status", "-peers", address},
		"status_json":      {"status", "-json", address},
		"status_broken":    {"status", broken},
		"status_name":      {"status", "localhost:80"},
		"watch":            {"watch", "-json", "-count", "2", "-interval", "200ms", address},
		"watch_interval":   {"watch", "-interval", "1ms", address},
		"report_nothing":   {"report", "testdata/old.yaml"},
		"help":             {},
		"version":          {"-version"},
		"unknown_flag":     {"check", "-fast"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := command.Main(context.Background(), args, &out, &errOut)
			text := "exit " + strconv.Itoa(code) + "\n" + out.String() + errOut.String()
			text = strings.NewReplacer(address, "192.0.2.1:9000", broken, "192.0.2.2:9000").Replace(text)
			goldie.New(t).Assert(t, name, []byte(text))
		})
	}
}
