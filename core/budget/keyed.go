package budget

import "time"

// KeyedBudgets keeps the retry budgets of requests that have a key until they
// expire. A request that its caller sends again thereby gets only what the earlier
// sends left of its budget. The number of keys is bounded: when it is reached,
// existing keys are kept and new ones are not tracked. It is not safe for
// concurrent use.
type KeyedBudgets struct {
	maxKeys int
	budgets map[RequestKey]*keyedBudget
	// order holds the keys in the order of their first use, in which they are
	// checked for expiry.
	order []RequestKey
}

// RequestKey identifies one request of a caller by the key that the caller set and
// by a fingerprint of the request's content, because two callers may use the same
// key.
type RequestKey struct {
	Key         string
	Fingerprint uint64
}

// keyedBudget is the retry budget of one keyed request.
type keyedBudget struct {
	free int
	// openSends is the number of sends in progress.
	openSends int
	// attempted is true if an attempt was made for an earlier send.
	attempted bool
	// mayHaveRun is true if an earlier send may have run on an upstream.
	mayHaveRun bool
	expires    time.Duration
}

// Grant is the part of a retry budget that one send gets.
type Grant struct {
	// Tokens is the number of tokens that earlier sends left.
	Tokens int
	// Attempted is true if an attempt was made for an earlier send, or if such a
	// send is still in progress.
	Attempted bool
	// MayHaveRun is true if an earlier send may have run on an upstream, or may
	// yet do so.
	MayHaveRun bool
	// Tracked is true if the budget is tracked. The end of the send then has to be
	// recorded, so that its unspent tokens are available again.
	Tracked bool
}

// NewKeyedBudgets returns an empty set of budgets for at most limit keys.
func NewKeyedBudgets(limit int) *KeyedBudgets {
	return &KeyedBudgets{maxKeys: limit, budgets: map[RequestKey]*keyedBudget{}}
}

// Acquire starts a send of a request and takes the free tokens of its budget. A new
// key starts with the given number of tokens. expires is when the caller stops
// waiting for the request.
func (m *KeyedBudgets) Acquire(now time.Duration, key RequestKey, tokens int, expires time.Duration) Grant {
	m.removeExpired(now)
	b := m.budgets[key]
	if b != nil && b.openSends == 0 && b.expires <= now {
		*b = keyedBudget{free: tokens, expires: expires}
	}
	if b == nil {
		if len(m.budgets) >= m.maxKeys {
			return Grant{Tokens: tokens}
		}
		b = &keyedBudget{free: tokens, expires: expires}
		m.budgets[key] = b
		m.order = append(m.order, key)
	}
	grant := Grant{
		Tokens: min(b.free, tokens), Attempted: b.attempted || b.openSends > 0,
		MayHaveRun: b.mayHaveRun || b.openSends > 0, Tracked: true,
	}
	b.free -= grant.Tokens
	b.openSends++
	return grant
}

// Release ends a send whose budget is tracked. unspent is the number of its tokens
// that are left, attempted tells whether any attempt was made for it, and
// mayHaveRun whether it may have run on an upstream.
func (m *KeyedBudgets) Release(key RequestKey, unspent int, attempted, mayHaveRun bool) {
	b := m.budgets[key]
	if b == nil || b.openSends == 0 {
		return
	}
	b.openSends--
	b.free += unspent
	b.attempted = b.attempted || attempted
	b.mayHaveRun = b.mayHaveRun || mayHaveRun
}

// Len returns the number of keys tracked.
func (m *KeyedBudgets) Len() int { return len(m.budgets) }

// removeExpired removes expired keys, the oldest first, up to the first that has
// not expired or has a send in progress.
func (m *KeyedBudgets) removeExpired(now time.Duration) {
	for len(m.order) > 0 {
		b := m.budgets[m.order[0]]
		if b.openSends > 0 || b.expires > now {
			return
		}
		delete(m.budgets, m.order[0])
		m.order[0] = RequestKey{}
		m.order = m.order[1:]
	}
}
