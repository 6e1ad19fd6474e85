package retry

import (
	"time"

	"heathershed/internal/contract"
)

// Policy decides how a node retries. The zero Policy is the budget over the
// call tree, which nodes use by default. PerHop is a baseline for measurements.
type Policy struct {
	perHop int
}

// PerHop returns the baseline that is common elsewhere: up to n retries at every
// hop, without a budget over the call tree, without a Ratio, and for every reason
// of failure but ReasonCancelled. Orders are still retried only if they have not
// run. For n below 1 it returns the zero Policy.
func PerHop(n int) Policy {
	return Policy{perHop: max(n, 0)}
}

// IsBaseline reports whether the policy is PerHop. Nodes then do not use the
// Ratio either.
func (p Policy) IsBaseline() bool { return p.perHop > 0 }

// RootGrant returns the result of the function RootGrant. The baseline always
// grants n, and never rejects a retry of the caller.
func (p Policy) RootGrant(budget, callerAttempt int) (grant int, ok bool) {
	if p.IsBaseline() {
		return p.perHop, true
	}
	return RootGrant(budget, callerAttempt)
}

// NewBudget returns the budget of one call. The baseline's never runs out; its
// ShouldRetry counts the attempts instead.
func (p Policy) NewBudget(grant int) *Budget {
	b := NewBudget(grant)
	b.perHop = p.perHop
	return b
}

// ShouldRetry returns the result of the function ShouldRetry. The baseline
// retries every failed attempt that is safe to retry, up to n times and within
// the deadline.
func (p Policy) ShouldRetry(a Attempt, jitter uint64) (wait time.Duration, ok bool) {
	if !p.IsBaseline() {
		return ShouldRetry(a, jitter)
	}
	if a.Number >= p.perHop || !safeToRetry(a) || a.Reason == contract.ReasonCancelled {
		return 0, false
	}
	wait = backoff(a.Number, jitter)
	if wait+attemptMin > a.Left {
		return 0, false
	}
	return wait, true
}
