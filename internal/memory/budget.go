// Package memory bounds the bytes that many transfers hold together, and decides
// which of them gives way where no memory is left. The decision, Claim.Reserve, uses
// no goroutine, and takes the time as an argument.
package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// orderDivisor gives the part of a budget that is kept for orders.
const orderDivisor = 4

const (
	// waitPoll is how often a claim that waits for memory looks for a transfer that has
	// stalled.
	waitPoll = 100 * time.Millisecond
	// lookInterval is the least time between two looks at one transfer, and between two
	// searches for claims that wait.
	lookInterval = 50 * time.Millisecond
)

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

	mu   sync.Mutex
	used int64
	// settled is the part of used that holds bytes; the rest is reserved for bytes that
	// are expected. awaited is what the claims that wait need together.
	settled, awaited int64
	claims           map[*Claim]struct{}
	// searched is when a claim that waits last found none that has stalled.
	searched time.Time
	freed    chan struct{}
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

// MostlyFree reports whether less than half of the budget holds bytes, or is awaited for
// bytes that are there already.
func (b *Budget) MostlyFree() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settled+b.awaited < b.size/2
}

// Usage returns the bytes that are there, those that are reserved besides, and the size of
// the budget.
func (b *Budget) Usage() (settled, reserved, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settled, b.used - b.settled, b.size
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

// addAwaited records that claims need n more bytes which are there already.
func (b *Budget) addAwaited(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaited += n
}

// announce wakes the claims that wait, as n bytes were given back. The caller holds b.mu.
func (b *Budget) announce(n int64) {
	b.released.Add(time.Now(), n)
	close(b.freed)
	b.freed = make(chan struct{})
}
