package order_test

import (
	"fmt"
	"math/rand"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
)

// fault is a rule that a run of the model leaves out on purpose.
type fault int

const (
	noFault       fault = iota
	noIntent            // editors write changes without the witnesses' note
	lateLimit           // homes run ids up to Delay+margin, not Delay-margin
	noFence             // copies of a refused order always count as later ones
	anyWitness          // a restarted witness still vouches as the earlier one
	dropNotRun          // a home forgets an order without an answer
	unseenNotRun        // who can't see the record says "not run" to every copy
	wrongClock          // witnesses don't look at their clocks
	staleDocument       // editors name the store's present version, not the one read
)

const (
	numVMs  = 4
	service = "cutdesk"
	owner   = "filao"
	kind    = "cut-order"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// world is the composed pure parts of a small fleet: homes that are senders and
// executors too, two editors, and the store's one object. What the fleet does
// is cut into steps that wait in pool, so that any of them may be late, lost,
// doubled or out of order; a late step of a process is also a paused process.
type world struct {
	fault  fault
	real   time.Time
	down   bool
	stored []([]byte) // values of the store's object, by version - 1
	nodes  [numVMs]*node
	edits  [2]editor
	orders []*orderLog
	pool   []waiting
	timers []func()
	random *rand.Rand
	probes []probe
	passed int // steps of the clock, each with new probes
	counts *counts
	wild   bool // clocks differ by more than the margin
	broken string
}

// counts show that a run of the model met what it is about.
type counts struct{ runs, changes, notRun, recorded, waiting int }

// claimed is what a node's claims on the probes depend on.
type claimed struct {
	version uint64
	limit   time.Time
	passed  int
}

// probe is an id that only one home may ever accept, whether it is sent or not.
type probe struct {
	id   contract.OrderID
	home homes.Home
}

// waiting is a step that can happen now: a message on a link, which may be lost
// or doubled, or the next step of a process.
type waiting struct {
	do            func()
	lossy, copied bool
}

type node struct {
	self  homes.Home
	skew  time.Duration
	guard *homes.Participant
	table *order.Table
	exec  *order.Executor
	last  claimed
	left  bool
}

type editor struct {
	base    *homes.Document
	version int // of the store, that base was read at
	intent  *homes.Intent
	live    map[string][]homes.Home
	step    int
}

type orderLog struct {
	id       contract.OrderID
	numbered bool
	copies   int
	barred   int // copies below this one must not run the order any more
	runs     int
}

type copyOf struct {
	*orderLog
	order.Attempt
	index int
}

func newWorld(f fault, c *counts, wild bool) *world {
	w := &world{fault: f, counts: c, wild: wild, real: epoch, random: rand.New(rand.NewSource(1))}
	for i := range w.nodes {
		w.restart(i, 1)
	}
	first, _ := homes.Editor{}.Edit(epoch, nil, w.view(7))
	w.put(0, first)
	for _, n := range w.nodes {
		w.offer(n, 1, w.stored[0])
	}
	return w
}

func (w *world) restart(vm int, incarnation uint64) {
	self := homes.Home{VM: fmt.Sprintf("vm%d", vm), Incarnation: incarnation}
	w.nodes[vm] = &node{
		self:  self,
		skew:  skewOf(vm),
		guard: homes.NewParticipant(self, service),
		table: order.NewTable(order.Config{MaxRecords: 6}),
		exec:  order.NewExecutor(order.Config{MaxRecords: 6}),
	}
}

// skewOf is how far the clock of a VM is ahead while clocks are right.
func skewOf(vm int) time.Duration {
	return homes.ClockMargin * time.Duration(vm) / (numVMs - 1)
}

func (w *world) now(n *node) time.Time { return w.real.Add(n.skew) }
func (w *world) alive(n *node) bool    { return w.nodeOf(n.self.VM) == n }

// later is a message on a link.
func (w *world) later(step func()) { w.pool = append(w.pool, waiting{step, true, true}) }

// once is a message whose sender would tell a second copy from the first.
func (w *world) once(step func()) { w.pool = append(w.pool, waiting{step, true, false}) }

// to is a message to one process, lost where that process is gone.
func (w *world) to(n *node, step func()) {
	w.at(n, step)
	w.pool[len(w.pool)-1].lossy = true
	w.pool[len(w.pool)-1].copied = true
}

// at is the next step of one process, perhaps after a pause.
func (w *world) at(n *node, step func()) {
	w.pool = append(w.pool, waiting{do: func() {
		if w.alive(n) {
			step()
		}
	}})
}

func (w *world) nodeOf(vm string) *node {
	for _, n := range w.nodes {
		if n.self.VM == vm {
			return n
		}
	}
	return nil
}

func (w *world) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// view is what an editor believes to live: any subset, right or wrong.
func (w *world) view(mask int) map[string][]homes.Home {
	var members []homes.Home
	for i, n := range w.nodes {
		if mask>>i&1 == 1 {
			members = append(members, n.self)
		}
	}
	return map[string][]homes.Home{service: members}
}

// settle delivers everything and fires the timeouts: then no live home may
// still hold an order without an end.
func (w *world) settle() {
	for range 8 {
		w.flush(0)
		w.timeouts()
	}
	for _, n := range w.nodes {
		if n.table.Running() != 0 {
			w.breaks("order lost silently at %s", n.self.VM)
		}
	}
}

// heal ends all faults: then the fleet must take orders again, at every node.
func (w *world) heal() {
	w.settle()
	w.down = false
	w.pass(order.DefaultHorizon)
	for i, n := range w.nodes {
		if n.skew = skewOf(i); n.left {
			w.restart(i, n.self.Incarnation+1)
		}
	}
	e := &editor{}
	for range 3 {
		w.edit(e, w.nodes[0], 15<<3)
		w.flush(0)
	}
	version, value := w.read(0)
	for _, n := range w.nodes {
		w.offer(n, version, value)
	}
	w.pass(homes.ActivationDelay + 3*homes.ClockMargin)
	for _, n := range w.nodes {
		n.table.Expire(w.now(n))
		w.heartbeat(n)
	}
	w.flush(0)
	for _, n := range w.nodes {
		w.call(n, 0, 0)
		w.flush(0)
		if w.orders[len(w.orders)-1].runs != 1 {
			w.breaks("order not run by a healed fleet")
		}
	}
}

// flush delivers everything but the steps of the mask that wait now, which stay.
func (w *world) flush(mask int) {
	steps := w.pool
	w.pool = nil
	var held []waiting
	for i, step := range steps {
		if mask>>(i%8)&1 == 1 {
			held = append(held, step)
		} else {
			w.pool = append(w.pool, step)
		}
	}
	for turn := 0; turn < 10 && len(w.pool) > 0; turn++ {
		w.deliver(0, false)
	}
	w.pool = append(w.pool, held...)
}

// deliver does the steps that wait, but those of the mask stay or are lost.
func (w *world) deliver(mask int, lose bool) {
	steps := w.pool
	w.pool = nil
	for i, step := range steps {
		switch {
		case mask>>(i%8)&1 == 0:
			step.do()
		case !lose || !step.lossy:
			w.pool = append(w.pool, step)
		}
	}
}

// timeouts ends the waits for executors.
func (w *world) timeouts() {
	timers := w.timers
	w.timers = nil
	for _, fire := range timers {
		fire()
	}
}

// leave hands the records over and ends the process in an orderly way.
func (w *world) leave(vm int) {
	n := w.nodes[vm]
	n.left = true
	records := n.table.Export()
	for _, other := range w.nodes {
		if other != n {
			w.to(other, func() { other.table.Import(w.now(other), records) })
		}
	}
}
