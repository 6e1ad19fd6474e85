// Package retry bounds the retries of a root request over its whole call tree.
//
// Retry policies per hop multiply: three retries at each of seven hops can turn
// one request into 4^7 attempts at the last hop. Here the catalogue gives each
// request kind one budget, which belongs to the root request. RootGrant splits
// it between the attempts of the caller without state shared between nodes.
// Each call then has a grant for itself and its whole subtree, kept in a Budget
// at the node that handles the call. Each attempt that this node sends carries
// a part of the budget (Draw), and its reply returns what was not spent
// (Settle). A grant counts as spent if no reply comes, because the node below
// may have used it.
//
// In addition, a Ratio limits the retries of a node to a share of its
// successes. Otherwise requests that are each within their budget could offer a
// failing service 1 + budget times its load.
//
// ShouldRetry decides from verdict, reason and time left whether another attempt
// may succeed after a failed one. It does not look at budgets: a retry is made
// only if ShouldRetry, Ratio.Allow and Budget.TakeRetry all allow it.
package retry

// RootGrant returns the number of retries that heathershed may use for one
// attempt of the caller at a root request whose kind has the given budget.
// callerAttempt counts the caller's own attempts from 0. Each retry by the
// caller costs one unit of the budget itself. If no unit is left for it, ok is
// false and the retry is rejected with ReasonRetryBudget. A negative
// callerAttempt counts as 0, and so does a negative budget.
//
// The split depends on the arguments only, so all nodes agree on it. Each
// attempt gets half of the units left, rounded up, but never the last one while
// the caller may still retry. Summed over all attempts of the caller, 1 + grant
// is at most 1 + budget.
//
// For an order, the rejection applies to this attempt only. An earlier one may
// have run, so a node must still ask the order's home node for the record, with
// grant 0, before it reports anything about the order.
func RootGrant(budget int, callerAttempt int) (grant int, ok bool) {
	left := max(budget, 0)
	for retry := 0; ; retry++ {
		grant = rootShare(left)
		if retry >= callerAttempt {
			return grant, true
		}
		left -= grant
		if left == 0 {
			return 0, false
		}
		left-- // the caller's next retry itself
	}
}

// rootShare returns the part of the units left for one attempt of the caller.
func rootShare(left int) int {
	return max(0, min((left+1)/2, left-1))
}
