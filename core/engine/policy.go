package engine

// Policy enables the mechanisms of a node. The daemon always runs Full; the
// others allow measurements of what each mechanism contributes.
type Policy struct {
	// Adaptive adjusts the concurrency limit; otherwise it keeps its initial
	// value.
	Adaptive bool
	// Classes admits by class, priority and depth; otherwise first come, first
	// served.
	Classes bool
	// Levels refuses calls at the entry that would be refused deeper in the
	// call tree.
	Levels bool
	// Budget shares one retry budget across the call tree. Without it, each
	// node makes up to HopAttempts attempts at a call.
	Budget      bool
	HopAttempts int
	// RetryRatio limits retries to a share of first attempts.
	RetryRatio bool
	// Deadlines drops work that cannot meet its deadline and cancels work whose
	// result nobody waits for.
	Deadlines bool
	// Outliers ejects failing targets from load balancing.
	Outliers bool
	// SlowStart ramps up the load of newly started upstreams.
	SlowStart bool
	// Spill prefers targets in the own data centre unless they are loaded, and
	// limits the traffic to other data centres.
	Spill bool
	// Ownership runs non-idempotent requests at most once.
	Ownership bool
	// Poison limits the number of upstreams that one request can crash.
	Poison bool
}

// Full enables all mechanisms. The daemon uses it.
func Full() Policy {
	return Policy{
		Adaptive: true, Classes: true, Levels: true, Budget: true, RetryRatio: true,
		Deadlines: true, Outliers: true, SlowStart: true, Spill: true, Ownership: true, Poison: true,
		HopAttempts: 3,
	}
}

// None disables all mechanisms and allows three attempts at each hop.
func None() Policy { return Policy{HopAttempts: 3} }

// Static disables all mechanisms and allows two attempts at each hop: a fixed
// concurrency limit and one retry.
func Static() Policy { return Policy{HopAttempts: 2} }

// Without returns p with the named mechanism disabled; ok is false if there is
// no such mechanism.
func (p Policy) Without(mechanism string) (Policy, bool) {
	switches := map[string]*bool{
		"adaptive": &p.Adaptive, "classes": &p.Classes, "levels": &p.Levels, "budget": &p.Budget,
		"retry_ratio": &p.RetryRatio, "deadlines": &p.Deadlines, "outliers": &p.Outliers,
		"slow_start": &p.SlowStart, "spill": &p.Spill, "ownership": &p.Ownership, "poison": &p.Poison,
	}
	enabled := switches[mechanism]
	if enabled == nil {
		return p, false
	}
	*enabled = false
	return p, true
}
