// Package freshness tracks how old a node's knowledge is that its copy of a
// versioned document is the newest one, and decides when the node must read the
// document itself.
//
// Every read by one node counts for all nodes that it reports the read to. Each
// node reads only once the newest read that it knows of is older than a limit
// plus a random part, so that few of many nodes read, and each of them reads for
// itself where nothing is reported to it.
package freshness

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Confirmation is proof that the copy was the newest version at the time At. By
// names the source of the proof. The zero value stands for no proof.
type Confirmation struct {
	At time.Time
	By string
}

// Age returns the time since the confirmation.
func (c Confirmation) Age(now time.Time) time.Duration { return max(now.Sub(c.At), 0) }

// Tracker tracks the newest confirmation of one document. It reads no clock. It
// is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	limit  time.Duration
	newest Confirmation
	// lastRead is when the newest read by this node began; the zero time if
	// there was none.
	lastRead time.Time
	due      time.Time
}

// New returns the Tracker of a node that starts at now. A read is due when the
// newest confirmation is limit to twice the limit old, where the start counts as
// one. limit must be above 0.
func New(limit time.Duration, now time.Time) *Tracker {
	t := &Tracker{limit: limit}
	t.due = t.dueAfter(now)
	return t
}

// SetLimit changes the limit from the next confirmation on.
func (t *Tracker) SetLimit(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
}

// Read records a successful read by this node that began at the given time.
func (t *Tracker) Read(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began.After(t.lastRead) {
		t.lastRead = began
	}
	t.confirm(Confirmation{At: began, By: "read"})
}

// Heard records a confirmation by another node.
func (t *Tracker) Heard(c Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(c)
}

// confirm records a confirmation unless a newer one is known. The caller holds
// the lock.
func (t *Tracker) confirm(c Confirmation) {
	if !c.At.After(t.newest.At) {
		return
	}
	t.newest = c
	t.due = t.dueAfter(c.At)
}

func (t *Tracker) dueAfter(confirmed time.Time) time.Time {
	return confirmed.Add(t.limit + rand.N(t.limit+1))
}

// RequireRead makes a read due within the limit, for a version that was announced
// and not received.
func (t *Tracker) RequireRead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if due := now.Add(rand.N(t.limit + 1)); due.Before(t.due) {
		t.due = due
	}
}

// Due returns when this node must read the document unless a confirmation comes
// before.
func (t *Tracker) Due() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due
}

// Newest returns the newest confirmation, and false if there is none.
func (t *Tracker) Newest() (Confirmation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, !t.newest.At.IsZero()
}

// LastRead returns when the newest read by this node began, and false if there
// was none. Other nodes are told only of this one: each confirmation has come
// over at most one link.
func (t *Tracker) LastRead() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRead, !t.lastRead.IsZero()
}
