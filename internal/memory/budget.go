// Package memory bounds the bytes that many transfers hold together, and decides
// which of them gives way where no memory is left. The decision, Claim.Reserve, uses
// no clock and no goroutine: the time is an argument.
package memory

import (
	"sync"
	"time"
)

// orderDivisor gives the part of a budget that is kept for orders.
const orderDivisor = 4

// Verdict is the result of an attempt to reserve memory.
type Verdict uint8

const (
	// Granted: the bytes are reserved.
	Granted Verdict = iota
	// Wait: a transfer that was aborted is about to release memory; try again when
	// Freed is closed.
	Wait
	// Refused: no memory is left and no transfer has to give way.
	Refused
)

// Budget is a number of bytes that claims share. It is safe for concurrent use.
type Budget struct {
	size  int64
	stall time.Duration

	mu     sync.Mutex
	used   int64
	claims map[*Claim]struct{}
	freed  chan struct{}
	// aborted and refused count since the start.
	aborted, refused int64
}

// New returns a budget of size bytes. A transfer without progress for stall may be
// aborted in favour of another one.
func New(size int64, stall time.Duration) *Budget {
	return &Budget{size: size, stall: stall, claims: make(map[*Claim]struct{}), freed: make(chan struct{})}
}

// LargestLookup returns the most that one claim which is not an order's can hold.
func (b *Budget) LargestLookup() int64 { return b.size - b.size/orderDivisor }

// Stats returns the reserved bytes and how many transfers were aborted and refused
// since the start.
func (b *Budget) Stats() (used, aborted, refused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.aborted, b.refused
}

// Claim is the part of a budget that one transfer holds.
type Claim struct {
	budget   *Budget
	order    bool
	abort    func()
	held     int64
	progress time.Time
	// fixed is set once the transfer must not be aborted any more.
	fixed, aborted bool
}

// Claim returns a claim that holds nothing yet. abort ends the transfer; it is
// called with the budget locked, at most once, and must not block. With nil the claim
// is never aborted.
func (b *Budget) Claim(now time.Time, order bool, abort func()) *Claim {
	return &Claim{budget: b, order: order, abort: abort, progress: now, fixed: abort == nil}
}

// Reserve raises what the claim holds to n bytes. If there is not enough memory, it
// aborts the transfer that has made no progress for the longest time: of lookups
// before orders, and for an order also a lookup that still makes progress. freed is
// closed when memory has been released.
func (c *Claim) Reserve(now time.Time, n int64) (v Verdict, freed <-chan struct{}) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.aborted {
		return Refused, nil
	}
	limit := b.size
	if !c.order {
		limit = b.LargestLookup()
	}
	more := n - c.held
	if more <= 0 || b.used+more <= limit {
		b.used += max(more, 0)
		c.held = max(c.held, n)
		c.progress = now
		b.claims[c] = struct{}{}
		return Granted, nil
	}
	if n <= limit && (b.awaitsRelease() || b.abortFor(now, c)) {
		return Wait, b.freed
	}
	b.refused++
	return Refused, nil
}

// awaitsRelease reports whether an aborted transfer still holds memory.
func (b *Budget) awaitsRelease() bool {
	for c := range b.claims {
		if c.aborted {
			return true
		}
	}
	return false
}

// abortFor aborts one transfer in favour of another one, if any has to give way.
func (b *Budget) abortFor(now time.Time, favoured *Claim) bool {
	var victim *Claim
	for c := range b.claims {
		stalled := now.Sub(c.progress) >= b.stall
		if c == favoured || c.fixed || !(stalled || favoured.order && !c.order) || c.order && !favoured.order {
			continue
		}
		if victim == nil || !c.order && victim.order || c.order == victim.order && c.progress.Before(victim.progress) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.aborted = true
	b.aborted++
	victim.abort()
	return true
}

// Acquire reserves n bytes. While an aborted transfer is about to release memory it
// waits, until timeout at most. It reports whether the bytes are reserved.
func (c *Claim) Acquire(n int64, timeout time.Duration) bool {
	var late <-chan time.Time
	for {
		verdict, freed := c.Reserve(time.Now(), n)
		switch {
		case verdict == Granted:
			return true
		case verdict == Refused:
			return false
		case late == nil:
			timer := time.NewTimer(timeout)
			defer timer.Stop()
			late = timer.C
		}
		select {
		case <-freed:
		case <-late:
			return false
		}
	}
}

// Progress records that the transfer moves.
func (c *Claim) Progress(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progress = now
}

// Fix ends the transfer: its bytes stay reserved, and it is not aborted any more.
func (c *Claim) Fix() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.fixed = true
}

// Aborted reports whether the transfer was aborted.
func (c *Claim) Aborted() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.aborted
}

// Release gives back all that the claim holds. Further calls do nothing.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.claims[c]; !ok {
		return
	}
	delete(b.claims, c)
	b.used -= c.held
	c.held = 0
	close(b.freed)
	b.freed = make(chan struct{})
}
