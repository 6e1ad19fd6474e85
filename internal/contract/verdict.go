package contract

// Verdict says whether a request may have run at an upstream. Only the component
// that can know decides it; all others pass it unchanged to the caller.
type Verdict uint8

// The verdicts. The zero value is MayHaveRun, so that a missing verdict never
// claims that a request has not run.
const (
	// MayHaveRun means that a byte of the request may have reached an upstream
	// and that no complete answer came back.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached an upstream, or that the
	// upstream itself refused it without running it.
	NotRun
	// Ran means that the upstream answered and that the answer is complete.
	Ran
)

// String returns the value of the Heathershed-Verdict header.
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

// ParseVerdict parses a Heathershed-Verdict header. Any unknown value is
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

// Reason says why a call has its verdict.
type Reason uint8

// The reasons. Messages between nodes carry the numbers, so new reasons may only
// be appended.
const (
	// ReasonNone: no failure; goes with Ran.
	ReasonNone Reason = iota
	// ReasonUnknownKind: no catalogue entry matches method and path.
	ReasonUnknownKind
	// ReasonBadRequest: a header or the body is invalid for the kind.
	ReasonBadRequest
	// ReasonTooLarge: the body of the request or answer exceeds the kind's limit.
	ReasonTooLarge
	// ReasonOverload: shed by priority level at admission or at the ingress.
	ReasonOverload
	// ReasonQueueTimeout: waited for a slot as long as its class allows, or until
	// it could no longer be answered in time.
	ReasonQueueTimeout
	// ReasonDeadline: the deadline passed or can't be met.
	ReasonDeadline
	// ReasonLimit: a limit of the catalogue entry or its owner's share is reached.
	ReasonLimit
	// ReasonNoUpstream: no upstream of the service is available.
	ReasonNoUpstream
	// ReasonLeaving: the chosen VM is leaving, or its upstream is draining or
	// has left.
	ReasonLeaving
	// ReasonLinkLost: the link failed or became unresponsive.
	ReasonLinkLost
	// ReasonUpstreamRefused: the upstream answered that it did not run the
	// request.
	ReasonUpstreamRefused
	// ReasonUpstreamFailed: the connection to the upstream failed.
	ReasonUpstreamFailed
	// ReasonPartialAnswer: the answer was truncated.
	ReasonPartialAnswer
	// ReasonCancelled: the caller disconnected or cancelled the call.
	ReasonCancelled
	// ReasonRetryBudget: the retry budget of the root request is spent.
	ReasonRetryBudget
	// ReasonParentEnded: the request that the nested call belongs to has ended.
	ReasonParentEnded
	// ReasonOrderRunning: the order is running; the caller should ask again.
	ReasonOrderRunning
	// ReasonOrderUnknown: the record of the order may have been lost.
	ReasonOrderUnknown
	// ReasonOrderExpired: the order id is older than the retention of records.
	ReasonOrderExpired
	// ReasonOrderHome: the home node of the order id can't be reached or does not
	// consider itself the home.
	ReasonOrderHome
	// ReasonStaleTarget: the chosen VM or its upstream was restarted after it
	// was chosen, or the VM's catalogue is older than the call's.
	ReasonStaleTarget
	// ReasonRingFull: a bounded ring buffer inside a node was full.
	ReasonRingFull
	// ReasonUpstreamSilent: the upstream is unresponsive: it accepts requests and
	// answers none.
	ReasonUpstreamSilent
	// ReasonUpstreamLimit: the upstream names a limit of requests a second, and
	// the request can't be sent within it in time.
	ReasonUpstreamLimit
	// ReasonHeaderTooLarge: the request line and headers exceed the limit of the
	// active configuration.
	ReasonHeaderTooLarge
	// ReasonCrashesUpstream: upstreams that ran the same request crashed.
	ReasonCrashesUpstream
	// ReasonUnauthenticated: the request has no key that the active configuration
	// knows.
	ReasonUnauthenticated
	// ReasonKeysUnconfirmed: the table of keys is too old to be used.
	ReasonKeysUnconfirmed
	// ReasonQuota: the workspace is over its limit.
	ReasonQuota

	// NumReasons is the number of reasons, for arrays indexed by Reason.
	NumReasons = iota
)

var reasonNames = [NumReasons]string{
	"none", "unknown-kind", "bad-request", "too-large", "overload",
	"queue-timeout", "deadline", "limit", "no-upstream", "leaving",
	"link-lost", "upstream-refused", "upstream-failed", "partial-answer",
	"cancelled", "retry-budget", "parent-ended", "order-running",
	"order-unknown", "order-expired", "order-home", "stale-target", "ring-full",
	"upstream-silent", "upstream-limit", "header-too-large",
	"crashes-upstream", "unauthenticated", "keys-unconfirmed", "quota",
}

// String returns the value of the Heathershed-Reason header, or "unknown".
func (r Reason) String() string {
	if int(r) >= NumReasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Status returns the HTTP status of a call that ended without an answer of an
// upstream. docs/VERDICTS.md has the whole table.
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
	case ReasonHeaderTooLarge:
		return 431
	case ReasonUnauthenticated:
		return 401
	case ReasonLimit, ReasonRetryBudget, ReasonQuota:
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
