package daemon

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shallotspool/shallotspool/core/status"
)

func TestAdminEndpoints(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	request := "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Group: GROUP\r\nX-Id: 1\r\nConnection: close\r\n\r\n"
	callers := f.nodes["front-1"].settings.ListenCallers.String()
	for _, group := range []string{"shops", "nobody"} {
		if response := sendRaw(t, callers, strings.Replace(request, "GROUP", group, 1)); !strings.HasPrefix(response, "HTTP/1.1 200") {
			t.Fatalf("a read of group %s got %s", group, response)
		}
	}
	admin := f.nodes["front-1"].settings.ListenAdmin.String()
	get := func(path string) string {
		response := sendRaw(t, admin, "GET "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		_, body, _ := strings.Cut(response, "\n\n")
		return body
	}
	// Each of the two reads came from a caller and caused one more call by the
	// upstream.
	text := get("/metrics")
	for _, line := range []string{
		"# TYPE shallot_calls_total counter\nshallot_calls_total{class=\"lookup\"} 4\n",
		"shallot_added_seconds_count{class=\"lookup\"} 4\n",
		"shallot_call_seconds_count{group=\"shops\"} 1\n",
		"# TYPE shallot_upstream_seconds summary\n",
		"shallot_queue_seconds{class=\"lookup\",quantile=\"0.99\"} ",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("metrics do not contain %q", line)
		}
	}
	if strings.Contains(text, "nobody") {
		t.Error("metrics are exported for a group that the document does not list")
	}
	var s status.Node
	if err := json.Unmarshal([]byte(get("/status")), &s); err != nil || s.Target != "front-1" || s.Document.Version != 1 {
		t.Errorf("status %+v, %v, want front-1 with document version 1", s, err)
	}
	if body := get("/readyz"); body != "ready\n" {
		t.Errorf("/readyz returned %q, want ready", body)
	}
	if body := get("/livez"); body != "ok\n" {
		t.Errorf("/livez returned %q, want ok", body)
	}
}
