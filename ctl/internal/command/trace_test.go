package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/shallotspool/shallotspool/ctl/internal/command"
)

func TestTraceMergesLogsInTimeOrder(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	entry := write("entry", `time="2026-01-01T00:00:02Z" level=info msg="request failed" node=n1 reason=deadline request=a1 status=504
time="2026-01-01T00:00:03Z" level=info msg="request served" node=n1 request=b2 status=200
`)
	callee := write("beside", `time="2026-01-01T00:00:01Z" level=info msg="exchange failed" error="says \"no\" = bad" node=n2 request=a1.c3
not a line at all
`)
	var out, errOut bytes.Buffer
	code := command.Main(context.Background(), []string{"trace", "a1", entry, callee}, &out, &errOut)
	want := `2026-01-01T00:00:01Z   n2 msg="exchange failed" error="says \"no\" = bad" request=a1.c3
2026-01-01T00:00:02Z n1 msg="request failed" reason=deadline request=a1 status=504
`
	if code != command.ExitOK || out.String() != want {
		t.Errorf("exit code %d, stderr %q, output:\n%s\nwant exit code %d and:\n%s", code, errOut.String(), out.String(), command.ExitOK, want)
	}
	out.Reset()
	if code := command.Main(context.Background(), []string{"trace", "zz", entry}, &out, &errOut); code != command.ExitFailure {
		t.Errorf("exit code %d for an unknown request, want %d", code, command.ExitFailure)
	}
	if code := command.Main(context.Background(), []string{"trace", "zz"}, &out, &errOut); code != command.ExitUsage {
		t.Errorf("exit code %d without a file, want %d", code, command.ExitUsage)
	}
}
