package budget

import "time"

// KeyedBudgets keeps the retry budgets of requests that have a key until the budgets
// expire. Each arrival of a request from its caller is a call, so a request that
// its caller sends again makes several calls. A later call gets only what the
// earlier ones left of the budget. The number of keys is bounded: at the bound,
// existing keys are kept and new ones are not tracked. KeyedBudgets is not safe for
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
	// openCalls is the number of calls in progress.
	openCalls int
	// attempted is true if an attempt was made for an earlier call.
	attempted bool
	// mayHaveRun is true if an earlier call may have run on an upstream.
	mayHaveRun bool
	expires    time.Duration
}

// Grant is the part of a retry budget that one call gets.
type Grant struct {
	// Tokens is the number of tokens that the call gets: all of the budget, or what
	// earlier calls left of it.
	Tokens int
	// Attempted is true if an attempt was made for an earlier call, or if such a
	// call is still in progress.
	Attempted bool
	// MayHaveRun is true if an earlier call may have run on an upstream, or may
	// yet do so.
	MayHaveRun bool
	// Tracked is true if the budget is tracked. KeyedBudgets.Release then has to be
	// called at the end of the call, so that its unspent tokens are available again.
	Tracked bool
}

// NewKeyedBudgets returns an empty set of budgets for at most limit keys.
func NewKeyedBudgets(limit int) *KeyedBudgets {
	return &KeyedBudgets{maxKeys: limit, budgets: map[RequestKey]*keyedBudget{}}
}

// Acquire starts a call and takes the free tokens of the budget of its request. A
// new or expired key starts with the given number of tokens. expires is when the
// caller stops waiting for the request.
func (m *KeyedBudgets) Acquire(now time.Duration, key RequestKey, tokens int, expires time.Duration) Grant {
	m.removeExpired(now)
	b := m.budgets[key]
	if b != nil && b.openCalls == 0 && b.expires <= now {
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
		Tokens: min(b.free, tokens), Attempted: b.attempted || b.openCalls > 0,
		MayHaveRun: b.mayHaveRun || b.openCalls > 0, Tracked: true,
	}
	b.free -= grant.Tokens
	b.openCalls++
	return grant
}

// Release ends a call whose budget is tracked. unspent is the number of its tokens
// that are left, attempted tells whether any attempt was made for it, and
// mayHaveRun whether it may have run on an upstream.
func (m *KeyedBudgets) Release(key RequestKey, unspent int, attempted, mayHaveRun bool) {
	b := m.budgets[key]
	if b == nil || b.openCalls == 0 {
		return
	}
	b.openCalls--
	b.free += unspent
	b.attempted = b.attempted || attempted
	b.mayHaveRun = b.mayHaveRun || mayHaveRun
}

// Len returns the number of keys tracked.
func (m *KeyedBudgets) Len() int { return len(m.budgets) }

// removeExpired removes expired keys, the oldest first, up to the first that has
// not expired or has a call in progress.
func (m *KeyedBudgets) removeExpired(now time.Duration) {
	for len(m.order) > 0 {
		b := m.budgets[m.order[0]]
		if b.openCalls > 0 || b.expires > now {
			return
		}
		delete(m.budgets, m.order[0])
		m.order[0] = RequestKey{}
		m.order = m.order[1:]
	}
}
