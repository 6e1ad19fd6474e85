package order_test

import (
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
)

// put is a conditional write.
func (w *world) put(base int, d *homes.Document) {
	if w.fault == staleDocument {
		base = len(w.stored)
		d = &homes.Document{Version: uint64(base + 1), Confirmed: d.Confirmed, Services: d.Services, Witnesses: d.Witnesses}
	}
	if !w.down && base == len(w.stored) {
		value, err := d.Encode()
		if err != nil {
			w.breaks("encode: %v", err)
		}
		w.stored = append(w.stored, value)
		w.counts.changes++
	}
}

func (w *world) offer(n *node, version uint64, value []byte) {
	if _, err := n.guard.Offer(version, value); err != nil {
		w.breaks("offer: %v", err)
	}
}

// edit is the next step of an editor.
func (w *world) edit(e *editor, n *node, mask int) {
	step := e.step
	e.step = (e.step + 1) % 3
	if mask%8 == 7 {
		step = 3
	}
	switch {
	case step == 0 || e.base == nil: // read, perhaps an old value
		if e.step = 1; !w.down {
			e.version = max(1, len(w.stored)-mask%3/2)
			e.base, _ = homes.Decode(w.stored[e.version-1])
			e.intent = nil
		}
	case step == 1: // plan a change and tell the witnesses
		e.live = w.view(mask >> 3)
		_, changed := homes.Editor{}.Edit(w.now(n), e.base, e.live)
		intent := homes.NewIntent(e.base, changed)
		e.intent = intent
		ask := intent.Ask(w.now(n))
		for _, h := range intent.Witnesses() {
			if w.fault == noIntent {
				break
			}
			w.later(func() {
				witness := w.nodeOf(h.VM)
				reply := witness.guard.Answer(w.witnessClock(witness), ask)
				w.later(func() { intent.HandleAck(witness.self, reply) })
			})
		}
	case step == 2 && e.intent != nil && (e.intent.Ready() || w.fault == noIntent):
		next, _ := e.intent.Edit(homes.Editor{}, w.now(n), e.live)
		if w.fault == noIntent {
			next, _ = homes.Editor{}.Edit(w.now(n), e.base, e.live)
		}
		version := e.version
		w.later(func() { w.put(version, next) })
	case step == 3: // renew the confirmation
		version, next := e.version, homes.Refresh(w.now(n), e.base)
		w.later(func() { w.put(version, next) })
	}
}

// witnessClock is the clock by which a witness answers.
func (w *world) witnessClock(n *node) time.Time {
	if w.fault == wrongClock {
		return time.Time{}
	}
	return w.now(n)
}

// heartbeat asks the witnesses to vouch.
func (w *world) heartbeat(n *node) {
	question, witnesses := n.guard.Ask(w.now(n))
	for _, h := range witnesses {
		w.later(func() {
			witness := w.nodeOf(h.VM)
			from, reply := witness.self, witness.guard.Answer(w.witnessClock(witness), question)
			if w.fault == anyWitness {
				from = h
			}
			w.to(n, func() { n.guard.HandleConfirmation(from, reply) })
		})
	}
}

// claim is what a node may conclude about an id.
func (w *world) claim(h *node, id contract.OrderID) (own bool, limit time.Time) {
	_, own, limit = h.guard.HomeOf(id)
	if w.fault == lateLimit && !limit.IsZero() {
		limit = limit.Add(2 * homes.ClockMargin)
	}
	return own, limit
}

// pass lets time go by.
func (w *world) pass(step time.Duration) {
	w.real = w.real.Add(step)
	w.passed++
	for i := range 6 {
		at := w.real.Add(homes.ClockMargin - time.Duration(i)*step/6)
		id, _ := order.FreshID(at, w.nodes[i%numVMs].guard.Current(), service, func(homes.Home) bool { return true }, w.random)
		w.probes = append(w.probes, probe{id: id})
	}
	w.probes = w.probes[max(0, len(w.probes)-24):]
}

// check looks for an id that two homes accept, now or one after the other.
func (w *world) check() {
	for _, n := range w.nodes {
		_, limit := w.claim(n, contract.OrderID{})
		now := claimed{n.guard.Current().Version, limit, w.passed}
		if n.last == now {
			continue
		}
		n.last = now
		for i := range w.probes {
			p := &w.probes[i]
			if own, _ := w.claim(n, p.id); !own || !p.id.Time().Before(limit) {
				continue
			}
			if p.home.VM != "" && p.home != n.self {
				w.breaks("two homes accept one id")
			}
			p.home = n.self
		}
	}
}

// read is a read of the store, perhaps of an old value.
func (w *world) read(age int) (version uint64, value []byte) {
	at := max(0, len(w.stored)-1-age)
	return uint64(at + 1), w.stored[at]
}
