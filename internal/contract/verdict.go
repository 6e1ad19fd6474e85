package contract

// Verdict says whether a request may have run at an upstream. It is decided at
// the one place that knows and carried unchanged to the caller.
type Verdict uint8

// The verdicts. The zero value is the careful one.
const (
	// MayHaveRun means that a byte of the request may have reached an upstream
	// and no whole answer came back.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of this request reached an upstream, or that
	// the upstream itself refused it unrun.
	NotRun
	// Ran means that the upstream answered and the answer is whole.
	Ran
)

// String returns the verdict as the Heathershed-Verdict header spells it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict reads a Heathershed-Verdict header. Anything unknown is
// MayHaveRun.
func ParseVerdict(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Reason says why a call ended the way it did.
type Reason uint8

// The reasons. The wire carries the numbers: append only.
const (
	// ReasonNone goes with Ran.
	ReasonNone Reason = iota
	// ReasonUnknownKind: no catalogue entry matches method and path.
	ReasonUnknownKind
	// ReasonBadRequest: a header or the body breaks the contract of the kind.
	ReasonBadRequest
	// ReasonTooLarge: the body of request or answer is over the kind's limit.
	ReasonTooLarge
	// ReasonOverload: shed by level at admission or at the front door.
	ReasonOverload
	// ReasonQueueTimeout: waited as long as its class may wait.
	ReasonQueueTimeout
	// ReasonDeadline: the deadline passed or can't be met.
	ReasonDeadline
	// ReasonLimit: a limit of the catalogue entry or its owner's share.
	ReasonLimit
	// ReasonNoUpstream: no upstream of the service can be chosen.
	ReasonNoUpstream
	// ReasonLeaving: the chosen VM is leaving.
	ReasonLeaving
	// ReasonLinkLost: the link failed or went silent.
	ReasonLinkLost
	// ReasonUpstreamRefused: the upstream itself answered that it did not run.
	ReasonUpstreamRefused
	// ReasonUpstreamFailed: the connection to the upstream failed.
	ReasonUpstreamFailed
	// ReasonPartialAnswer: the answer ended before its length.
	ReasonPartialAnswer
	// ReasonCancelled: the caller left.
	ReasonCancelled
	// ReasonRetryBudget: the retries of the root request are spent.
	ReasonRetryBudget
	// ReasonParentEnded: the request that the sub-call belongs to has ended.
	ReasonParentEnded
	// ReasonOrderRunning: the order runs right now; ask again.
	ReasonOrderRunning
	// ReasonOrderUnknown: the record of the order may have been lost.
	ReasonOrderUnknown
	// ReasonOrderExpired: the order id is older than records are kept.
	ReasonOrderExpired
	// ReasonOrderHome: the home of the order id can't be reached or doesn't
	// agree that it is the home.
	ReasonOrderHome
	// ReasonStaleTarget: the VM was restarted since it was chosen.
	ReasonStaleTarget
	// ReasonRingFull: a bounded ring inside a node was full.
	ReasonRingFull
	// ReasonUpstreamSilent: the upstream has stopped answering.
	ReasonUpstreamSilent

	// NumReasons is the number of reasons, for arrays indexed by Reason.
	NumReasons = iota
)

var reasonNames = [NumReasons]string{
	"none", "unknown-kind", "bad-request", "too-large", "overload",
	"queue-timeout", "deadline", "limit", "no-upstream", "leaving",
	"link-lost", "upstream-refused", "upstream-failed", "partial-answer",
	"cancelled", "retry-budget", "parent-ended", "order-running",
	"order-unknown", "order-expired", "order-home", "stale-target", "ring-full",
	"upstream-silent",
}

// String returns the reason as the Heathershed-Reason header spells it.
func (r Reason) String() string {
	if int(r) >= NumReasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Status is the HTTP status a caller sees for a call that ended without an
// upstream's answer. See docs/VERDICTS.md for the whole table.
func Status(v Verdict, r Reason) int {
	switch r {
	case ReasonUnknownKind:
		return 404
	case ReasonBadRequest:
		return 400
	case ReasonTooLarge:
		if v == NotRun {
			return 413
		}
		return 502
	case ReasonLimit, ReasonRetryBudget:
		return 429
	case ReasonDeadline, ReasonCancelled:
		return 504
	case ReasonOrderRunning:
		return 409
	case ReasonOrderExpired, ReasonOrderUnknown:
		return 410
	}
	if v == NotRun {
		return 503
	}
	return 502
}
