package engine

import (
	"strconv"
	"strings"

	"github.com/shallotspool/shallotspool/core/wire"
)

// outcomeNames holds the wire name of each outcome.
var outcomeNames = [...]string{
	OutcomeAnswered:      "answered",
	OutcomeNotRun:        "not_run",
	OutcomeUnknown:       "unknown_outcome",
	OutcomeUpstreamError: "upstream_error",
	OutcomeBadRequest:    "bad_request",
}

// reasonNames holds the wire name of each reason.
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
	ReasonAfterPause:       "woke_late",
	ReasonKeyReused:        "key_reused",
	ReasonStaleStamp:       "stale",
	ReasonKeyExpired:       "key_expired",
	ReasonUpstreamCrashed:  "upstream_crashed",
	ReasonRetryBudget:      "budget",
}

// unnamedReasonPrefix precedes the number of a reason that this version has no
// name for, so that an older node passes on the reasons of a newer one
// unchanged.
const unnamedReasonPrefix = "reason_"

// String returns the wire name of o.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return "outcome_" + strconv.Itoa(int(o))
}

// ParseOutcome returns the outcome with the given wire name. The second result
// is false if there is none.
func ParseOutcome(name string) (Outcome, bool) {
	for i, known := range outcomeNames {
		if known != "" && known == name {
			return Outcome(i), true
		}
	}
	return 0, false
}

// String returns the wire name of r.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return unnamedReasonPrefix + strconv.Itoa(int(r))
}

// ParseReason returns the reason with the given wire name, which may be a
// numbered one. The second result is false if the name is not valid.
func ParseReason(name string) (Reason, bool) {
	for i, known := range reasonNames {
		if known == name {
			return Reason(i), true
		}
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(name, unnamedReasonPrefix), 10, 8)
	if err != nil || !strings.HasPrefix(name, unnamedReasonPrefix) {
		return 0, false
	}
	return Reason(n), true
}

// nodeStateName returns the name that Status shows for a node state.
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
