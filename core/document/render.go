package document

import (
	"fmt"
	"strings"
)

// Render returns a valid document as YAML text. Parse turns the text back into an
// equal document.
func Render(d *Document) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\nname: %q\nclasses: %s\nresend_window: %s\n", d.Version, d.Name, quoteList(d.Classes), d.ResendWindow)
	fmt.Fprintf(&b, "answers:\n  bytes: %d\n  keys: %d\n", d.ResponseCache.Bytes, d.ResponseCache.Keys)
	if len(d.Groups) > 0 {
		fmt.Fprintf(&b, "groups: %s\n", quoteList(d.Groups))
	}
	b.WriteString("services:")
	if len(d.Services) == 0 {
		b.WriteString(" {}")
	}
	b.WriteString("\n")
	for _, s := range d.Services {
		fmt.Fprintf(&b, "  %q:\n    targets: %d\n    routes:\n", s.Name, s.TargetCount)
		for _, r := range s.Routes {
			r.render(&b, d)
		}
	}
	return []byte(b.String())
}

func (r *Route) render(b *strings.Builder, d *Document) {
	fmt.Fprintf(b, "      %q:\n        method: %s\n        path: %q\n        class: %q\n", r.Name, r.Method, r.Path, d.ClassName(r.Class))
	fmt.Fprintf(b, "        idempotent: %t\n        wait: %s\n        retries: %d\n        retry_on: %s\n", r.Idempotent, r.Timeout, r.RetryBudget, r.retryOnValue())
	if len(r.Callees) > 0 {
		fmt.Fprintf(b, "        calls: %s\n", quoteList(r.Callees))
	}
}

// quoteList returns list as a YAML flow sequence of quoted strings.
func quoteList(list []string) string {
	quoted := make([]string, len(list))
	for i, s := range list {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
