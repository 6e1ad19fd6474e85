package order_test

import (
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
)

// call has a caller send an order, new or repeated, by way of a node.
func (w *world) call(n *node, which, age int) {
	if len(w.orders) == 0 || which%4 == 0 {
		id, _ := order.FreshID(w.now(n).Add(-time.Duration(max(0, age-8))*time.Second), n.guard.Current(), service, func(homes.Home) bool { return true }, w.random)
		w.orders = append(w.orders, &orderLog{id: id, numbered: len(w.orders)%2 == 1})
		which = 0
	}
	o := w.orders[len(w.orders)-1-which/4%min(len(w.orders), 3)]
	c := copyOf{o, order.Attempt{Known: o.numbered, Number: uint32(o.copies), Received: w.now(n)}, o.copies}
	o.copies++
	home, ok := n.guard.Current().Home(service, o.id)
	if !ok || age == 15 { // no list, or no link to the home
		verdict := order.UnreachableVerdict(c.Known, c.Number, o.id, home)
		if w.fault == unseenNotRun {
			verdict = contract.NotRun
		}
		w.tell(c, verdict)
		return
	}
	w.once(func() {
		if h := w.nodeOf(home.VM); h.self == home {
			w.arrive(h, c)
		} else if after, ok := n.guard.Current().Successor(service, o.id); ok {
			s := w.nodeOf(after.VM)
			w.tell(c, s.table.Lookup(w.now(s), o.id, owner, kind, 1, c.Attempt).Verdict)
		}
	})
}

// arrive is a copy at the home: check, begin and run are steps of their own.
func (w *world) arrive(h *node, c copyOf) {
	own, limit := w.claim(h, c.id)
	if !own {
		w.tell(c, c.UnrecordedVerdict())
		return
	}
	if w.fault == noFence {
		c.Known, c.Received = false, w.real.Add(time.Hour)
	}
	w.at(h, func() {
		d := h.table.Begin(w.now(h), c.id, owner, kind, 1, limit, c.Attempt)
		if d.Kind == order.DecisionRun {
			w.at(h, func() { w.execute(h, c, 0, w.now(h).Add(3*time.Second)) })
			return
		}
		switch d.Kind {
		case order.DecisionRecorded:
			w.counts.recorded++
		case order.DecisionRunning:
			w.counts.waiting++
		}
		w.tell(c, d.Verdict)
	})
}

// execute is one try: here, or at another VM, which may refuse it.
func (w *world) execute(h *node, c copyOf, number uint32, notAfter time.Time) {
	answered := false
	end := func(v contract.Verdict) {
		if answered {
			return
		}
		answered = true
		if v == contract.MayHaveRun && w.fault == dropNotRun {
			v = contract.NotRun
		}
		if v == contract.NotRun && number == 0 && c.index%2 == 0 {
			w.at(h, func() { w.execute(h, c, 1, notAfter) })
			return
		}
		w.tell(c, h.table.End(w.now(h), c.id, owner, kind, order.Answer{Verdict: v}).Verdict)
	}
	h.table.MarkSent(w.now(h), c.id, owner, kind)
	target := w.nodes[(c.id[15]+byte(number))%numVMs]
	w.timers = append(w.timers, func() {
		if w.alive(h) {
			end(contract.MayHaveRun)
		}
	})
	w.later(func() {
		if !w.alive(target) {
			return
		}
		d := target.exec.Accept(w.now(target), c.id, owner, kind, number, c.Received, notAfter)
		verdict := d.Verdict
		if d.Kind == order.DecisionRun {
			if verdict = contract.NotRun; c.id[14]%2 != 0 || number > 0 {
				verdict = contract.Ran
				w.run(c)
			}
		}
		w.to(h, func() { end(verdict) })
	})
}

// run is the upstream's own log.
func (w *world) run(c copyOf) {
	w.counts.runs++
	if c.runs++; c.runs > 1 {
		w.breaks("order doubled")
	}
	if c.index < c.barred && !w.wild {
		w.breaks("false not run: ran by a copy from before the verdict")
	}
}

// tell gives a verdict. A caller that numbers its attempts listens to its last
// one alone.
func (w *world) tell(c copyOf, v contract.Verdict) {
	if v != contract.NotRun || c.numbered && c.index != c.copies-1 {
		return
	}
	w.counts.notRun++
	if c.runs > 0 {
		w.breaks("false not run: had run")
	}
	c.barred = c.copies
}
