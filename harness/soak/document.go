package soak

import "fmt"

// documentText returns a version of the soak's document. The resend window is short, so
// that keys expire within a run.
func documentText(version int) []byte {
	return fmt.Appendf(nil, `version: %d
name: soak
classes: [payment, lookup]
resend_window: 6s
answers: {bytes: 4096, keys: 400}
services:
  shop:
    targets: 3
    routes:
      find: {method: GET, path: /find, class: lookup, idempotent: true, wait: 1500ms, retries: 6, calls: [stock.look]}
      buy: {method: POST, path: /buy, class: payment, idempotent: false, wait: 2s, retries: 9, calls: [stock.look, pay.charge]}
  stock:
    targets: 3
    routes:
      look: {method: GET, path: /look, class: lookup, idempotent: true, wait: 1s, retries: 1}
  pay:
    targets: 3
    routes:
      charge: {method: POST, path: /charge, class: payment, idempotent: false, wait: 1500ms, retries: 4}
`, version)
}
