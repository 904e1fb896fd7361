package engine

import (
	"strconv"
	"strings"

	"github.com/shallotspool/shallotspool/core/wire"
)

// outcomeNames are the names of the outcomes on the wire.
var outcomeNames = [...]string{
	OutcomeAnswered:      "answered",
	OutcomeNotRun:        "not_run",
	OutcomeUnknown:       "unknown_outcome",
	OutcomeUpstreamError: "upstream_error",
	OutcomeBadRequest:    "bad_request",
}

// reasonNames are the names of the reasons on the wire.
var reasonNames = [...]string{
	ReasonNone:             "none",
	ReasonNoDocument:       "no_document",
	ReasonNoRoute:          "no_route",
	ReasonNoKey:            "no_key",
	ReasonOverload:         "overload",
	ReasonDeadline:         "deadline",
	ReasonNoTarget:         "no_target",
	ReasonLeaving:          "leaving",
	ReasonNotOwner:         "not_owner",
	ReasonOwnerStarting:    "owner_starting",
	ReasonOwnerUnreachable: "owner_unreachable",
	ReasonTableFull:        "table_full",
	ReasonPoison:           "poison",
	ReasonCancelled:        "cancelled",
	ReasonAttemptLost:      "attempt_lost",
	ReasonWokeLate:         "woke_late",
	ReasonKeyReused:        "key_reused",
	ReasonStale:            "stale",
	ReasonKeyExpired:       "key_expired",
	ReasonUpstreamCrashed:  "upstream_crashed",
	ReasonBudget:           "budget",
}

// numbered stands before the number of a reason that has no name, so that a
// newer node's reason passes through an older one.
const numbered = "reason_"

// String returns the name of o on the wire.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return "outcome_" + strconv.Itoa(int(o))
}

// OutcomeNamed returns the outcome of a name on the wire.
func OutcomeNamed(name string) (Outcome, bool) {
	for i, known := range outcomeNames {
		if known != "" && known == name {
			return Outcome(i), true
		}
	}
	return 0, false
}

// String returns the name of r on the wire.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return numbered + strconv.Itoa(int(r))
}

// ReasonNamed returns the reason of a name on the wire.
func ReasonNamed(name string) (Reason, bool) {
	for i, known := range reasonNames {
		if known == name {
			return Reason(i), true
		}
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(name, numbered), 10, 8)
	if err != nil || !strings.HasPrefix(name, numbered) {
		return 0, false
	}
	return Reason(n), true
}

func nodeStateName(s wire.NodeState) string {
	switch s {
	case wire.NodeStarting:
		return "starting"
	case wire.NodeServing:
		return "serving"
	case wire.NodeLeaving:
		return "leaving"
	case wire.NodeLeft:
		return "left"
	}
	return "unknown"
}
