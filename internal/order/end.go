package order

import (
	"time"

	"heathershed/internal/contract"
)

// MarkSent takes note that a byte of a running order may leave from now on: it must
// be called before the first one does. An end without an answer is then "may
// have run".
func (t *Table) MarkSent(now time.Time, id contract.OrderID, owner, kind string) {
	t.advance(now)
	if r := t.records[key{owner, kind, id}]; r != nil && r.state == stateRunning {
		r.state = stateSent
	}
}

// End records how a running order ended and returns what its caller is told.
//
// NotRun may be given only where every VM that the order was sent to answered
// that it did not run it; one without an answer makes it MayHaveRun. Then no
// executor can still run it, since each was asked once and has answered. The
// record stays, not to refuse the order but to fence off copies that the caller
// sent before it heard the verdict; a later one may run.
//
// Ran and MayHaveRun stand until the record expires.
func (t *Table) End(now time.Time, id contract.OrderID, owner, kind string, answer Answer) Answer {
	now = t.advance(now)
	k := key{owner, kind, id}
	r := t.records[k]
	if r == nil || r.state == stateEnded || r.state == stateNotRun {
		return answer
	}
	t.running--
	r.answer = &answer
	if answer.Verdict == contract.NotRun {
		r.state = stateNotRun
		r.fence = now.Add(t.config.ClockMargin)
		return answer
	}
	r.state = stateEnded
	t.keepBody(k, r)
	return answer
}

// Abandon ends a running order that has no answer, for example because its
// context ended: as not run if no byte can have left, else as may have run.
func (t *Table) Abandon(now time.Time, id contract.OrderID, owner, kind string, reason contract.Reason) Answer {
	answer := Answer{Verdict: contract.MayHaveRun, Reason: reason}
	if r := t.records[key{owner, kind, id}]; r != nil && r.state == stateRunning {
		answer.Verdict = contract.NotRun
	}
	return t.End(now, id, owner, kind, answer)
}

// keepBody counts an ended record's answer and drops the oldest ones where the
// bytes don't suffice.
func (t *Table) keepBody(k key, r *record) {
	size := r.answer.size()
	if size == 0 {
		return
	}
	t.bytes += size
	t.bodies = append(t.bodies, k)
	for t.bytes > t.config.MaxBytes && len(t.bodies) > 0 {
		oldest := t.bodies[0]
		t.bodies = t.bodies[1:]
		t.dropBody(oldest)
	}
}

func (t *Table) dropBody(k key) {
	r := t.records[k]
	if r == nil || r.state != stateEnded {
		return
	}
	t.bytes -= r.answer.size()
	short := r.answer.withoutBody()
	r.answer = &short
}

// Expire forgets the records whose ids are too old by now to be accepted again.
// One that still runs is kept until it has ended.
func (t *Table) Expire(now time.Time) {
	t.advance(now)
	t.expiry.due(t.now, func(k key) (again bool) {
		r := t.records[k]
		if r == nil {
			return false
		}
		if r.state == stateRunning || r.state == stateSent {
			return true
		}
		if r.state == stateEnded {
			t.bytes -= r.answer.size()
		}
		delete(t.records, k)
		return false
	})
	for len(t.bodies) > 0 && t.records[t.bodies[0]] == nil {
		t.bodies = t.bodies[1:]
	}
}
