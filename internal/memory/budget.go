// Package memory bounds the bytes that many transfers hold together, and decides
// which of them gives way where no memory is left. The decision, Claim.Reserve, uses
// no goroutine, and takes the time as an argument.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// orderDivisor gives the part of a budget that is kept for orders.
const orderDivisor = 4

// waitPoll is how often a claim that waits for memory looks for a transfer that has
// stalled.
const waitPoll = 100 * time.Millisecond

// ErrEnded is returned for a claim that was released, or whose transfer had to give way to
// another one.
var ErrEnded = errors.New("memory: the claim has ended")

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
	// onlyStalled says that a transfer that makes progress is never aborted.
	onlyStalled bool

	mu     sync.Mutex
	used   int64
	claims map[*Claim]struct{}
	freed  chan struct{}
	// aborted and refused count since the start.
	aborted, refused int64
	released         Rate
}

// New returns a budget of size bytes. A transfer without progress for stall may be
// aborted in favour of another one.
func New(size int64, stall time.Duration) *Budget {
	return &Budget{size: size, stall: stall, claims: make(map[*Claim]struct{}), freed: make(chan struct{})}
}

// NewOnlyStalled is New for transfers that are never aborted while they make progress, not
// even in favour of an order.
func NewOnlyStalled(size int64, stall time.Duration) *Budget {
	b := New(size, stall)
	b.onlyStalled = true
	return b
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

// RoomIn returns the expected time until n more bytes are free, by the rate of the recent
// past; 0 if that is not known.
func (b *Budget) RoomIn(now time.Time, n int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released.TimeFor(now, b.used+n-b.size)
}

// Claim is the part of a budget that one transfer holds.
type Claim struct {
	budget *Budget
	order  bool
	abort  func()
	// taken returns how many bytes the receiver has taken; nil if that is not known.
	taken     func() int64
	lastTaken int64
	held      int64
	progress  time.Time
	// fixed is set once the transfer must not be aborted any more.
	fixed, aborted bool
	// released is set once the claim can hold nothing any more.
	released bool
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
	v, freed = c.reserveLocked(now, n)
	if v == Refused {
		b.refused++
	}
	return v, freed
}

func (c *Claim) reserveLocked(now time.Time, n int64) (v Verdict, freed <-chan struct{}) {
	b := c.budget
	if c.aborted || c.released {
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
		c.updateProgress(now)
		if c == favoured || !b.mayAbort(now, c, favoured) {
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

// mayAbort reports whether c may be aborted in favour of another claim.
func (b *Budget) mayAbort(now time.Time, c, favoured *Claim) bool {
	if c.fixed || c.order && !favoured.order {
		return false
	}
	stalled := now.Sub(c.progress) >= b.stall
	return stalled || favoured.order && !c.order && !b.onlyStalled
}

// updateProgress records that the receiver has taken bytes since the last look.
func (c *Claim) updateProgress(now time.Time) {
	if c.taken == nil || c.fixed {
		return
	}
	if n := c.taken(); n > c.lastTaken {
		c.lastTaken, c.progress = n, now
	}
}

// Await reserves n bytes and waits for them until ctx ends. Meanwhile the claim holds
// nothing, so that no two claims wait for each other. One for more than it can ever get
// takes all that it can.
func (c *Claim) Await(ctx context.Context, n int64) error {
	b := c.budget
	most := b.size
	if !c.order {
		most = b.LargestLookup()
	}
	n = min(n, most)
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		b.mu.Lock()
		v, _ := c.reserveLocked(time.Now(), n)
		if v != Granted {
			c.lowerLocked(0)
		}
		freed, ended := b.freed, c.aborted || c.released
		b.mu.Unlock()
		switch {
		case v == Granted:
			return nil
		case ended:
			return ErrEnded
		}
		select {
		case <-freed:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Held returns what the claim holds, in bytes.
func (c *Claim) Held() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.held
}

// Lower gives back what the claim holds beyond n bytes.
func (c *Claim) Lower(n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.lowerLocked(n)
}

func (c *Claim) lowerLocked(n int64) {
	if c.held > n {
		c.budget.giveBack(c.held - n)
		c.held = n
	}
}

// Begin starts the transfer of a claim that was reserved before. From now on it may be
// aborted, see Budget.Claim, unless taken grows. taken returns how many bytes the receiver
// has taken; it is called with the budget locked and must not block.
func (c *Claim) Begin(now time.Time, abort func(), taken func() int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.abort, c.taken, c.progress, c.fixed = abort, taken, now, false
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

// Release gives back all that the claim holds, for good. Further calls do nothing.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.released = true
	if _, ok := b.claims[c]; !ok {
		return
	}
	delete(b.claims, c)
	b.giveBack(c.held)
	c.held = 0
}

// giveBack frees n bytes and wakes the claims that wait. The caller holds b.mu.
func (b *Budget) giveBack(n int64) {
	b.used -= n
	b.released.Add(time.Now(), n)
	close(b.freed)
	b.freed = make(chan struct{})
}
