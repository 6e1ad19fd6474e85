package memory

import (
	"context"
	"time"
)

// Claim is the part of a budget that one transfer holds.
type Claim struct {
	budget *Budget
	order  bool
	abort  func()
	// taken returns how many bytes the receiver has taken; nil if that is not known.
	taken     func() int64
	lastTaken int64
	// looked is when taken was last called.
	looked   time.Time
	held     int64
	progress time.Time
	// fixed is set once the transfer must not be aborted any more.
	fixed, aborted bool
	// settled is set once the bytes are there, and released once the claim can hold
	// nothing any more.
	settled, released bool
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
	v, freed = c.reserveLocked(now, n, b.awaited)
	if v == Refused {
		b.refused++
	}
	return v, freed
}

// limit returns the most that all claims may hold together with one more of this one.
func (c *Claim) limit() int64 {
	if c.order {
		return c.budget.size
	}
	return c.budget.LargestLookup()
}

// reserveLocked is Reserve with ahead bytes left to others.
func (c *Claim) reserveLocked(now time.Time, n, ahead int64) (v Verdict, freed <-chan struct{}) {
	b := c.budget
	if c.aborted || c.released {
		return Refused, nil
	}
	limit := c.limit()
	more := n - c.held
	if more <= 0 || b.used+ahead+more <= limit {
		c.addLocked(max(more, 0))
		c.progress = now
		b.claims[c] = struct{}{}
		return Granted, nil
	}
	if n <= limit && (b.awaitsRelease() || b.abortFor(now, c)) {
		return Wait, b.freed
	}
	return Refused, nil
}

// updateProgress records that the receiver has taken bytes since the last look.
func (c *Claim) updateProgress(now time.Time) {
	if c.taken == nil || c.fixed || now.Sub(c.looked) < lookInterval {
		return
	}
	c.looked = now
	if n := c.taken(); n > c.lastTaken {
		c.lastTaken, c.progress = n, now
	}
}

// Await reserves n bytes that are there already, and waits for them until ctx ends. They
// come before those that are only expected. Meanwhile the claim holds nothing, so that no
// two claims wait for each other. One for more than it can ever get takes all that it can.
func (c *Claim) Await(ctx context.Context, n int64) error {
	n = min(n, c.limit())
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	waiting := false
	defer func() {
		if waiting {
			c.budget.addAwaited(-n)
		}
	}()
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		done, freed := c.tryAwait(n)
		if done {
			return c.ended()
		}
		if !waiting {
			waiting = true
			c.budget.addAwaited(n)
		}
		select {
		case <-freed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// tryAwait reserves n bytes if they are free. done is also true if the claim has ended.
func (c *Claim) tryAwait(n int64) (done bool, freed <-chan struct{}) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	free := b.used+n-c.held <= c.limit()
	if free || now.Sub(b.searched) >= lookInterval { // else no other one has stalled since
		if v, _ := c.reserveLocked(now, n, 0); v == Granted {
			return true, nil
		}
		b.searched = now
	}
	if c.aborted || c.released {
		return true, nil
	}
	c.addLocked(-c.held)
	return false, b.freed
}

// ended returns ErrEnded if the claim has ended.
func (c *Claim) ended() error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.aborted || c.released {
		return ErrEnded
	}
	return nil
}

// Settle says that the n bytes which the claim was reserved for are there. It gives back
// the rest.
func (c *Claim) Settle(n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.addLocked(min(n-c.held, 0))
	if !c.settled {
		c.settled = true
		c.budget.settled += c.held
	}
}

// RoomIn returns the expected time until n bytes are free for the claim, by the rate of the
// recent past; 0 if that is not known.
func (c *Claim) RoomIn(now time.Time, n int64) time.Duration {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released.TimeFor(now, b.used+b.awaited+n-c.limit())
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
	c.addLocked(min(n-c.held, 0))
}

// addLocked changes what the claim holds by n bytes.
func (c *Claim) addLocked(n int64) {
	b := c.budget
	c.held += n
	b.used += n
	if c.settled {
		b.settled += n
	}
	if n < 0 {
		b.announce(-n)
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
	c.addLocked(-c.held)
}
