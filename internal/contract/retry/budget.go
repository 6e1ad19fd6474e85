package retry

import "sync"

// Budget holds the retries granted to one call at one node, for the attempts
// that the node sends on behalf of the call and for their subtrees. It is safe
// for concurrent use because nested calls run in parallel. The zero Budget has
// no retries.
type Budget struct {
	mu sync.Mutex
	// left is the number of retries that can still be drawn or taken.
	left int
	// outstanding is the sum of the grants that were drawn and not yet settled.
	outstanding int
	// spent is the sum of the retries taken here and spent below.
	spent int
	// closed is set when the call has been answered; left and outstanding are 0
	// from then on.
	closed bool
	// perHop is the grant of every attempt under the PerHop baseline, which
	// does not count retries here. 0 means the budget over the call tree.
	perHop int
}

// NewBudget returns a budget of the grant that the call arrived with. A negative
// grant counts as 0.
func NewBudget(grant int) *Budget {
	return &Budget{left: max(grant, 0)}
}

// Draw takes from the budget the grant of one attempt that the node sends, for
// the retries of the attempt's own subtree. Every drawn grant must be settled
// once.
//
// The grant is half of the retries left, rounded up. Several parallel nested
// calls can thus get a grant, no retry is granted twice, and the last one goes
// to the hop nearest to the failure, where a retry repeats the least work.
func (b *Budget) Draw() (grant int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.perHop > 0 {
		return b.perHop
	}
	grant = (b.left + 1) / 2
	b.left -= grant
	b.outstanding += grant
	return grant
}

// Settle ends a grant that Draw returned. answered says that a reply reported
// how much of it was spent; the rest can be drawn again. Without a reply the
// whole grant counts as spent. If spent exceeds the grant, it counts as the
// grant, and a negative one as 0. The part of a grant beyond what is outstanding
// is ignored.
func (b *Budget) Settle(grant, spent int, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	grant = max(0, min(grant, b.outstanding))
	spent = max(0, min(spent, grant))
	if !answered {
		spent = grant
	}
	b.outstanding -= grant
	b.spent += spent
	b.left += grant - spent
}

// TakeRetry takes one retry for another attempt. It returns false if none is
// left or the call has been answered.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.perHop > 0 {
		return !b.closed
	}
	if b.left == 0 {
		return false
	}
	b.left--
	b.spent++
	return true
}

// Spent returns the number of retries taken here or below. Outstanding grants
// count as spent. It no longer decreases after Close.
func (b *Budget) Spent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent + b.outstanding
}

// Close ends the call and returns the number of retries to report to the parent
// as spent. The parent may use the rest from then on, so later calls of Draw and
// TakeRetry get nothing and a late Settle has no effect. Close may be called
// more than once.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.spent += b.outstanding
	b.outstanding = 0
	b.left = 0
	return b.spent
}
