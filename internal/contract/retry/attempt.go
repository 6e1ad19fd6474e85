package retry

import (
	"time"

	"heathershed/internal/contract"
)

// Bounds of the wait before another attempt.
const (
	// backoffBase is the mean wait before the second attempt; it doubles with
	// every further one.
	backoffBase = 10 * time.Millisecond
	// backoffMax bounds the backoff, without what RetryAfter asks for.
	backoffMax = 500 * time.Millisecond
	// holdMax bounds the wait as a whole. A request that must wait longer is
	// handed back to its caller rather than held in a node's memory.
	holdMax = time.Second
	// attemptMin is the least time an attempt needs to be worth sending.
	attemptMin = 2 * time.Millisecond
)

// Attempt is one attempt of a call that has failed.
type Attempt struct {
	// Kind is the request kind; nil counts as an order.
	Kind *contract.Kind
	// Verdict and Reason are how the attempt ended.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Number counts the attempts of this call from 0.
	Number int
	// RetryAfter is the wait that the refusal asked for, or 0.
	RetryAfter time.Duration
	// Left is the time until the call's deadline.
	Left time.Duration
	// ShedEverywhere says that every known upstream of the service sheds the
	// level of the call, see routing.Router.ShedsEverywhere.
	ShedEverywhere bool
}

// pace says how soon another attempt can help.
type pace uint8

const (
	// paceNever: another attempt can't help.
	paceNever pace = iota
	// paceBackoff: the service is short of something; wait first.
	paceBackoff
	// paceFailover: this upstream is out of reach, another one may do at once.
	paceFailover
)

// paces lists the reasons after which another attempt can help. All others,
// and reasons that this version does not know, are paceNever.
var paces = [contract.NumReasons]pace{
	contract.ReasonOverload:        paceBackoff,
	contract.ReasonQueueTimeout:    paceBackoff,
	contract.ReasonNoUpstream:      paceBackoff,
	contract.ReasonRingFull:        paceBackoff,
	contract.ReasonUpstreamRefused: paceBackoff,
	contract.ReasonLeaving:         paceFailover,
	contract.ReasonLinkLost:        paceFailover,
	contract.ReasonUpstreamFailed:  paceFailover,
	contract.ReasonPartialAnswer:   paceFailover,
	contract.ReasonStaleTarget:     paceFailover,
	contract.ReasonUpstreamSilent:  paceFailover,
}

// ShouldRetry decides whether a failed attempt is worth another one, and after which
// wait. jitter is a random number from the caller; the same arguments give the
// same decision. The wait never reaches into the time that the next attempt
// needs. The caller still has to take the retry from its Ledger and Ratio.
func ShouldRetry(a Attempt, jitter uint64) (wait time.Duration, again bool) {
	if !harmless(a) {
		return 0, false
	}
	if a.Reason == contract.ReasonOverload && a.ShedEverywhere {
		return 0, false
	}
	switch paceOf(a.Reason) {
	case paceNever:
		return 0, false
	case paceFailover:
		if a.Number > 0 {
			wait = backoff(a.Number, jitter)
		}
	case paceBackoff:
		wait = max(a.RetryAfter, 0) + backoff(a.Number, jitter)
	}
	if wait > holdMax || wait+attemptMin > a.Left {
		return 0, false
	}
	return wait, true
}

// harmless reports whether another attempt can't run the request twice where
// that matters.
func harmless(a Attempt) bool {
	switch a.Verdict {
	case contract.NotRun:
		return true
	case contract.MayHaveRun:
		return a.Kind != nil && a.Kind.Idempotent
	default:
		return false
	}
}

// paceOf looks up a reason, unknown ones included.
func paceOf(r contract.Reason) pace {
	if int(r) >= len(paces) {
		return paceNever
	}
	return paces[r]
}

// backoff is the wait after the attempt with the given number: uniform between
// half and one and a half times a mean that doubles with the number.
func backoff(number int, jitter uint64) time.Duration {
	mean := backoffMax
	if shift := max(number, 0); shift < 8 {
		mean = min(backoffBase<<shift, backoffMax)
	}
	return mean/2 + time.Duration(jitter%uint64(mean))
}
