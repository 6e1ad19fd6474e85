// Package instance tracks the upstream beside a node by its heartbeats: which
// instance of it is running, which service it runs, how many requests it takes
// at a time, and whether it is draining. An instance is one start of the
// upstream.
//
// Heartbeats can arrive seconds late, also those of an instance that has ended.
// An instance that was replaced or has deregistered is remembered, and its
// later heartbeats are ignored. What the upstream itself answers takes
// precedence over any heartbeat, and what it says of itself in its answers is
// kept until another instance starts.
package instance

import "time"

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	// ID names the instance.
	ID      string
	Service string
	// Address is the ip:port at which it serves.
	Address string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Draining announces that it stops taking requests.
	Draining bool
	// Warmup is how much longer it is slow after its start.
	Warmup time.Duration
	// Seq grows with each heartbeat of one instance.
	Seq uint64
}

// State is what is known of the current instance. The zero State means that
// none is known.
type State struct {
	ID, Service string
	Slots       int
	// Ready says that it takes requests.
	Ready bool
	// WarmUntil is when it is expected to run at full speed.
	WarmUntil time.Time
	// Notice is what it says of itself in its answers, LimitAt when its limit
	// was last named or found to have ended. Heard says that this process has
	// read an answer of it.
	Notice  Notice
	LimitAt time.Time
	Heard   bool
	// Lost says that nothing listens at its address any more.
	Lost bool
	// seq is that of the newest heartbeat.
	seq uint64
	// leaving says that it drains or has deregistered.
	leaving bool
}

// Change says what a message did to the State.
type Change uint8

// The changes. Logs write them by name.
const (
	// Ignored: the message was late, or of another address.
	Ignored Change = iota
	// Same: the message changed nothing.
	Same
	// Started: another instance is the current one.
	Started
	// Returned: the current instance takes requests again, or it changed its
	// slots or its service.
	Returned
	// Leaving: the current instance drains or has deregistered.
	Leaving
	// Lost: the current instance can't be reached or has been replaced.
	Lost
	// Limited: the current instance names a limit, another one, or none any
	// more.
	Limited
)

var changeNames = [...]string{"ignored", "same", "started", "returned", "leaving", "lost", "limited"}

// String returns the name of the change as it is logged.
func (c Change) String() string { return changeNames[c] }

// maxEnded bounds the ended instances that are remembered.
const maxEnded = 64

// Tracker keeps the State. It is not safe for concurrent use.
type Tracker struct {
	address string
	state   State
	ended   []string // oldest first
}

// NewTracker returns a tracker of the upstream at an ip:port.
func NewTracker(address string) *Tracker { return &Tracker{address: address} }

// State returns what is known of the current instance.
func (t *Tracker) State() State { return t.state }

// Restore sets what was known of the upstream before this process started. It
// is valid until the first heartbeat and ignored after it. If the instance has
// been replaced meanwhile, the upstream itself refuses the requests that are
// meant for another instance.
func (t *Tracker) Restore(id, service string, slots int) Change {
	if t.state.ID != "" || id == "" || t.hasEnded(id) {
		return Ignored
	}
	t.state = State{ID: id, Service: service, Slots: slots, Ready: true}
	return Started
}

// HandleHeartbeat applies a heartbeat.
func (t *Tracker) HandleHeartbeat(now time.Time, h Heartbeat) Change {
	if h.Address != t.address || t.hasEnded(h.ID) {
		return Ignored
	}
	if h.ID != t.state.ID {
		t.end(t.state.ID)
		t.state = State{ID: h.ID}
		t.apply(now, h)
		return Started
	}
	if h.Seq <= t.state.seq {
		return Ignored
	}
	old := t.state
	t.apply(now, h)
	switch {
	case t.state.leaving && !old.leaving:
		return Leaving
	case t.state.Ready && !old.Ready:
		return Returned
	case t.state.Slots != old.Slots || t.state.Service != old.Service:
		return Returned
	default:
		return Same
	}
}

func (t *Tracker) apply(now time.Time, h Heartbeat) {
	t.state.seq = h.Seq
	t.state.Service = h.Service
	t.state.Slots = h.Slots
	t.state.leaving = h.Draining || t.state.Notice.Leaving
	t.state.Ready = !t.state.leaving
	t.state.Lost = false
	t.state.WarmUntil = now.Add(h.Warmup)
}

// Deregister records that an instance has ended.
func (t *Tracker) Deregister(id string) Change {
	if t.hasEnded(id) {
		return Ignored
	}
	if id != t.state.ID {
		t.end(id)
		return Ignored
	}
	t.end(id)
	wasLeaving := t.state.leaving
	t.state.Ready, t.state.leaving = false, true
	if wasLeaving {
		return Same
	}
	return Leaving
}

// ConnectionRefused records that the address of the instance refuses
// connections: nothing listens there until the next heartbeat.
func (t *Tracker) ConnectionRefused(id string) Change {
	if id != t.state.ID || !t.state.Ready {
		return Same
	}
	t.state.Ready, t.state.Lost = false, true
	return Lost
}

// Misdirected records that the upstream answered, as the instance actual, a
// request that was meant for the instance expected. The current instance is lost
// if it is the expected one and the actual one differs. actual may be empty if
// the answer names none.
func (t *Tracker) Misdirected(expected, actual string) Change {
	t.forgetEnded(actual)
	if expected != t.state.ID || actual == expected {
		return Same
	}
	t.end(expected)
	t.state = State{}
	return Lost
}

// forgetEnded removes an instance from the ended ones: it has just answered.
func (t *Tracker) forgetEnded(id string) {
	for i, e := range t.ended {
		if e == id {
			t.ended = append(t.ended[:i], t.ended[i+1:]...)
			return
		}
	}
}

func (t *Tracker) hasEnded(id string) bool {
	for _, e := range t.ended {
		if e == id {
			return true
		}
	}
	return false
}

// end adds an instance to the ended ones, and drops the oldest if there are too
// many.
func (t *Tracker) end(id string) {
	if id == "" || t.hasEnded(id) {
		return
	}
	if len(t.ended) == maxEnded {
		t.ended = t.ended[1:]
	}
	t.ended = append(t.ended, id)
}
