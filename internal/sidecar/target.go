package sidecar

import (
	"sync"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/fleet"
	"heathershed/internal/vm/instance"
)

// target is the upstream beside this node: the book of its starts, and what
// follows from a change of it.
type target struct {
	n *Node

	// order makes what follows from changes happen in their order; it is taken
	// before mu.
	order sync.Mutex
	mu    sync.Mutex
	book  *instance.Tracker
	// sequence grows with each change that other nodes must hear of.
	sequence uint64
}

func newTarget(n *Node) *target {
	return &target{n: n, book: instance.NewTracker(n.cfg.Upstream), sequence: 1}
}

// state returns what is known of the upstream.
func (t *target) state() instance.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.State()
}

// service is the service that runs on this VM.
func (t *target) service() string {
	if s := t.state().Service; s != "" {
		return s
	}
	return t.n.cfg.Service
}

// change applies a message to the book and acts on what it did.
func (t *target) change(what string, apply func(*instance.Tracker) instance.Change) {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	did := apply(t.book)
	state := t.book.State()
	if did != instance.Same && did != instance.Ignored {
		t.sequence++
	}
	t.mu.Unlock()
	if did == instance.Same {
		return
	}
	t.n.log.Info("upstream", "by", what, "change", did.String(), "instance", state.ID,
		"service", state.Service, "slots", state.Slots, "ready", state.Ready)
	if did == instance.Ignored {
		return
	}
	t.act(state, did)
}

// act opens or closes the door and tells the other nodes.
func (t *target) act(state instance.State, did instance.Change) {
	if state.Ready && !t.n.stopping.Load() {
		t.n.sched.Open(time.Now(), state.Slots, state.WarmUntil, did == instance.Started)
	} else {
		t.n.sched.Close(contract.ReasonLeaving)
	}
	if did == instance.Started {
		t.n.upstream.CloseIdle()
	}
	t.n.putOwn()
	t.n.tellAll()
	t.n.announce.Send()
}

// stop closes the door for good and tells the other nodes.
func (t *target) stop() {
	t.order.Lock()
	defer t.order.Unlock()
	t.n.stopping.Store(true)
	t.n.sched.Close(contract.ReasonLeaving)
	t.mu.Lock()
	t.sequence++
	t.mu.Unlock()
	t.n.putOwn()
	t.n.tellAll()
}

// putOwn takes the own upstream into the fleet.
func (n *Node) putOwn() {
	state := n.target.state()
	n.fleet.Put(fleet.Upstream{
		VM:         n.cfg.VM,
		Service:    state.Service,
		Datacentre: n.cfg.Datacentre,
		Instance:   state.ID,
		Slots:      state.Slots,
		Ready:      state.Ready && !n.stopping.Load(),
	})
	n.fleet.SetLinked(n.cfg.VM, true)
}
