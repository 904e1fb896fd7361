package document

import (
	"fmt"
	"strings"
)

// Render returns the text of a checked document; Parse of it gives an equal one.
func Render(d *Document) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\nname: %q\nclasses: %s\nresend_window: %s\n", d.Version, d.Name, quoted(d.Classes), d.ResendWindow)
	fmt.Fprintf(&b, "answers:\n  bytes: %d\n  keys: %d\n", d.Answers.Bytes, d.Answers.Keys)
	if len(d.Groups) > 0 {
		fmt.Fprintf(&b, "groups: %s\n", quoted(d.Groups))
	}
	b.WriteString("services:")
	if len(d.Services) == 0 {
		b.WriteString(" {}")
	}
	b.WriteString("\n")
	for _, s := range d.Services {
		fmt.Fprintf(&b, "  %q:\n    targets: %d\n    routes:\n", s.Name, s.Targets)
		for _, r := range s.Routes {
			r.render(&b, d)
		}
	}
	return []byte(b.String())
}

func (r *Route) render(b *strings.Builder, d *Document) {
	fmt.Fprintf(b, "      %q:\n        method: %s\n        path: %q\n        class: %q\n", r.Name, r.Method, r.Path, d.ClassName(r.Class))
	fmt.Fprintf(b, "        idempotent: %t\n        wait: %s\n        retries: %d\n        retry_on: %s\n", r.Idempotent, r.Wait, r.Retries, r.retryOn())
	if len(r.Calls) > 0 {
		fmt.Fprintf(b, "        calls: %s\n", quoted(r.Calls))
	}
}

func quoted(list []string) string {
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = fmt.Sprintf("%q", s)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
