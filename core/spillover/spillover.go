// Package spillover bounds the share of work that is sent to another data centre
// because the local targets are loaded. Work that is sent there because no local
// target accepts any is not bounded, since it has no alternative.
package spillover

// MaxRemoteShare is the highest share of choices that may go to another data centre
// because of load.
const MaxRemoteShare = 0.3

// burst is the highest credit, in choices of another data centre.
const burst = 20

// Credit is a token bucket that bounds how often another data centre is chosen.
// The zero value is empty. It is not safe for concurrent use.
type Credit struct{ tokens float64 }

// RecordChoice records one choice of a target, which adds to the credit.
func (c *Credit) RecordChoice() { c.tokens = min(c.tokens+MaxRemoteShare, burst) }

// Take takes the credit for one choice of another data centre and reports whether
// there was enough.
func (c *Credit) Take() bool {
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// PreferRemote reports whether a call should go to another data centre. local and
// remote are the utilisations of the best target found in the own data centre and
// in the others, where 1 is fully used.
func PreferRemote(local, remote float64) bool {
	return local >= LoadedUtilisation && remote < local*maxRemoteRatio
}

const (
	// LoadedUtilisation is the utilisation of a local target from which work may be
	// sent to another data centre.
	LoadedUtilisation = 0.8
	// maxRemoteRatio is the ratio of the remote to the local utilisation below which
	// the remote target is preferred.
	maxRemoteRatio = 0.75
)
