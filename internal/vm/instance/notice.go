package instance

import "time"

// MaxLimit bounds the limits that are kept, in requests a second. A node can't
// send more than that, so higher ones are reduced to it.
const MaxLimit = 1e6

// Notice is what an instance says of itself in its answers, or by deregistering.
// The zero Notice says nothing.
type Notice struct {
	// Limited says that the instance names a limit: it takes Limit requests a
	// second from all callers together, from 0 to MaxLimit.
	Limited bool
	Limit   float64
	// Leaving says that the instance takes no new requests for the rest of its
	// life.
	Leaving bool
}

// Answer is what one answer of an instance says.
type Answer struct {
	Notice
	// Instance gave the answer to a request that was sent at Sent.
	Instance string
	Sent     time.Time
	// KeepLimit says that the answer leaves the limit as it is.
	KeepLimit bool
}

// Report is what a node has heard of an instance, as nodes tell each other.
type Report struct {
	Notice
	Instance string
	// Incarnation is that of the node beside the instance, and Changes counts
	// what it has heard since its start. Incarnation is 0 in that node's own
	// report if the instance has told it nothing since its start.
	Incarnation, Changes uint64
}

// Older reports whether r is older than other, a report from the same VM.
func (r Report) Older(other Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation < other.Incarnation
	}
	return r.Changes < other.Changes
}

// Restricts reports whether the instance takes fewer requests than its slots
// allow.
func (n Notice) Restricts() bool { return n.Limited || n.Leaving }

// AddsTo reports whether n restricts the instance more than other does.
func (n Notice) AddsTo(other Notice) bool {
	return n.Leaving && !other.Leaving || n.stricter(other)
}

// stricter reports whether n allows fewer requests than other.
func (n Notice) stricter(other Notice) bool {
	return n.Limited && (!other.Limited || n.Limit < other.Limit)
}

// HandleAnswer applies what an answer says, which is read at now. Leaving is
// for good. A limit lasts until an answer names another one or none.
//
// Answers overtake each other. An answer with a lower limit always applies. One
// with a higher limit, or none, applies only if its request was sent after the
// present limit was last named: it can't be older than that then.
func (t *Tracker) HandleAnswer(now time.Time, a Answer) Change {
	if a.Instance == "" || a.Instance != t.state.ID {
		return Same
	}
	t.state.Heard = true
	t.state.answered()
	changed := !a.KeepLimit && t.state.hearLimit(now, a)
	if a.Leaving && !t.state.Notice.Leaving {
		t.state.leave()
		return Leaving
	}
	if changed {
		return Limited
	}
	return Same
}

// Recall applies what another node has heard of the current instance, at now.
// Leaving is for good. A limit counts until this process has read an answer of
// the instance: other nodes know nothing newer than that, since all requests pass
// this node.
func (t *Tracker) Recall(now time.Time, r Report) Change {
	if r.Instance == "" || r.Instance != t.state.ID {
		return Same
	}
	if r.Leaving && !t.state.Notice.Leaving {
		t.state.leave()
		return Leaving
	}
	if !t.state.Heard && r.stricter(t.state.Notice) {
		t.state.Notice.Limited, t.state.Notice.Limit, t.state.LimitAt = true, r.Limit, now
		return Limited
	}
	return Same
}

// leave records that the instance leaves for good.
func (s *State) leave() {
	s.Notice.Leaving, s.leaving, s.Ready = true, true, false
}

// hearLimit applies the limit of an answer and reports whether it changed.
func (s *State) hearLimit(now time.Time, a Answer) (changed bool) {
	if s.Notice.stricter(a.Notice) && !a.Sent.After(s.LimitAt) {
		return false
	}
	changed = a.Limited != s.Notice.Limited || a.Limit != s.Notice.Limit
	if a.Limited || changed {
		s.Notice.Limited, s.Notice.Limit, s.LimitAt = a.Limited, a.Limit, now
	}
	return changed
}
