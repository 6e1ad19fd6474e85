package retry

import "sync"

// Budget holds the retries granted to one call that entered through a node,
// for the call's sub-calls and everything below them. It is safe for
// concurrent use: sub-calls run in parallel. The zero Budget has no retries.
type Budget struct {
	mu sync.Mutex
	// left is what can still be drawn or taken.
	left int
	// out is the sum of grants that were drawn and not yet settled.
	out int
	// spent is the sum of retries taken here and spent below.
	spent int
	// closed is set once the call has been answered; nothing is left or out then.
	closed bool
	// perHop is the grant of every sub-call under the PerHop baseline, which
	// keeps no account; 0 is the chain budget.
	perHop int
}

// NewBudget returns a ledger with the grant that the call arrived with. A
// negative grant counts as 0.
func NewBudget(grant int) *Budget {
	return &Budget{left: max(grant, 0)}
}

// Draw takes the part of the ledger that one sub-call attempt carries with it
// for the retries of its own subtree, and returns it. Every drawn grant must
// be settled once.
//
// The part is half of what is left, rounded up: parallel sub-calls each find
// something, none is copied, and the last unit goes down to the hop nearest to
// the failure, where a retry repeats the least work.
func (l *Budget) Draw() (grant int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perHop > 0 {
		return l.perHop
	}
	grant = (l.left + 1) / 2
	l.left -= grant
	l.out += grant
	return grant
}

// Settle accounts for a grant that Draw returned. answered says that the other
// end reported how much of it was spent; the rest can be drawn again. Without
// an answer the whole grant counts as spent. A report over the grant counts as
// the grant, a negative one as 0, and more than was ever drawn is ignored.
func (l *Budget) Settle(grant, spent int, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant = max(0, min(grant, l.out))
	spent = max(0, min(spent, grant))
	if !answered {
		spent = grant
	}
	l.out -= grant
	l.spent += spent
	l.left += grant - spent
}

// TakeRetry takes one retry for another attempt of a sub-call. It returns false
// where none is left or the call has been answered.
func (l *Budget) TakeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perHop > 0 {
		return !l.closed
	}
	if l.left == 0 {
		return false
	}
	l.left--
	l.spent++
	return true
}

// Spent is the number of retries that were taken here or below. Grants not yet
// settled count as spent. After Close it no longer changes downwards.
func (l *Budget) Spent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spent + l.out
}

// Close ends the call and returns the retries to report upwards. The parent
// may use the rest again from then on, so later calls of Draw and Retry get
// nothing and a late Settle changes nothing that counts. Close may be called
// more than once.
func (l *Budget) Close() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.spent += l.out
	l.out = 0
	l.left = 0
	return l.spent
}
