package order_test

import (
	"fmt"
	"math/rand"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
)

// fault is a rule of the protocol that a run of the model omits on purpose.
type fault int

const (
	noFault            fault = iota
	noIntent                 // editors write changes without acknowledged intents
	lateLimit                // homes run ids up to ActivationDelay+margin, not ActivationDelay-margin
	noFence                  // all copies of an order that ended as not run count as later copies
	restartedWitness         // a restarted witness still confirms as its earlier incarnation
	timeoutAsNotRun          // a home ends an order without an answer as not run
	unrecordedNotRun         // nodes that cannot consult the record return "not run" for every copy
	uncheckedClocks          // witnesses do not compare clocks
	unconditionalWrite       // editors write over the store's current version, not the one they read
)

const (
	numVMs  = 4
	service = "cutdesk"
	owner   = "filao"
	kind    = "cut-order"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// model composes the I/O-free components into a small cluster: homes that are
// also senders and executors, two editors, and the one object in the store.
// All activity is divided into pending steps, any of which may be delayed,
// lost, duplicated or reordered. A delayed step of a process also models a
// paused process.
type model struct {
	fault         fault
	real          time.Time
	down          bool
	stored        []([]byte) // values of the store's object, indexed by version - 1
	nodes         [numVMs]*node
	editors       [2]editor
	orders        []*orderLog
	pending       []pendingStep
	timers        []func()
	random        *rand.Rand
	probes        []probe
	clockAdvances int // calls of advanceClock, each with new probes
	counts        *counts
	clockFaults   bool // clocks may differ by more than the margin
	violation     string
}

// counts shows that a run of the model reached the cases it is meant to test.
type counts struct{ runs, changes, notRun, recorded, running int }

// claimInputs is what the result of a node's claims on the probes depends on.
type claimInputs struct {
	version       uint64
	limit         time.Time
	clockAdvances int
}

// probe is an id that at most one home may ever accept, whether it is sent or
// not.
type probe struct {
	id   contract.OrderID
	home homes.Home
}

// pendingStep is a step that can happen now: a message on a link, which may be
// lost or duplicated, or the next step of a process.
type pendingStep struct {
	do                func()
	lossy, duplicable bool
}

type node struct {
	self        homes.Home
	skew        time.Duration
	participant *homes.Participant
	table       *order.Table
	exec        *order.Executor
	last        claimInputs
	left        bool
}

type editor struct {
	base    *homes.Document
	version int // version of the store's object that base was read from
	intent  *homes.Intent
	live    map[string][]homes.Home
	step    int
}

type orderLog struct {
	id          contract.OrderID
	numbered    bool
	copies      int
	fencedBelow int // copies below this one must no longer run the order
	runs        int
}

type orderCopy struct {
	*orderLog
	order.Attempt
	index int
}

func newModel(f fault, c *counts, clockFaults bool) *model {
	m := &model{fault: f, counts: c, clockFaults: clockFaults, real: epoch, random: rand.New(rand.NewSource(1))}
	for i := range m.nodes {
		m.restart(i, 1)
	}
	first, _ := homes.Editor{}.Edit(epoch, nil, m.view(7))
	m.put(0, first)
	for _, n := range m.nodes {
		m.offer(n, 1, m.stored[0])
	}
	return m
}

func (m *model) restart(vm int, incarnation uint64) {
	self := homes.Home{VM: fmt.Sprintf("vm%d", vm), Incarnation: incarnation}
	m.nodes[vm] = &node{
		self:        self,
		skew:        skewOf(vm),
		participant: homes.NewParticipant(self, service),
		table:       order.NewTable(order.Config{MaxRecords: 6}),
		exec:        order.NewExecutor(order.Config{MaxRecords: 6}),
	}
}

// skewOf returns how far the clock of a VM is ahead when clocks are within the
// margin.
func skewOf(vm int) time.Duration {
	return homes.ClockMargin * time.Duration(vm) / (numVMs - 1)
}

func (m *model) now(n *node) time.Time { return m.real.Add(n.skew) }
func (m *model) alive(n *node) bool    { return m.nodeOf(n.self.VM) == n }

// send adds a message on a link that may be lost or duplicated.
func (m *model) send(step func()) { m.pending = append(m.pending, pendingStep{step, true, true}) }

// sendOnce adds a message whose sender distinguishes a second copy from the
// first: it may be lost, but is not duplicated.
func (m *model) sendOnce(step func()) { m.pending = append(m.pending, pendingStep{step, true, false}) }

// sendTo adds a message to one process. It is lost if the process has ended.
func (m *model) sendTo(n *node, step func()) {
	m.schedule(n, step)
	m.pending[len(m.pending)-1].lossy = true
	m.pending[len(m.pending)-1].duplicable = true
}

// schedule adds the next step of one process, which may be paused before it.
func (m *model) schedule(n *node, step func()) {
	m.pending = append(m.pending, pendingStep{do: func() {
		if m.alive(n) {
			step()
		}
	}})
}

func (m *model) nodeOf(vm string) *node {
	for _, n := range m.nodes {
		if n.self.VM == vm {
			return n
		}
	}
	return nil
}

func (m *model) violated(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// view returns the members that an editor considers live: any subset, right or
// wrong.
func (m *model) view(mask int) map[string][]homes.Home {
	var members []homes.Home
	for i, n := range m.nodes {
		if mask>>i&1 == 1 {
			members = append(members, n.self)
		}
	}
	return map[string][]homes.Home{service: members}
}

// quiesce delivers everything and fires the timeouts. No live home may then
// have an order without an end.
func (m *model) quiesce() {
	for range 8 {
		m.flush(0)
		m.fireTimeouts()
	}
	for _, n := range m.nodes {
		if n.table.Running() != 0 {
			m.violated("order without a verdict at %s", n.self.VM)
		}
	}
}

// heal ends all faults. The cluster must then accept orders again, at every
// node.
func (m *model) heal() {
	m.quiesce()
	m.down = false
	m.advanceClock(order.DefaultHorizon)
	for i, n := range m.nodes {
		if n.skew = skewOf(i); n.left {
			m.restart(i, n.self.Incarnation+1)
		}
	}
	e := &editor{}
	for range 3 {
		m.advanceEditor(e, m.nodes[0], 15<<3)
		m.flush(0)
	}
	version, value := m.read(0)
	for _, n := range m.nodes {
		m.offer(n, version, value)
	}
	m.advanceClock(homes.ActivationDelay + 3*homes.ClockMargin)
	for _, n := range m.nodes {
		n.table.Expire(m.now(n))
		m.heartbeat(n)
	}
	m.flush(0)
	for _, n := range m.nodes {
		m.call(n, 0, 0)
		m.flush(0)
		if m.orders[len(m.orders)-1].runs != 1 {
			m.violated("order not run after all faults ended")
		}
	}
}

// flush delivers everything except the steps pending now that the mask
// selects, which stay pending.
func (m *model) flush(mask int) {
	steps := m.pending
	m.pending = nil
	var held []pendingStep
	for i, step := range steps {
		if mask>>(i%8)&1 == 1 {
			held = append(held, step)
		} else {
			m.pending = append(m.pending, step)
		}
	}
	for turn := 0; turn < 10 && len(m.pending) > 0; turn++ {
		m.deliver(0, false)
	}
	m.pending = append(m.pending, held...)
}

// deliver performs the pending steps. Steps that the mask selects stay
// pending, or are lost if lose is set.
func (m *model) deliver(mask int, lose bool) {
	steps := m.pending
	m.pending = nil
	for i, step := range steps {
		switch {
		case mask>>(i%8)&1 == 0:
			step.do()
		case !lose || !step.lossy:
			m.pending = append(m.pending, step)
		}
	}
}

// fireTimeouts ends all waits for executors.
func (m *model) fireTimeouts() {
	timers := m.timers
	m.timers = nil
	for _, fire := range timers {
		fire()
	}
}

// leave transfers the records of a VM and shuts its process down gracefully.
func (m *model) leave(vm int) {
	n := m.nodes[vm]
	n.left = true
	records := n.table.Export()
	for _, other := range m.nodes {
		if other != n {
			m.sendTo(other, func() { other.table.Import(m.now(other), records) })
		}
	}
}
