// Package budget bounds retries. A call has one allotment of retry tokens over
// its whole call chain: tokens are lent to the calls made on its behalf, unspent
// ones come back with the answer, and those of a lost answer are gone. So the
// sum of all retries below an entry never exceeds what the document gives it.
package budget

// Pool holds the retry tokens of one call at one node. It is not safe for
// concurrent use.
type Pool struct {
	given int
	free  int
	lent  int
	spent int
}

// NewPool returns a pool of n tokens.
func NewPool(n int) Pool {
	n = max(n, 0)
	return Pool{given: n, free: n}
}

// Free returns the tokens in hand.
func (p *Pool) Free() int { return p.free }

// Spend takes one token for a retry and reports whether there was one.
func (p *Pool) Spend() bool {
	if p.free == 0 {
		return false
	}
	p.free--
	p.spent++
	return true
}

// LendAll hands out every token in hand: the receiver is the only one at work.
func (p *Pool) LendAll() int { return p.lend(p.free) }

// LendShare hands out an equal share of the tokens in hand, rounded up, to the
// first of calls that are yet to be made; but at least need, if there are so many.
func (p *Pool) LendShare(calls, need int) int {
	calls = max(calls, 1)
	return p.lend(min(max((p.free+calls-1)/calls, need), p.free))
}

// LendFor hands out tokens for an attempt at a call whose tree holds size
// calls, itself included. A repeat of that attempt costs size tokens; as many
// are kept when at least as many are left to lend. A call that makes no calls
// needs no tokens.
func (p *Pool) LendFor(size int) int {
	if size <= 1 {
		return 0
	}
	if p.free >= 2*size {
		return p.lend(p.free - size)
	}
	return p.LendAll()
}

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

// Conserved reports whether the pool has neither spent, lent nor kept more than
// it was given. It is false only after a Return that matches no loan.
func (p *Pool) Conserved() bool {
	return p.free >= 0 && p.lent >= 0 && p.free+p.lent+p.spent <= p.given
}
