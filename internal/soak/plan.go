package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/internal/wait"
)

const (
	// meanGap is the mean time between the beginnings of two faults; they come
	// at random, so that some overlap and some come in series.
	meanGap = 350 * time.Millisecond
	// minFor and spreadFor are how long a fault lasts.
	minFor    = 300 * time.Millisecond
	spreadFor = 2 * time.Second
	// leaveTime is how long an upstream goes on after it said that it leaves.
	leaveTime = 4 * time.Second
	// foundBound is how long nodes have to replace a link gone silent.
	foundBound = 4 * time.Second
	// longPause is the shortest pause that can't be told from an end, and
	// resumeTime how long others may act on it after it has ended.
	longPause  = time.Second
	resumeTime = 500 * time.Millisecond
	// starveStop and starveRun are the turns of a process short of processor
	// time, and starveMore and slowMore how much longer than others these faults
	// last.
	starveStop = 80 * time.Millisecond
	starveRun  = 20 * time.Millisecond
	starveMore = 2 * time.Second
	slowMore   = 2 * time.Second
)

// Event is one fault of a plan.
type Event struct {
	// At and For are since the start of the run and since At.
	At, For time.Duration
	Kind    string
	// VM is the index of the machine that it happens to.
	VM int
	// Draw chooses one of several connections.
	Draw uint64
}

func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %s on %d for %v", e.At.Seconds(), e.Kind, e.VM, e.For.Round(time.Millisecond))
}

// fault causes one kind of fault for a time.
type fault func(r *run, m *machine, e Event)

// faults are the kinds that a plan draws from.
var faults = []struct {
	kind  string
	cause fault
}{
	{"kill", killNode},
	{"stop", stopNode},
	{"pause", pauseNode},
	{"reload", reloadNode},
	{"starve", starveNode},
	{"crash", crashUpstream},
	{"leave", leaveUpstream},
	{"fail", health(Failing)},
	{"cut answers", health(Truncating)},
	{"slow", slowUpstream},
	{"delay", upstreamWay(ModeDelay)},
	{"reset", cutUpstreamWay(ModeReset)},
	{"silent in", cutUpstreamWay(ModeBlackholeIn)},
	{"silent out", cutUpstreamWay(ModeBlackholeOut)},
	{"link delay", delayLinks},
	{"link reset", cutLinks(ModeReset)},
	{"link silent in", cutLinks(ModeBlackholeIn)},
	{"link silent out", cutLinks(ModeBlackholeOut)},
	{"links silent for good", silenceLinks},
	{"one link silent for good", silenceLink},
	{"store reset", storeWay(ModeReset)},
	{"store silent", storeWay(ModeBlackholeOut)},
	{"store down", storeFaults(fake.Faults{Down: true})},
	{"store slow", storeFaults(fake.Faults{Latency: 300 * time.Millisecond})},
	{"store lossy", storeFaults(fake.Faults{LostAnswer: 0.5, DroppedWrite: 0.2})},
	{"store stale", storeFaults(fake.Faults{StaleRead: 0.5, StaleBy: time.Second, RepeatEvent: 0.5})},
}

// NewPlan draws the faults of a run.
func NewPlan(seed uint64, machines int, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	var plan []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at > length {
			return plan
		}
		plan = append(plan, Event{
			At:   at,
			For:  minFor + time.Duration(random.Int64N(int64(spreadFor))),
			Kind: faults[random.IntN(len(faults))].kind,
			VM:   random.IntN(machines),
			Draw: random.Uint64(),
		})
	}
}

func causeOf(kind string) fault {
	for _, f := range faults {
		if f.kind == kind {
			return f.cause
		}
	}
	return nil
}

// last waits for the length of the fault.
func (r *run) last(d time.Duration) { _ = wait.For(r.ctx, d) }

// restart runs end, starts the node again after the fault's time and waits until
// it is ready. It does nothing where the machine is being changed already.
func (r *run) restart(m *machine, e Event, end func()) {
	if !m.changing.TryLock() {
		return
	}
	defer m.changing.Unlock()
	defer r.ledger.BeginFault(faultNode)()
	defer r.ledger.BeginFault(m.ownFault())()
	end()
	r.last(e.For)
	if err := m.start(); err != nil {
		r.fail(err)
		return
	}
	if !m.awaitReady() && r.ctx.Err() == nil {
		r.ledger.AddViolation(Lost, "", fmt.Sprintf("%s is not ready %v after its start", m.name, readyBound))
	}
}

func killNode(r *run, m *machine, e Event) {
	r.restart(m, e, func() {
		defer r.ledger.BeginFault(downFault(m.name))()
		m.kill()
	})
}

func stopNode(r *run, m *machine, e Event) { r.restart(m, e, m.stop) }

func pauseNode(r *run, m *machine, e Event) {
	if !m.changing.TryLock() {
		return
	}
	defer m.changing.Unlock()
	defer r.ledger.BeginFault(faultPause)()
	defer r.ledger.BeginFault(m.ownFault())()
	if e.For > longPause {
		defer time.AfterFunc(resumeTime, r.ledger.BeginFault(pausedFault(m.name)))
	}
	m.process.Signal(syscall.SIGSTOP)
	r.last(e.For)
	m.process.Signal(syscall.SIGCONT)
}

// starveNode leaves the process a part of the processor's time. No check excuses
// anything by it.
func starveNode(r *run, m *machine, e Event) {
	if !m.changing.TryLock() {
		return
	}
	defer m.changing.Unlock()
	for until := time.Now().Add(e.For + starveMore); r.ctx.Err() == nil && time.Now().Before(until); {
		m.process.Signal(syscall.SIGSTOP)
		r.last(starveStop)
		m.process.Signal(syscall.SIGCONT)
		r.last(starveRun)
	}
}

func reloadNode(_ *run, m *machine, _ Event) { m.process.Signal(syscall.SIGHUP) }

func crashUpstream(r *run, m *machine, e Event) { r.renew(m, e, func() {}) }

func leaveUpstream(r *run, m *machine, e Event) {
	r.renew(m, e, func() {
		m.upstream.Drain()
		r.last(leaveTime)
	})
}

// renew runs before, crashes the upstream and starts it again after the fault's
// time. It does nothing where the upstream is being changed already.
func (r *run) renew(m *machine, e Event, before func()) {
	if !m.upstreamChanging.TryLock() {
		return
	}
	defer m.upstreamChanging.Unlock()
	before()
	defer r.ledger.BeginFault(upstreamFault(m.name))()
	m.upstream.Crash()
	r.last(e.For)
	if err := m.upstream.Start(); err != nil {
		r.fail(err)
	}
}

func health(h Health) fault {
	return func(r *run, m *machine, e Event) {
		m.upstream.SetHealth(h)
		r.last(e.For)
		m.upstream.SetHealth(Healthy)
	}
}

func slowUpstream(r *run, m *machine, e Event) {
	e.For += slowMore
	health(Slow)(r, m, e)
}

func upstreamWay(mode Mode) fault {
	return func(r *run, m *machine, e Event) {
		defer r.ledger.BeginFault(faultUpstreamWay)()
		m.upstreamWay.SetMode(mode)
		r.last(e.For)
		m.upstreamWay.SetMode(ModePass)
	}
}

func cutUpstreamWay(mode Mode) fault {
	return func(r *run, m *machine, e Event) {
		defer r.ledger.BeginFault(upstreamFault(m.name))()
		upstreamWay(mode)(r, m, e)
	}
}

// delayLinks ends nothing, so no check excuses anything by it.
func delayLinks(r *run, m *machine, e Event) {
	m.linkWay.SetMode(ModeDelay)
	r.last(e.For)
	m.linkWay.SetMode(ModePass)
}

func cutLinks(mode Mode) fault {
	return func(r *run, m *machine, e Event) {
		r.breakLinks(m, func() {
			m.linkWay.SetMode(mode)
			r.last(e.For)
			m.linkWay.SetMode(ModePass)
		})
	}
}

func silenceLinks(r *run, m *machine, _ Event) { r.breakLinks(m, m.linkWay.BlackholeAll) }

func silenceLink(r *run, m *machine, e Event) {
	r.breakLinks(m, func() { m.linkWay.BlackholeOne(e.Draw) })
}

// breakLinks runs cut, and counts the links of other nodes to the machine as
// broken until those that are silent must have been replaced.
func (r *run) breakLinks(m *machine, cut func()) {
	defer r.ledger.BeginFault(faultLinkWay)()
	defer r.ledger.BeginFault(linkFault(m.name))()
	cut()
	r.last(foundBound)
}

func storeWay(mode Mode) fault {
	return func(r *run, m *machine, e Event) {
		defer r.ledger.BeginFault(faultStoreWay)()
		defer r.ledger.BeginFault(m.ownFault())()
		m.storeWay.SetMode(mode)
		r.last(e.For)
		m.storeWay.SetMode(ModePass)
	}
}

func storeFaults(f fake.Faults) fault {
	return func(r *run, _ *machine, e Event) {
		defer r.ledger.BeginFault(faultStore)()
		r.setStore(f)
		r.last(e.For)
		r.setStore(fake.Faults{})
	}
}
