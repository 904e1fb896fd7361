// Package spill bounds the work that leaves a data centre because the targets
// there are loaded. Work that leaves because no target there takes any is not
// bounded: it has nowhere else to go.
package spill

// Share is the highest share of choices that may leave for load.
const Share = 0.3

// burst is the number of unused choices that are saved up.
const burst = 20

// Credit counts what may leave. The zero value starts with nothing saved up. It
// is not safe for concurrent use.
type Credit struct{ saved float64 }

// Chosen counts one choice of a target.
func (c *Credit) Chosen() { c.saved = min(c.saved+Share, burst) }

// Take takes the credit for one choice to leave and reports whether there was
// any.
func (c *Credit) Take() bool {
	if c.saved < 1 {
		return false
	}
	c.saved--
	return true
}

// Elsewhere tells whether a call is better off in another data centre. here and
// there are the utilisations of the better target of each, 1 being full.
func Elsewhere(here, there float64) bool {
	return here >= Loaded && there < here*clearly
}

const (
	// Loaded is the utilisation from which a target's work may leave.
	Loaded = 0.8
	// clearly is how much less loaded the other target has to be.
	clearly = 0.75
)
