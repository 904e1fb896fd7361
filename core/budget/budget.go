// Package budget bounds retries. A request has one retry budget, counted in tokens,
// for its whole call tree: the first call and all calls made on its behalf. A call
// lends tokens to the calls that it makes. The unspent ones come back with the
// answer; those of a lost answer are lost. Thus the retries in a call tree never
// exceed the budget that the document sets.
package budget

// Pool holds the retry tokens of one call at one node. It is not safe for
// concurrent use.
type Pool struct {
	initial int
	free    int
	lent    int
	spent   int
}

// NewPool returns a pool of n tokens.
func NewPool(n int) Pool {
	n = max(n, 0)
	return Pool{initial: n, free: n}
}

// Available returns the number of tokens that are neither spent nor lent.
func (p *Pool) Available() int { return p.free }

// Spend takes one token for a retry and reports whether there was one.
func (p *Pool) Spend() bool {
	if p.free == 0 {
		return false
	}
	p.free--
	p.spent++
	return true
}

// LendAll lends all free tokens and returns their number. It suits a pool that
// makes no further loan until this one is returned.
func (p *Pool) LendAll() int { return p.lend(p.free) }

// LendShare lends tokens to the next call and returns their number. calls is the
// number of calls yet to be made, this one included. firstAttemptCost is the number
// of tokens that the first attempt at this call costs: not 0 if the call is made
// again because an attempt above it was retried. The loan is an equal share of the
// free tokens, rounded up, but at least firstAttemptCost; all free tokens if there
// are fewer.
func (p *Pool) LendShare(calls, firstAttemptCost int) int {
	calls = max(calls, 1)
	return p.lend(min(max((p.free+calls-1)/calls, firstAttemptCost), p.free))
}

// LendForSubtree lends tokens for an attempt at a call and returns their number.
// size is the number of calls in the call tree of that call, itself included. A
// retry of the attempt costs size tokens: one is spent here, and one for each call
// that is then made again below. The pool keeps size tokens for a retry if at least
// size remain to be lent; otherwise it lends all. A call that makes no calls itself
// needs no tokens.
func (p *Pool) LendForSubtree(size int) int {
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

// Return takes back the unspent tokens of a loan of n. It never takes back more
// than n, whatever the borrower reports.
func (p *Pool) Return(n, unspent int) {
	p.lent -= n
	p.free += min(max(unspent, 0), n)
}

// Conserved reports whether the free, lent and spent tokens together are no more
// than the initial ones. It is false only after a Pool.Return that matches no loan.
func (p *Pool) Conserved() bool {
	return p.free >= 0 && p.lent >= 0 && p.free+p.lent+p.spent <= p.initial
}
