package order_test

import (
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
)

// call sends a new or repeated order of a caller through a node.
func (m *model) call(n *node, which, age int) {
	if len(m.orders) == 0 || which%4 == 0 {
		id, _ := order.FreshID(m.now(n).Add(-time.Duration(max(0, age-8))*time.Second), n.participant.Current(), service, func(homes.Home) bool { return true }, m.random)
		m.orders = append(m.orders, &orderLog{id: id, numbered: len(m.orders)%2 == 1})
		which = 0
	}
	o := m.orders[len(m.orders)-1-which/4%min(len(m.orders), 3)]
	c := orderCopy{o, order.Attempt{Known: o.numbered, Number: uint32(o.copies), Received: m.now(n)}, o.copies}
	o.copies++
	home, ok := n.participant.Current().Home(service, o.id)
	if !ok || age == 15 { // no list, or no link to the home
		verdict := order.UnreachableVerdict(c.Known, c.Number, o.id, home)
		if m.fault == unrecordedNotRun {
			verdict = contract.NotRun
		}
		m.deliverVerdict(c, verdict)
		return
	}
	m.sendOnce(func() {
		if h := m.nodeOf(home.VM); h.self == home {
			m.arrive(h, c)
		} else if after, ok := n.participant.Current().Successor(service, o.id); ok {
			s := m.nodeOf(after.VM)
			m.deliverVerdict(c, s.table.Lookup(m.now(s), o.id, owner, kind, 1, c.Attempt).Verdict)
		}
	})
}

// arrive handles a copy at the home. The check, Begin and the run are separate
// steps.
func (m *model) arrive(h *node, c orderCopy) {
	local, limit := m.claim(h, c.id)
	if !local {
		m.deliverVerdict(c, c.UnrecordedVerdict())
		return
	}
	if m.fault == noFence {
		c.Known, c.Received = false, m.real.Add(time.Hour)
	}
	m.schedule(h, func() {
		d := h.table.Begin(m.now(h), c.id, owner, kind, 1, limit, c.Attempt)
		if d.Kind == order.DecisionRun {
			m.schedule(h, func() { m.execute(h, c, 0, m.now(h).Add(3*time.Second)) })
			return
		}
		switch d.Kind {
		case order.DecisionRecorded:
			m.counts.recorded++
		case order.DecisionRunning:
			m.counts.running++
		}
		m.deliverVerdict(c, d.Verdict)
	})
}

// execute is one dispatch, to this or another VM, which may reject it.
func (m *model) execute(h *node, c orderCopy, number uint32, notAfter time.Time) {
	answered := false
	end := func(v contract.Verdict) {
		if answered {
			return
		}
		answered = true
		if v == contract.MayHaveRun && m.fault == timeoutAsNotRun {
			v = contract.NotRun
		}
		if v == contract.NotRun && number == 0 && c.index%2 == 0 {
			m.schedule(h, func() { m.execute(h, c, 1, notAfter) })
			return
		}
		m.deliverVerdict(c, h.table.End(m.now(h), c.id, owner, kind, order.Answer{Verdict: v}).Verdict)
	}
	h.table.MarkSent(m.now(h), c.id, owner, kind)
	target := m.nodes[(c.id[15]+byte(number))%numVMs]
	m.timers = append(m.timers, func() {
		if m.alive(h) {
			end(contract.MayHaveRun)
		}
	})
	m.send(func() {
		if !m.alive(target) {
			return
		}
		d := target.exec.Accept(m.now(target), c.id, owner, kind, number, c.Received, notAfter)
		verdict := d.Verdict
		if d.Kind == order.DecisionRun {
			if verdict = contract.NotRun; c.id[14]%2 != 0 || number > 0 {
				verdict = contract.Ran
				m.run(c)
			}
		}
		m.sendTo(h, func() { end(verdict) })
	})
}

// run is the upstream's own record of what it ran.
func (m *model) run(c orderCopy) {
	m.counts.runs++
	if c.runs++; c.runs > 1 {
		m.violated("order ran twice")
	}
	if c.index < c.fencedBelow && !m.clockFaults {
		m.violated("false not run: a copy sent before the verdict ran")
	}
}

// deliverVerdict returns a verdict to the caller. A caller that numbers its
// attempts waits only for its last one.
func (m *model) deliverVerdict(c orderCopy, v contract.Verdict) {
	if v != contract.NotRun || c.numbered && c.index != c.copies-1 {
		return
	}
	m.counts.notRun++
	if c.runs > 0 {
		m.violated("false not run: the order had run")
	}
	c.fencedBelow = c.copies
}
