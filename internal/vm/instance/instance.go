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

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxSlots bounds the slots of an instance.
const MaxSlots = 1_000_000

// bornSeparator is between the id and the start in an identity. No id contains it.
const bornSeparator = "/"

// Identity returns the name by which nodes know one start of an upstream: its id, with
// the Unix millisecond of its start if the upstream reports that. An upstream may start
// again under the id that it had.
func Identity(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + bornSeparator + strconv.FormatInt(born, 10)
}

// IDOf returns the id in an identity, by which the upstream knows itself.
func IDOf(identity string) string {
	id, _, _ := strings.Cut(identity, bornSeparator)
	return id
}

// bornOf returns the start in an identity; 0 if it has none.
func bornOf(identity string) int64 {
	_, text, _ := strings.Cut(identity, bornSeparator)
	born, _ := strconv.ParseInt(text, 10, 64) // written by Identity
	return born
}

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	// ID is the id of the upstream, and Born the Unix millisecond of its start; 0 if it
	// does not report that.
	ID      string
	Born    int64
	Service string
	// Address is the ip:port at which it serves.
	Address string
	// Slots is the number of requests that it runs at a time, 0 to MaxSlots.
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
	// ID is the identity of the instance, see Identity.
	ID, Service string
	Slots       int
	// Ready says that it takes requests.
	Ready bool
	// Expected says that it is known from an earlier process alone: it has said
	// nothing to this one.
	Expected bool
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
	// leaving says that it drains or leaves for good, drainSeq is that of the
	// heartbeat that announced a drain; 0 for none.
	leaving  bool
	drainSeq uint64
}

// Unconfirmed reports whether the instance is expected and may take requests once it
// has said something itself.
func (s State) Unconfirmed() bool { return s.Expected && !s.leaving }

// Stored is what a process leaves to the next one of the same VM.
type Stored struct {
	ID, Service string
	Slots       int
	// Leaving says that the instance drains or leaves for good. DrainSeq is the
	// sequence number of the heartbeat that announced a drain, or a larger one that
	// came before it; 0 if it leaves for good.
	Leaving  bool
	DrainSeq uint64
}

// Stored returns what the next process needs to know of the instance.
func (s State) Stored() Stored {
	stored := Stored{ID: s.ID, Service: s.Service, Slots: s.Slots, Leaving: s.leaving}
	if !s.Notice.Leaving {
		stored.DrainSeq = s.drainSeq
	}
	return stored
}

// Change says what a message did to the State.
type Change uint8

// The changes. Logs write them by name.
const (
	// Ignored: the message was late, or of another address.
	Ignored Change = iota
	// Same: the message changed nothing.
	Same
	// Started: another instance is the current one, or the expected one has said
	// something itself.
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

// endedInstance is an instance that was replaced or has deregistered.
type endedInstance struct {
	id           string
	deregistered bool
}

// Tracker keeps the State. It is not safe for concurrent use.
type Tracker struct {
	address string
	state   State
	ended   []endedInstance // oldest first
}

// NewTracker returns a tracker of the upstream at an ip:port.
func NewTracker(address string) *Tracker { return &Tracker{address: address} }

// State returns what is known of the current instance.
func (t *Tracker) State() State { return t.state }

// Restore sets what an earlier process knew of the upstream. The instance is
// expected, and gets no requests until it has said something itself: since the
// record was written it may have left or been replaced. That it leaves is valid
// at once, and also if the instance has been heard meanwhile, unless by a later
// heartbeat.
func (t *Tracker) Restore(s Stored) Change {
	switch {
	case s.ID == "" || t.state.ID != "" && t.state.ID != s.ID:
		return Ignored
	case t.state.ID == s.ID:
		return t.restoreLeaving(s)
	case t.hasEnded(s.ID) && !t.hasDeregistered(s.ID):
		return Ignored
	}
	t.state = State{ID: s.ID, Service: s.Service, Slots: s.Slots, Expected: true}
	if t.hasDeregistered(s.ID) {
		t.state.leave()
	}
	t.restoreLeaving(s)
	return Started
}

// restoreLeaving applies that the current instance has told an earlier process
// that it leaves.
func (t *Tracker) restoreLeaving(s Stored) Change {
	if !s.Leaving || t.state.leaving || s.DrainSeq > 0 && s.DrainSeq < t.state.seq {
		return Same
	}
	if s.DrainSeq == 0 {
		t.state.leave()
		return Leaving
	}
	t.state.seq, t.state.drainSeq = s.DrainSeq, s.DrainSeq
	t.state.leaving, t.state.Ready = true, false
	return Leaving
}

// Healthy records that the upstream has passed a health check as the instance
// id: one that is expected takes requests then.
func (t *Tracker) Healthy(id string) Change {
	if id != IDOf(t.state.ID) || !t.state.Unconfirmed() {
		return Same
	}
	t.state.Expected, t.state.Ready = false, true
	return Started
}

// HandleHeartbeat applies a heartbeat. A late one can't end a drain, but it can
// announce one, which is obeyed since it is acknowledged, and it shows that a lost
// instance is there. One of an earlier start under the same id is late for good.
func (t *Tracker) HandleHeartbeat(now time.Time, h Heartbeat) Change {
	identity := Identity(h.ID, h.Born)
	earlier := IDOf(t.state.ID) == h.ID && h.Born < bornOf(t.state.ID)
	if h.Address != t.address || earlier || t.hasEnded(identity) || t.hasEnded(h.ID) {
		return Ignored
	}
	if identity != t.state.ID {
		t.end(t.state.ID, false)
		t.state = State{ID: identity}
		t.apply(now, h)
		return Started
	}
	late := h.Seq <= t.state.seq
	if late && (t.state.leaving || t.state.Ready && !h.Draining) {
		return Ignored
	}
	old := t.state
	t.apply(now, h)
	switch {
	case old.Expected:
		return Started
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
	t.state.seq = max(t.state.seq, h.Seq)
	t.state.Service = h.Service
	t.state.Slots = h.Slots
	t.state.Expected = false
	if !h.Draining {
		t.state.drainSeq = 0
	} else if t.state.drainSeq == 0 {
		t.state.drainSeq = t.state.seq
	}
	t.state.leaving = h.Draining || t.state.Notice.Leaving
	t.state.Ready = !t.state.leaving
	t.state.Lost = false
	t.state.WarmUntil = now.Add(h.Warmup)
}

// Deregister records that the instance of an id has ended: the current one, if it has
// that id.
func (t *Tracker) Deregister(id string) Change {
	if id == IDOf(t.state.ID) {
		if t.hasEnded(t.state.ID) {
			return Ignored
		}
		t.end(t.state.ID, true)
		t.state.leave()
		return Leaving
	}
	if !slices.ContainsFunc(t.ended, func(e endedInstance) bool { return IDOf(e.id) == id }) {
		t.end(id, true)
	}
	return Ignored
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
	if expected != t.state.ID || actual == IDOf(expected) {
		return Same
	}
	t.end(expected, false)
	t.state = State{}
	return Lost
}

// forgetEnded removes an instance from the ended ones: it has just answered.
func (t *Tracker) forgetEnded(id string) {
	t.ended = slices.DeleteFunc(t.ended, func(e endedInstance) bool { return IDOf(e.id) == id })
}

func (t *Tracker) hasEnded(id string) bool {
	return slices.ContainsFunc(t.ended, func(e endedInstance) bool { return e.id == id })
}

func (t *Tracker) hasDeregistered(id string) bool {
	return slices.Contains(t.ended, endedInstance{id, true})
}

// end adds an instance to the ended ones, and drops the oldest if there are too
// many.
func (t *Tracker) end(id string, deregistered bool) {
	if id == "" || t.hasEnded(id) {
		return
	}
	if len(t.ended) == maxEnded {
		t.ended = t.ended[1:]
	}
	t.ended = append(t.ended, endedInstance{id, deregistered})
}
