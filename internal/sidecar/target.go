package sidecar

import (
	"sync"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/fleet"
	"heathershed/internal/vm/instance"
)

// target is the upstream beside this node. It tracks the instance that runs
// there, and applies each change to the scheduler, the fleet and the other
// nodes.
type target struct {
	n *Node

	// applyMu serializes changes together with their effects, so that the
	// effects take place in the order of the changes. It is locked before mu.
	applyMu sync.Mutex
	// taken is the instance that last began to take requests; applyMu guards it.
	taken   string
	mu      sync.Mutex
	tracker *instance.Tracker
	// sequence grows with each change that is sent to other nodes.
	sequence uint64
	// notices counts the changes of what the upstream has said of itself.
	notices uint64
	// invalidNotice is the last error of a notice that was logged.
	invalidNotice string
}

func newTarget(n *Node) *target {
	return &target{n: n, tracker: instance.NewTracker(n.cfg.Upstream, n.cfg.Service), sequence: 1}
}

// state returns the current state of the upstream.
func (t *target) state() instance.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.State()
}

// service returns the service of this VM, which its settings name.
func (t *target) service() string { return t.n.cfg.Service }

// update applies a message about the upstream to the tracker and propagates
// the change, which it returns. A message that brings nothing new is dropped; one that
// the tracker ignores is only logged. source names the kind of message in the log.
func (t *target) update(source string, apply func(*instance.Tracker) instance.Change) instance.Change {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	t.mu.Lock()
	old := t.tracker.State()
	change := apply(t.tracker)
	state := t.tracker.State()
	if changesState(change) {
		t.sequence++
	}
	if state.Notice != old.Notice {
		t.notices++
	}
	t.mu.Unlock()
	switch change {
	case instance.Same, instance.Refused:
		return change
	case instance.Disputed:
		t.n.checkDue.Send()
		return change
	}
	if old.ID != state.ID {
		t.n.blameLostRuns(old)
	}
	t.n.log.Info("upstream", "by", source, "change", change.String(), "instance", state.ID,
		"service", state.Service, "slots", state.Slots, "ready", state.Ready, "expected", state.Expected,
		"limit", limitText(state.Notice), "named_ms", age(old.LimitAt).Milliseconds(), "said_leaving", state.Notice.Leaving)
	switch {
	case change == instance.Limited:
		t.propagateLimit(old.Notice, state.Notice)
	case changesState(change):
		t.propagate(state, change)
	}
	return change
}

// changesState reports whether a change is one of the State that nodes tell each other.
func changesState(c instance.Change) bool {
	switch c {
	case instance.Started, instance.Returned, instance.Leaving, instance.Lost:
		return true
	default:
		return false
	}
}

// propagateLimit puts the limit of the upstream in force. Its begin and its end
// are announced to the other nodes; they hear of another value in replies.
func (t *target) propagateLimit(old, notice instance.Notice) {
	t.n.sched.SetLimit(time.Now(), notice.Limited, notice.Limit)
	if notice.Limited != old.Limited {
		t.n.broadcast()
	}
}

// propagate opens or closes the scheduler for the new state, updates the
// fleet, and notifies the other nodes and the task that writes the record.
func (t *target) propagate(state instance.State, change instance.Change) {
	t.n.sched.SetLimit(time.Now(), state.Notice.Limited, state.Notice.Limit)
	if state.Ready && !t.n.stopping.Load() {
		t.n.sched.Open(time.Now(), state.Slots, state.WarmUntil, change == instance.Started)
		if state.ID != t.taken {
			t.taken = state.ID
			t.n.sched.RampUp(time.Now())
		}
	} else {
		t.n.sched.Close(contract.ReasonLeaving)
	}
	if change == instance.Started {
		t.n.upstream.CloseIdle()
		t.n.losses.Reset()
	}
	t.n.putLocal()
	t.n.broadcast()
	t.n.recordChanged.Send()
}

// stop closes the scheduler for good and notifies the other nodes.
func (t *target) stop() {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	t.n.stopping.Store(true)
	t.n.sched.Close(contract.ReasonLeaving)
	t.mu.Lock()
	t.sequence++
	t.mu.Unlock()
	t.n.putLocal()
	t.n.broadcast()
}

// putLocal enters the local upstream in the fleet.
func (n *Node) putLocal() {
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
