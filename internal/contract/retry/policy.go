package retry

import (
	"time"

	"heathershed/internal/contract"
)

// Policy is how a node retries. The zero Policy is the budget over the chain,
// which is what nodes run with; PerHop is a baseline for measurements.
type Policy struct {
	perHop int
}

// PerHop returns the baseline that is common elsewhere: up to n retries at
// every hop, without a budget over the chain, a ratio, or regard to the reason
// of the failure. Orders are still only repeated where they have not run. An n
// under 1 gives the zero Policy.
func PerHop(n int) Policy {
	return Policy{perHop: max(n, 0)}
}

// IsBaseline reports whether the policy is PerHop; nodes then leave the Ratio
// out as well.
func (p Policy) IsBaseline() bool { return p.perHop > 0 }

// RootGrant is the function of the same name, or n for the baseline, which
// never refuses a repeat of the caller.
func (p Policy) RootGrant(budget, callerAttempt int) (grant int, ok bool) {
	if p.IsBaseline() {
		return p.perHop, true
	}
	return RootGrant(budget, callerAttempt)
}

// NewBudget returns the ledger of one call. The baseline's never runs out; its
// ShouldRetry counts the attempts instead.
func (p Policy) NewBudget(grant int) *Budget {
	l := NewBudget(grant)
	l.perHop = p.perHop
	return l
}

// ShouldRetry is the function of the same name. The baseline retries any failed
// attempt that is harmless to repeat, up to its number and the deadline.
func (p Policy) ShouldRetry(a Attempt, jitter uint64) (wait time.Duration, again bool) {
	if !p.IsBaseline() {
		return ShouldRetry(a, jitter)
	}
	if a.Number >= p.perHop || !harmless(a) || a.Reason == contract.ReasonCancelled {
		return 0, false
	}
	wait = backoff(a.Number, jitter)
	if wait+attemptMin > a.Left {
		return 0, false
	}
	return wait, true
}
