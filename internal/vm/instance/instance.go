// Package instance knows the upstream beside a node from its heartbeats: which
// start of it is alive, what service it runs, how many requests it takes at
// once, and whether it is leaving.
//
// Heartbeats can arrive seconds late, also those of a start that has ended; a
// start that was replaced or has left is remembered and never taken back. What
// the upstream itself answers is stronger than any heartbeat.
package instance

import "time"

// Heartbeat is one announcement of an upstream.
type Heartbeat struct {
	// ID names one start of the upstream.
	ID      string
	Service string
	// Address is the ip:port at which it serves.
	Address string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining says that it takes no more work soon.
	Draining bool
	// Warmup is how much longer it is slow after its start.
	Warmup time.Duration
	// Seq grows with each heartbeat of one start.
	Seq uint64
}

// State is what is known of the present upstream. The zero State is that of a
// node that knows none.
type State struct {
	ID, Service string
	Slots       int
	// Ready says that it takes work.
	Ready bool
	// WarmUntil is when it is expected to work at its full speed.
	WarmUntil time.Time
	// seq is that of the newest heartbeat.
	seq uint64
	// left says that it drains or has deregistered.
	left bool
}

// Change says what a message did to the State.
type Change uint8

// The changes.
const (
	// Ignored: the message was late, or of another address.
	Ignored Change = iota
	// Same: it brought nothing new.
	Same
	// Started: another start is the present one.
	Started
	// Returned: the present one takes work again.
	Returned
	// Leaving: the present one drains or has deregistered.
	Leaving
	// Lost: the present one does not answer.
	Lost
)

var changeNames = [...]string{"ignored", "same", "started", "returned", "leaving", "lost"}

// String names the change as logs spell it.
func (c Change) String() string { return changeNames[c] }

// maxEnded bounds the starts that are remembered as ended.
const maxEnded = 64

// Tracker keeps the State. It is not safe for concurrent use.
type Tracker struct {
	address string
	state   State
	ended   []string // oldest first
}

// NewTracker returns the book of the upstream at an ip:port.
func NewTracker(address string) *Tracker { return &Tracker{address: address} }

// State returns what is known.
func (b *Tracker) State() State { return b.state }

// Restore takes in what was known of the upstream before this process started.
// It holds until the first heartbeat; the upstream itself refuses a request
// that is meant for another start.
func (b *Tracker) Restore(id, service string, slots int) Change {
	if b.state.ID != "" || id == "" || b.hasEnded(id) {
		return Ignored
	}
	b.state = State{ID: id, Service: service, Slots: slots, Ready: true}
	return Started
}

// HandleHeartbeat takes in a heartbeat.
func (b *Tracker) HandleHeartbeat(now time.Time, h Heartbeat) Change {
	if h.Address != b.address || b.hasEnded(h.ID) {
		return Ignored
	}
	if h.ID != b.state.ID {
		b.end(b.state.ID)
		b.state = State{ID: h.ID}
		b.take(now, h)
		return Started
	}
	if h.Seq <= b.state.seq {
		return Ignored
	}
	was := b.state
	b.take(now, h)
	switch {
	case b.state.left && !was.left:
		return Leaving
	case b.state.Ready && !was.Ready:
		return Returned
	case b.state.Slots != was.Slots || b.state.Service != was.Service:
		return Returned
	default:
		return Same
	}
}

func (b *Tracker) take(now time.Time, h Heartbeat) {
	b.state.seq = h.Seq
	b.state.Service = h.Service
	b.state.Slots = h.Slots
	b.state.left = h.Draining
	b.state.Ready = !h.Draining
	b.state.WarmUntil = now.Add(h.Warmup)
}

// Deregister takes in that a start has ended.
func (b *Tracker) Deregister(id string) Change {
	if b.hasEnded(id) {
		return Ignored
	}
	if id != b.state.ID {
		b.end(id)
		return Ignored
	}
	b.end(id)
	was := b.state.left
	b.state.Ready, b.state.left = false, true
	if was {
		return Same
	}
	return Leaving
}

// ConnectionRefused takes in that the address refuses connections: nothing listens there
// until the next heartbeat.
func (b *Tracker) ConnectionRefused(id string) Change {
	if id != b.state.ID || !b.state.Ready {
		return Same
	}
	b.state.Ready = false
	return Lost
}

// Misdirected takes in that the upstream answered that it is another start
// than the expected one.
func (b *Tracker) Misdirected(expected, actual string) Change {
	b.revive(actual)
	if expected != b.state.ID || actual == expected {
		return Same
	}
	b.end(expected)
	b.state = State{}
	return Lost
}

// revive forgets that a start has ended: it has just answered.
func (b *Tracker) revive(id string) {
	for i, e := range b.ended {
		if e == id {
			b.ended = append(b.ended[:i], b.ended[i+1:]...)
			return
		}
	}
}

func (b *Tracker) hasEnded(id string) bool {
	for _, e := range b.ended {
		if e == id {
			return true
		}
	}
	return false
}

func (b *Tracker) end(id string) {
	if id == "" || b.hasEnded(id) {
		return
	}
	if len(b.ended) == maxEnded {
		b.ended = b.ended[1:]
	}
	b.ended = append(b.ended, id)
}
