package order_test

import (
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
)

// put is a conditional write to the store.
func (m *model) put(base int, d *homes.Document) {
	if m.fault == unconditionalWrite {
		base = len(m.stored)
		d = &homes.Document{Version: uint64(base + 1), Confirmed: d.Confirmed, Services: d.Services, Witnesses: d.Witnesses}
	}
	if !m.down && base == len(m.stored) {
		value, err := d.Encode()
		if err != nil {
			m.violated("encode: %v", err)
		}
		m.stored = append(m.stored, value)
		m.counts.changes++
	}
}

func (m *model) offer(n *node, version uint64, value []byte) {
	if _, err := n.participant.Offer(version, value); err != nil {
		m.violated("offer: %v", err)
	}
}

// advanceEditor performs the next step of an editor.
func (m *model) advanceEditor(e *editor, n *node, mask int) {
	step := e.step
	e.step = (e.step + 1) % 3
	if mask%8 == 7 {
		step = 3
	}
	switch {
	case step == 0 || e.base == nil: // read the document, possibly an old value
		if e.step = 1; !m.down {
			e.version = max(1, len(m.stored)-mask%3/2)
			e.base, _ = homes.Decode(m.stored[e.version-1])
			e.intent = nil
		}
	case step == 1: // plan a change and send the intent to the witnesses
		e.live = m.view(mask >> 3)
		_, changed := homes.Editor{}.Edit(m.now(n), e.base, e.live)
		intent := homes.NewIntent(e.base, changed)
		e.intent = intent
		ask := intent.Ask(m.now(n))
		for _, h := range intent.Witnesses() {
			if m.fault == noIntent {
				break
			}
			m.send(func() {
				witness := m.nodeOf(h.VM)
				reply := witness.participant.Answer(m.witnessClock(witness), ask)
				m.send(func() { intent.HandleAck(witness.self, reply) })
			})
		}
	case step == 2 && e.intent != nil && (e.intent.Ready() || m.fault == noIntent):
		next, _ := e.intent.Edit(homes.Editor{}, m.now(n), e.live)
		if m.fault == noIntent {
			next, _ = homes.Editor{}.Edit(m.now(n), e.base, e.live)
		}
		version := e.version
		m.send(func() { m.put(version, next) })
	case step == 3: // refresh the confirmation
		version, next := e.version, homes.Refresh(m.now(n), e.base)
		m.send(func() { m.put(version, next) })
	}
}

// witnessClock returns the time at which a witness answers.
func (m *model) witnessClock(n *node) time.Time {
	if m.fault == uncheckedClocks {
		return time.Time{}
	}
	return m.now(n)
}

// heartbeat sends a confirmation request to the witnesses.
func (m *model) heartbeat(n *node) {
	request, witnesses := n.participant.Ask(m.now(n))
	for _, h := range witnesses {
		m.send(func() {
			witness := m.nodeOf(h.VM)
			from, reply := witness.self, witness.participant.Answer(m.witnessClock(witness), request)
			if m.fault == restartedWitness {
				from = h
			}
			m.sendTo(n, func() { n.participant.HandleConfirmation(from, reply) })
		})
	}
}

// claim returns whether a node is the home of an id, and its limit.
func (m *model) claim(h *node, id contract.OrderID) (local bool, limit time.Time) {
	_, local, limit = h.participant.HomeOf(id)
	if m.fault == lateLimit && !limit.IsZero() {
		limit = limit.Add(2 * homes.ClockMargin)
	}
	return local, limit
}

// advanceClock advances the clock and adds probes with ids around the new
// time.
func (m *model) advanceClock(step time.Duration) {
	m.real = m.real.Add(step)
	m.clockAdvances++
	for i := range 6 {
		at := m.real.Add(homes.ClockMargin - time.Duration(i)*step/6)
		id, _ := order.FreshID(at, m.nodes[i%numVMs].participant.Current(), service, func(homes.Home) bool { return true }, m.random)
		m.probes = append(m.probes, probe{id: id})
	}
	m.probes = m.probes[max(0, len(m.probes)-24):]
}

// check looks for an id that two homes accept, at the same time or one after
// the other.
func (m *model) check() {
	for _, n := range m.nodes {
		_, limit := m.claim(n, contract.OrderID{})
		now := claimInputs{n.participant.Current().Version, limit, m.clockAdvances}
		if n.last == now {
			continue
		}
		n.last = now
		for i := range m.probes {
			p := &m.probes[i]
			if local, _ := m.claim(n, p.id); !local || !p.id.Time().Before(limit) {
				continue
			}
			if p.home.VM != "" && p.home != n.self {
				m.violated("two homes accept the same id")
			}
			p.home = n.self
		}
	}
}

// read reads the store's object, possibly an old value.
func (m *model) read(age int) (version uint64, value []byte) {
	at := max(0, len(m.stored)-1-age)
	return uint64(at + 1), m.stored[at]
}
