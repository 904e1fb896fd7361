package engine

// Policy switches the mechanisms of a node on. A daemon always runs Full; the
// others exist so that a measurement shows what each mechanism is worth.
type Policy struct {
	// Adaptive learns the concurrency limit; otherwise it stays where it began.
	Adaptive bool
	// Classes refuses by class and depth; otherwise first come, first served.
	Classes bool
	// Levels refuses at the entry what would be refused deeper in the chain.
	Levels bool
	// Budget divides one allotment of retries over the chain; without it each
	// layer makes up to HopAttempts attempts.
	Budget      bool
	HopAttempts int
	// RetryRatio bounds retries to a share of first attempts.
	RetryRatio bool
	// Deadlines drops work whose deadline cannot be met and cancels work that
	// nobody waits for.
	Deadlines bool
	// Outliers stops sending to targets that fail.
	Outliers bool
	// SlowStart gives cold upstreams a growing share of work.
	SlowStart bool
	// Spill keeps work in the own data centre unless that is loaded, and bounds
	// what leaves it.
	Spill bool
	// Ownership runs a request that is not idempotent at most once.
	Ownership bool
	// Poison bounds the upstreams that one request may crash.
	Poison bool
}

// Full is what a daemon runs.
func Full() Policy {
	return Policy{
		Adaptive: true, Classes: true, Levels: true, Budget: true, RetryRatio: true,
		Deadlines: true, Outliers: true, SlowStart: true, Spill: true, Ownership: true, Poison: true,
		HopAttempts: 3,
	}
}

// None admits everything and makes three attempts at each layer.
func None() Policy { return Policy{HopAttempts: 3} }

// Static has a fixed limit and a retry cap at each layer.
func Static() Policy { return Policy{HopAttempts: 2} }

// Without returns p with the named mechanism switched off, and false if there is
// no such mechanism.
func (p Policy) Without(mechanism string) (Policy, bool) {
	switches := map[string]*bool{
		"adaptive": &p.Adaptive, "classes": &p.Classes, "levels": &p.Levels, "budget": &p.Budget,
		"retry_ratio": &p.RetryRatio, "deadlines": &p.Deadlines, "outliers": &p.Outliers,
		"slow_start": &p.SlowStart, "spill": &p.Spill, "ownership": &p.Ownership, "poison": &p.Poison,
	}
	s := switches[mechanism]
	if s == nil {
		return p, false
	}
	*s = false
	return p, true
}
