package order

import (
	"time"

	"heathershed/internal/contract"
)

// MarkSent records that bytes of a running order may leave this process from
// now on; it must be called before the first byte is sent. If the order then
// ends without an answer, its verdict is MayHaveRun.
func (t *Table) MarkSent(now time.Time, id contract.OrderID, owner, kind string) {
	t.advance(now)
	if r := t.records[key{owner, kind, id}]; r != nil && r.state == stateRunning {
		r.state = stateSent
	}
}

// End records the outcome of a running order and returns the answer for its
// caller.
//
// The verdict may be NotRun only if every VM that the order was sent to has
// answered that it did not run it. If one answer is missing, the verdict must
// be MayHaveRun. Once all have answered, no executor can still run the order,
// because each was asked only once. The record is kept to fence off copies that
// the caller sent before it received the verdict, not to reject the order
// permanently: a later copy may run.
//
// Ran and MayHaveRun are final until the record expires.
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
	t.retainBody(k, r)
	return answer
}

// Abandon ends a running order that has no answer, for example because its
// context ended. The verdict is NotRun if MarkSent was not called, so that no
// byte can have left, and MayHaveRun otherwise.
func (t *Table) Abandon(now time.Time, id contract.OrderID, owner, kind string, reason contract.Reason) Answer {
	answer := Answer{Verdict: contract.MayHaveRun, Reason: reason}
	if r := t.records[key{owner, kind, id}]; r != nil && r.state == stateRunning {
		answer.Verdict = contract.NotRun
	}
	return t.End(now, id, owner, kind, answer)
}

// retainBody counts the size of an ended record's answer and drops the headers
// and bodies of the oldest answers while the total exceeds MaxBytes.
func (t *Table) retainBody(k key, r *record) {
	size := r.answer.size()
	if size == 0 {
		return
	}
	t.bytes += size
	t.bodies = append(t.bodies, k)
	for t.bytes > t.config.MaxBytes && len(t.bodies) > 0 {
		oldest := t.bodies[0]
		t.bodies = t.bodies[1:]
		t.evictBody(oldest)
	}
}

// evictBody drops the headers and body of an ended record's answer.
func (t *Table) evictBody(k key) {
	r := t.records[k]
	if r == nil || r.state != stateEnded {
		return
	}
	t.bytes -= r.answer.size()
	short := r.answer.withoutBody()
	r.answer = &short
}

// Expire removes the records whose ids are too old to be accepted again. The
// record of a running order is kept until the order has ended.
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
