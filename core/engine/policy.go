package engine

// Policy enables the mechanisms of a node. The daemon always runs FullPolicy;
// the others allow measurements of what each mechanism contributes.
type Policy struct {
	// AdaptiveLimit adjusts the concurrency limit; otherwise it keeps its
	// initial value.
	AdaptiveLimit bool
	// ClassPriorities admits by class, priority and depth; otherwise first
	// come, first served.
	ClassPriorities bool
	// AdmissionLevels refuses calls at the entry that would be refused deeper
	// in the call tree.
	AdmissionLevels bool
	// RetryBudget shares one retry budget across the call tree.
	RetryBudget bool
	// MaxAttemptsPerHop is the maximum number of attempts that each node makes
	// at a call. It has no effect with RetryBudget.
	MaxAttemptsPerHop int
	// RetryRatio limits retries to a share of first attempts.
	RetryRatio bool
	// Deadlines drops work that cannot meet its deadline and cancels work whose
	// result nobody waits for.
	Deadlines bool
	// OutlierEjection ejects failing targets from load balancing.
	OutlierEjection bool
	// SlowStart ramps up the load of newly started upstreams.
	SlowStart bool
	// BoundedSpillover prefers targets in the node's data centre unless they
	// are loaded, and limits the traffic to other data centres.
	BoundedSpillover bool
	// KeyOwnership runs non-idempotent requests at most once, by means of key
	// owners, stamps, fences and the detection of pauses.
	KeyOwnership bool
	// PoisonProtection limits the number of upstreams that one request can
	// crash.
	PoisonProtection bool
}

// FullPolicy enables all mechanisms. The daemon uses it.
func FullPolicy() Policy {
	return Policy{
		AdaptiveLimit: true, ClassPriorities: true, AdmissionLevels: true, RetryBudget: true, RetryRatio: true,
		Deadlines: true, OutlierEjection: true, SlowStart: true, BoundedSpillover: true, KeyOwnership: true, PoisonProtection: true,
		MaxAttemptsPerHop: 3, // for Without("budget")
	}
}

// UnprotectedPolicy disables all mechanisms, which leaves a fixed concurrency
// limit, and allows three attempts at each hop.
func UnprotectedPolicy() Policy { return Policy{MaxAttemptsPerHop: 3} }

// StaticPolicy is UnprotectedPolicy with two attempts, that is one retry, at each
// hop.
func StaticPolicy() Policy { return Policy{MaxAttemptsPerHop: 2} }

// Without returns p with the named mechanism disabled. The second result is
// false if there is no such mechanism.
func (p Policy) Without(mechanism string) (Policy, bool) {
	switches := map[string]*bool{
		"adaptive": &p.AdaptiveLimit, "classes": &p.ClassPriorities, "levels": &p.AdmissionLevels, "budget": &p.RetryBudget,
		"retry_ratio": &p.RetryRatio, "deadlines": &p.Deadlines, "outliers": &p.OutlierEjection,
		"slow_start": &p.SlowStart, "spill": &p.BoundedSpillover, "ownership": &p.KeyOwnership, "poison": &p.PoisonProtection,
	}
	enabled := switches[mechanism]
	if enabled == nil {
		return p, false
	}
	*enabled = false
	return p, true
}
