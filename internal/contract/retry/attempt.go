package retry

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// backoffBase is the mean backoff before the second attempt. It doubles with
	// every further attempt.
	backoffBase = 10 * time.Millisecond
	// backoffMax bounds the mean backoff; Attempt.RetryAfter is added to it.
	backoffMax = 500 * time.Millisecond
	// waitMax bounds the whole wait before an attempt. A request that would have
	// to wait longer is returned to its caller rather than kept in the memory of
	// a node.
	waitMax = time.Second
	// attemptMin is the time that must be left for an attempt to be sent.
	attemptMin = 2 * time.Millisecond
)

// Attempt describes a failed attempt of a call.
type Attempt struct {
	// Kind is the request kind; nil counts as an order.
	Kind *contract.Kind
	// Verdict and Reason are the outcome of the attempt.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Number is the number of the attempt within the call, counted from 0.
	Number int
	// RetryAfter is the wait that the rejection asked for, or 0.
	RetryAfter time.Duration
	// Left is the time until the call's deadline.
	Left time.Duration
	// ShedEverywhere reports that every known upstream of the service sheds the
	// level of the call, see routing.Router.ShedsEverywhere.
	ShedEverywhere bool
}

// retryMode says how a failed attempt can be retried.
type retryMode uint8

const (
	// noRetry: another attempt can't succeed.
	noRetry retryMode = iota
	// retryBackoff: the service lacks capacity, so a backoff comes first.
	retryBackoff
	// retryFailover: this upstream, its node or the link failed or is leaving,
	// and the first retry can go to another upstream without a wait.
	retryFailover
)

// retryModes lists the reasons after which another attempt can succeed. All
// others, also reasons that this version does not know, are noRetry.
var retryModes = [contract.NumReasons]retryMode{
	contract.ReasonOverload:        retryBackoff,
	contract.ReasonQueueTimeout:    retryBackoff,
	contract.ReasonNoUpstream:      retryBackoff,
	contract.ReasonRingFull:        retryBackoff,
	contract.ReasonUpstreamRefused: retryBackoff,
	contract.ReasonLeaving:         retryFailover,
	contract.ReasonLinkLost:        retryFailover,
	contract.ReasonUpstreamFailed:  retryFailover,
	contract.ReasonPartialAnswer:   retryFailover,
	contract.ReasonStaleTarget:     retryFailover,
	contract.ReasonUpstreamSilent:  retryFailover,
	contract.ReasonUpstreamLimit:   retryFailover,
}

// ShouldRetry decides whether a failed attempt is followed by another one, and
// after which wait. jitter is a random number from the caller; the same
// arguments give the same decision. The wait always leaves enough of the time
// until the deadline for the next attempt. The caller still has to take the
// retry from its Budget and its Ratio.
func ShouldRetry(a Attempt, jitter uint64) (wait time.Duration, ok bool) {
	if !safeToRetry(a) {
		return 0, false
	}
	if a.Reason == contract.ReasonOverload && a.ShedEverywhere {
		return 0, false
	}
	switch modeOf(a.Reason) {
	case noRetry:
		return 0, false
	case retryFailover:
		if a.Number > 0 {
			wait = backoff(a.Number, jitter)
		}
	case retryBackoff:
		wait = max(a.RetryAfter, 0) + backoff(a.Number, jitter)
	}
	if wait > waitMax || wait+attemptMin > a.Left {
		return 0, false
	}
	return wait, true
}

// safeToRetry reports whether the request has not run or may run more than once.
func safeToRetry(a Attempt) bool {
	switch a.Verdict {
	case contract.NotRun:
		return true
	case contract.MayHaveRun:
		return a.Kind != nil && a.Kind.Idempotent
	default:
		return false
	}
}

// modeOf returns the mode of a reason, which may be an unknown one.
func modeOf(r contract.Reason) retryMode {
	if int(r) >= len(retryModes) {
		return noRetry
	}
	return retryModes[r]
}

// backoff returns the wait after the attempt with the given number. It is
// uniformly distributed between half and one and a half times a mean that
// doubles with the number.
func backoff(number int, jitter uint64) time.Duration {
	mean := backoffMax
	if shift := max(number, 0); shift < 8 {
		mean = min(backoffBase<<shift, backoffMax)
	}
	return mean/2 + time.Duration(jitter%uint64(mean))
}
