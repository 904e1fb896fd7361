// Package budget bounds retries. A call has one allotment of retry tokens over
// its whole call chain: tokens are lent to the calls made on its behalf, unspent
// ones come back with the answer, and those of a lost answer are gone. So the
// sum of all retries below an entry never exceeds what the document gives it.
package budget

// Pool holds the retry tokens of one call at one node. It is not safe for
// concurrent use.
type Pool struct {
	free int
	lent int
}

// NewPool returns a pool of n tokens.
func NewPool(n int) Pool { return Pool{free: max(n, 0)} }

// Free returns the tokens in hand.
func (p *Pool) Free() int { return p.free }

// Spend takes one token for a retry and reports whether there was one.
func (p *Pool) Spend() bool {
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

// LendAll hands out every token in hand: the receiver is the only one at work.
func (p *Pool) LendAll() int { return p.lend(p.free) }

// LendShare hands out half of the tokens in hand, rounded up: another call may
// yet be made beside this one.
func (p *Pool) LendShare() int { return p.lend((p.free + 1) / 2) }

func (p *Pool) lend(n int) int {
	p.free -= n
	p.lent += n
	return n
}

// Return takes back what is left of a loan of n tokens. More than was lent does
// not come back, whatever the borrower says.
func (p *Pool) Return(n, left int) {
	p.lent -= n
	p.free += min(max(left, 0), n)
}
