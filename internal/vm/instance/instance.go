// Package instance tracks the upstream beside a node by its heartbeats: which
// instance of it is running, how many requests it takes at a time, and whether it is
// draining. An instance is one start of the upstream. Which service it runs, and at
// which address, the node's settings say.
//
// Heartbeats can arrive seconds late, also those of an instance that has ended, and
// other writers may send some. Starts are ordered by their time, not by arrival;
// where that does not decide, a claim is disputed until the upstream has answered.
// An instance that has deregistered is remembered, and its later heartbeats are
// ignored. What the upstream itself answers takes precedence over any heartbeat, and
// what it says of itself in its answers is kept until another instance starts. See
// docs/design/instances.md.
package instance

import (
	"time"
)

// MaxSlots bounds the slots of an instance.
const MaxSlots = 1_000_000

const (
	// silentAfter is how long the current instance says nothing, while another claims
	// its place or heartbeats with lower numbers go on, until those are believed.
	silentAfter = 5 * time.Second
	// maxSeqStep bounds how far the sequence number grows from one heartbeat to the
	// next that arrives.
	maxSeqStep = 1 << 20
)

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
	// DisputedSince is when another instance first claimed the place of this one, which
	// has said nothing since; zero if none has. claimant is the id of the newest claim.
	DisputedSince time.Time
	claimant      string
	// seq is that of the newest heartbeat. lateSeq is that of the last one with a lower
	// number, lateSince when the first of these came; zero if a newer one came since.
	seq, lateSeq uint64
	lateSince    time.Time
	// leaving says that it drains or leaves for good, drainSeq is that of the
	// heartbeat that announced a drain; 0 for none.
	leaving  bool
	drainSeq uint64
}

// Unconfirmed reports whether the instance is expected and may take requests once it
// has said something itself.
func (s State) Unconfirmed() bool { return s.Expected && !s.leaving }

// Disputed reports whether another instance claims to be the current one.
func (s State) Disputed() bool { return !s.DisputedSince.IsZero() }

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
	// Ignored: the message was late.
	Ignored Change = iota
	// Same: the message changed nothing.
	Same
	// Started: another instance is the current one, or the expected one has said
	// something itself.
	Started
	// Returned: the current instance takes requests again, or it changed its
	// slots.
	Returned
	// Leaving: the current instance drains or has deregistered.
	Leaving
	// Lost: the current instance can't be reached or has been replaced.
	Lost
	// Limited: the current instance names a limit, another one, or none any
	// more.
	Limited
	// Disputed: the message claims that another instance is the current one, which
	// nothing confirms yet.
	Disputed
	// Refused: the message can't be of this upstream.
	Refused
)

var changeNames = [...]string{"ignored", "same", "started", "returned", "leaving", "lost", "limited", "disputed", "refused"}

// String returns the name of the change as it is logged.
func (c Change) String() string { return changeNames[c] }

// Tracker keeps the State. It is not safe for concurrent use.
type Tracker struct {
	address, service string
	state            State
	ended            endedInstances
}

// NewTracker returns a tracker of the upstream of a service at an ip:port.
func NewTracker(address, service string) *Tracker {
	return &Tracker{address: address, service: service}
}

// State returns what is known of the current instance.
func (t *Tracker) State() State { return t.state }

// Restore sets what an earlier process knew of the upstream, unless that was of another
// service. The instance is
// expected, and gets no requests until it has said something itself: since the
// record was written it may have left or been replaced. That it leaves is valid
// at once, and also if the instance has been heard meanwhile, unless by a later
// heartbeat.
func (t *Tracker) Restore(s Stored) Change {
	switch {
	case s.ID == "" || s.Service != t.service || t.state.ID != "" && t.state.ID != s.ID:
		return Ignored
	case t.state.ID == s.ID:
		return t.restoreLeaving(s)
	case t.ended.has(s.ID) && !t.ended.left(s.ID):
		return Ignored
	}
	t.state = State{ID: s.ID, Service: t.service, Slots: s.Slots, Expected: true}
	if t.ended.left(s.ID) {
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
	if id != IDOf(t.state.ID) {
		return Same
	}
	t.state.answered()
	if !t.state.Unconfirmed() {
		return Same
	}
	t.state.Expected, t.state.Ready = false, true
	return Started
}

// HandleHeartbeat applies a heartbeat. A late one can't end a drain, but it can
// announce one, which is obeyed since it is acknowledged, and it shows that a lost
// instance is there. One of an instance that has deregistered is late for good.
func (t *Tracker) HandleHeartbeat(now time.Time, h Heartbeat) Change {
	identity := Identity(h.ID, h.Born)
	switch {
	case h.Address != t.address || h.Service != t.service:
		return Refused
	case t.ended.left(identity):
		return Ignored
	case identity != t.state.ID:
		return t.handleOther(now, h, identity)
	case t.state.seq > 0 && h.Seq > t.state.seq && h.Seq-t.state.seq > maxSeqStep:
		return Refused
	}
	late := h.Seq <= t.state.seq
	if late && (t.state.leaving || t.state.Ready && !h.Draining) && !t.outlasts(now, h.Seq) {
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
	case t.state.Slots != old.Slots:
		return Returned
	default:
		return Same
	}
}

// handleOther applies a heartbeat of an instance that is not the current one.
func (t *Tracker) handleOther(now time.Time, h Heartbeat, identity string) Change {
	if !t.succeeds(now, h, identity) && !t.dispute(now, h.ID) {
		return Disputed
	}
	t.ended.add(t.state.ID, false)
	t.ended.forget(identity)
	t.state = State{ID: identity}
	t.apply(now, h)
	return Started
}

// succeeds reports whether an instance that sends a heartbeat has started after the
// current one. Between two that do not report their start, arrival decides.
func (t *Tracker) succeeds(now time.Time, h Heartbeat, identity string) bool {
	current, sameID := bornOf(t.state.ID), h.ID == IDOf(t.state.ID)
	switch {
	case t.state.ID == "":
		return !t.ended.has(identity)
	case h.Born != current && (h.Born > 0 && current > 0 || sameID):
		return h.Born > current && h.Born <= now.Add(maxClockError).UnixMilli()
	case t.state.Lost || t.ended.left(t.state.ID):
		return true
	default:
		return h.Born == 0 && current == 0 && !t.ended.has(identity)
	}
}

// dispute records that another instance claims to be the current one. It reports
// whether the current one has said nothing for so long that the claim is believed.
func (t *Tracker) dispute(now time.Time, claimant string) bool {
	if !t.state.Disputed() {
		t.state.DisputedSince = now
	}
	t.state.claimant = claimant
	return now.Sub(t.state.DisputedSince) > silentAfter
}

// answered records that the upstream has answered as the current instance, which ends a
// dispute. It answers with its id, so that does not decide between two starts of one id.
func (s *State) answered() {
	if s.claimant != IDOf(s.ID) {
		s.DisputedSince = time.Time{}
	}
}

// outlasts records a heartbeat of the current instance with a lower sequence number
// than an earlier one. It reports whether such heartbeats have come for so long, and
// none with a higher number, that the higher one was not of this instance.
func (t *Tracker) outlasts(now time.Time, seq uint64) bool {
	advances := seq > t.state.lateSeq
	t.state.lateSeq = seq
	if t.state.lateSince.IsZero() {
		t.state.lateSince = now
	}
	if !advances || now.Sub(t.state.lateSince) <= silentAfter {
		return false
	}
	t.state.seq = seq
	return true
}

func (t *Tracker) apply(now time.Time, h Heartbeat) {
	t.state.seq = max(t.state.seq, h.Seq)
	t.state.lateSeq, t.state.lateSince = 0, time.Time{}
	t.state.DisputedSince = time.Time{}
	t.state.Service = t.service
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

// Deregistration says that an instance has ended.
type Deregistration struct {
	// ID and Born are those of Heartbeat; Born is 0 if the message does not name it.
	ID   string
	Born int64
}

// Deregister records that an instance has ended: the current one, if it has that id and
// did not start later.
func (t *Tracker) Deregister(d Deregistration) Change {
	if d.ID != IDOf(t.state.ID) {
		t.deregisterOther(d)
		return Ignored
	}
	if d.Born > 0 {
		t.ended.add(Identity(d.ID, d.Born), true)
		if d.Born < bornOf(t.state.ID) {
			return Ignored
		}
	}
	if t.ended.deregistered(t.state.ID) && t.state.Notice.Leaving {
		return Ignored
	}
	t.ended.add(t.state.ID, true)
	t.state.leave()
	return Leaving
}

// deregisterOther records that an instance other than the current one has ended: if its
// start is not named, each known start of its id.
func (t *Tracker) deregisterOther(d Deregistration) {
	if d.Born > 0 || !t.ended.deregisterID(d.ID) {
		t.ended.add(Identity(d.ID, d.Born), true)
	}
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
	t.ended.forgetID(actual)
	if t.state.ID == "" || expected != t.state.ID || actual == IDOf(expected) {
		return Same
	}
	t.ended.add(expected, false)
	t.state = State{}
	return Lost
}
