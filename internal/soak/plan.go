package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/internal/wait"
)

const (
	// meanInterval is the mean time between the starts of two faults. The
	// intervals are random, so that some faults overlap and some occur in
	// series.
	meanInterval = 350 * time.Millisecond
	// meanNoticeInterval is the same for what upstreams say in their answers.
	meanNoticeInterval = 2 * time.Second
	// meanStoreInterval is the same for storeKinds.
	meanStoreInterval = 4 * time.Second
	// A fault lasts for minDuration plus a random part of up to durationSpread.
	minDuration    = 300 * time.Millisecond
	durationSpread = 2 * time.Second
	// drainTime is how long an upstream continues to serve after it has
	// announced that it drains.
	drainTime = 4 * time.Second
	// linkReplaceBound is the time that nodes have to replace a blackholed
	// link.
	linkReplaceBound = 4 * time.Second
	// Peers of a process that is paused for longer than crashLikePause may
	// suspect that it has crashed. They may act on the suspicion for up to
	// resumeSettle after the pause has ended.
	crashLikePause = time.Second
	resumeSettle   = 500 * time.Millisecond
	// A throttled process is paused for throttleStop and then runs for
	// throttleRun, in turns. Throttling lasts longer than other faults by
	// throttleExtra, a slow upstream by slowExtra.
	throttleStop  = 80 * time.Millisecond
	throttleRun   = 20 * time.Millisecond
	throttleExtra = 2 * time.Second
	slowExtra     = 2 * time.Second
)

// Event is one fault of a plan.
type Event struct {
	// At is the start of the fault, counted from when the run begins to inject
	// faults. For is the length of the fault.
	At, For time.Duration
	Kind    string
	// VM is the index of the VM that the fault applies to.
	VM int
	// Draw selects one of several connections.
	Draw uint64
}

func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %s on %d for %v", e.At.Seconds(), e.Kind, e.VM, e.For.Round(time.Millisecond))
}

// faultFunc injects one kind of fault for the time of the event.
type faultFunc func(r *run, v *vm, e Event)

// faultKind is one kind of fault. Its name is printed.
type faultKind struct {
	kind   string
	inject faultFunc
}

// faultKinds are the kinds that a plan draws from. A change of their order
// changes the plans of all seeds.
var faultKinds = []faultKind{
	{"kill", killNode},
	{"stop", stopNode},
	{"pause", pauseNode},
	{"reload", reloadNode},
	{"starve", throttleNode},
	{"crash", crashUpstream},
	{"leave", drainUpstream},
	{"fail", upstreamHealth(Failing)},
	{"cut answers", upstreamHealth(Truncating)},
	{"slow", slowUpstream},
	{"delay", upstreamProxy(ModeDelay)},
	{"reset", cutUpstreamProxy(ModeReset)},
	{"silent in", cutUpstreamProxy(ModeBlackholeIn)},
	{"silent out", cutUpstreamProxy(ModeBlackholeOut)},
	{"link delay", delayLinks},
	{"link reset", cutLinks(ModeReset)},
	{"link silent in", cutLinks(ModeBlackholeIn)},
	{"link silent out", cutLinks(ModeBlackholeOut)},
	{"links silent for good", blackholeLinks},
	{"one link silent for good", blackholeLink},
	{"store reset", storeProxy(ModeReset)},
	{"store silent", storeProxy(ModeBlackholeOut)},
	{"store down", storeFaults(fake.Faults{Down: true})},
	{"store slow", storeFaults(fake.Faults{Latency: 300 * time.Millisecond})},
	{"store lossy", storeFaults(fake.Faults{LostAnswer: 0.5, DroppedWrite: 0.2})},
	{"store stale", storeFaults(fake.Faults{StaleRead: 0.5, StaleBy: time.Second, RepeatEvent: 0.5})},
}

// noticeKinds are the kinds of what upstreams say in their answers. They are
// drawn apart from the others, so that the plans of earlier seeds keep theirs.
var noticeKinds = []faultKind{
	{"limit", limitUpstream},
	{"leave in answers", leaveInAnswers},
}

// storeKinds are drawn apart for the same reason.
var storeKinds = []faultKind{
	{"connections to the store silent for good", blackholeStore},
	{"store rejects", storeFaults(fake.Faults{Rejected: 0.9})},
}

// NewPlan draws the faults of a run of the given length. The same arguments
// give the same plan.
func NewPlan(seed uint64, vms int, length time.Duration) []Event {
	plan := draw(rand.New(rand.NewPCG(seed, 1)), vms, length, meanInterval, faultKinds)
	plan = append(plan, draw(rand.New(rand.NewPCG(seed, 4)), vms, length, meanNoticeInterval, noticeKinds)...)
	plan = append(plan, draw(rand.New(rand.NewPCG(seed, 5)), vms, length, meanStoreInterval, storeKinds)...)
	plan = append(plan, draw(rand.New(rand.NewPCG(seed, 6)), vms, length, meanWriterInterval, writerKinds)...)
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// draw draws faults of some kinds, with a mean interval between their starts.
func draw(rng *rand.Rand, vms int, length, interval time.Duration, kinds []faultKind) []Event {
	var plan []Event
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(interval))
		if at > length {
			return plan
		}
		plan = append(plan, Event{
			At:   at,
			For:  minDuration + time.Duration(rng.Int64N(int64(durationSpread))),
			Kind: kinds[rng.IntN(len(kinds))].kind,
			VM:   rng.IntN(vms),
			Draw: rng.Uint64(),
		})
	}
}

func injectorOf(kind string) faultFunc {
	for _, f := range slices.Concat(faultKinds, noticeKinds, storeKinds, writerKinds) {
		if f.kind == kind {
			return f.inject
		}
	}
	return nil
}

// sleep waits for d or until the run's context ends.
func (r *run) sleep(d time.Duration) { _ = wait.For(r.ctx, d) }

// restart calls stop, starts the node again after the time of the fault, and
// waits until it is ready. It does nothing where another fault is stopping,
// pausing or throttling the node.
func (r *run) restart(v *vm, e Event, stop func()) {
	if !v.processMu.TryLock() {
		return
	}
	defer v.processMu.Unlock()
	defer r.ledger.BeginFault(faultNode)()
	defer r.ledger.BeginFault(nodeFault(v.name))()
	defer r.ledger.BeginFault(v.localFault())()
	stop()
	r.sleep(e.For)
	if err := v.start(); err != nil {
		r.fail(err)
		return
	}
	if !v.awaitReady() && r.ctx.Err() == nil {
		r.ledger.AddViolation(Lost, "", fmt.Sprintf("%s is not ready %v after its start", v.name, readyTimeout))
	}
}

func killNode(r *run, v *vm, e Event) {
	r.restart(v, e, func() {
		defer r.ledger.BeginFault(downFault(v.name))()
		v.kill()
	})
}

func stopNode(r *run, v *vm, e Event) { r.restart(v, e, v.shutdown) }

func pauseNode(r *run, v *vm, e Event) {
	if !v.processMu.TryLock() {
		return
	}
	defer v.processMu.Unlock()
	defer r.ledger.BeginFault(faultPause)()
	defer r.ledger.BeginFault(nodeFault(v.name))()
	defer r.ledger.BeginFault(v.localFault())()
	if e.For > crashLikePause {
		defer time.AfterFunc(resumeSettle, r.ledger.BeginFault(pausedFault(v.name)))
	}
	v.process.Signal(syscall.SIGSTOP)
	r.sleep(e.For)
	v.process.Signal(syscall.SIGCONT)
}

// throttleNode gives the process only a fraction of the processor's time. No
// check excuses a failure that this causes.
func throttleNode(r *run, v *vm, e Event) {
	if !v.processMu.TryLock() {
		return
	}
	defer v.processMu.Unlock()
	for deadline := time.Now().Add(e.For + throttleExtra); r.ctx.Err() == nil && time.Now().Before(deadline); {
		v.process.Signal(syscall.SIGSTOP)
		r.sleep(throttleStop)
		v.process.Signal(syscall.SIGCONT)
		r.sleep(throttleRun)
	}
}

func reloadNode(_ *run, v *vm, _ Event) { v.process.Signal(syscall.SIGHUP) }

func crashUpstream(r *run, v *vm, e Event) { r.restartUpstream(v, e, func() {}) }

func drainUpstream(r *run, v *vm, e Event) {
	r.restartUpstream(v, e, func() {
		v.upstream.Drain()
		r.sleep(drainTime)
	})
}

// restartUpstream calls before, crashes the upstream and starts it again after
// the time of the fault. It does nothing where another fault is draining or
// restarting the upstream.
func (r *run) restartUpstream(v *vm, e Event, before func()) {
	if !v.upstreamMu.TryLock() {
		return
	}
	defer v.upstreamMu.Unlock()
	before()
	defer r.ledger.BeginFault(upstreamFault(v.name))()
	v.upstream.Crash()
	r.sleep(e.For)
	if err := v.upstream.Start(); err != nil {
		r.fail(err)
	}
}

func upstreamHealth(h Health) faultFunc {
	return func(r *run, v *vm, e Event) {
		v.upstream.SetHealth(h)
		r.sleep(e.For)
		v.upstream.SetHealth(Healthy)
	}
}

func slowUpstream(r *run, v *vm, e Event) {
	e.For += slowExtra
	upstreamHealth(Slow)(r, v, e)
}

func upstreamProxy(mode Mode) faultFunc {
	return func(r *run, v *vm, e Event) {
		defer r.ledger.BeginFault(faultUpstreamPath)()
		v.upstreamProxy.SetMode(mode)
		r.sleep(e.For)
		v.upstreamProxy.SetMode(ModePass)
	}
}

func cutUpstreamProxy(mode Mode) faultFunc {
	return func(r *run, v *vm, e Event) {
		defer r.ledger.BeginFault(upstreamFault(v.name))()
		upstreamProxy(mode)(r, v, e)
	}
}

// delayLinks breaks no connection, so no check excuses a failure that it
// causes.
func delayLinks(r *run, v *vm, e Event) {
	v.linkProxy.SetMode(ModeDelay)
	r.sleep(e.For)
	v.linkProxy.SetMode(ModePass)
}

func cutLinks(mode Mode) faultFunc {
	return func(r *run, v *vm, e Event) {
		r.breakLinks(v, func() {
			v.linkProxy.SetMode(mode)
			r.sleep(e.For)
			v.linkProxy.SetMode(ModePass)
		})
	}
}

func blackholeLinks(r *run, v *vm, _ Event) { r.breakLinks(v, v.linkProxy.BlackholeAll) }

func blackholeLink(r *run, v *vm, e Event) {
	r.breakLinks(v, func() { v.linkProxy.BlackholeOne(e.Draw) })
}

// breakLinks calls cut and records the links from other nodes to the VM as
// broken until linkReplaceBound after cut has returned. By then, blackholed
// links must have been replaced.
func (r *run) breakLinks(v *vm, cut func()) {
	defer r.ledger.BeginFault(faultLinkPath)()
	defer r.ledger.BeginFault(linkFault(v.name))()
	cut()
	r.sleep(linkReplaceBound)
}

func storeProxy(mode Mode) faultFunc {
	return func(r *run, v *vm, e Event) {
		defer r.ledger.BeginFault(faultStorePath)()
		defer r.ledger.BeginFault(v.localFault())()
		v.storeProxy.SetMode(mode)
		r.sleep(e.For)
		v.storeProxy.SetMode(ModePass)
	}
}

// blackholeStore blackholes the open connections of all nodes to the object API.
// New ones work.
func blackholeStore(r *run, _ *vm, _ Event) {
	defer r.ledger.BeginFault(faultStorePath)()
	for _, v := range r.vms {
		v.storeProxy.BlackholeAll()
	}
}

func storeFaults(f fake.Faults) faultFunc {
	return func(r *run, _ *vm, e Event) {
		defer r.ledger.BeginFault(faultStore)()
		r.setStore(f)
		r.sleep(e.For)
		r.setStore(fake.Faults{})
	}
}
