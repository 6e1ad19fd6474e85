package load

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"heathershed/internal/platform/fake"
)

const (
	// readyTimeout bounds the wait until every node forwards calls.
	readyTimeout = 20 * time.Second
	// readyInterval is the time between two checks.
	readyInterval = 100 * time.Millisecond
	// drainTimeout bounds the wait for callers at the end.
	drainTimeout = 10 * time.Second
)

// Options configures a run.
type Options struct {
	Layout   *Layout
	Policy   string
	Duration time.Duration
	Seed     int64
	Triggers []Trigger
	// Processes are those of the nodes and the platform. It may be empty.
	Processes Processes
	// Scale multiplies all rates. 0 counts as 1.
	Scale float64
	// Direct runs without heathershed: callers and upstreams call upstreams
	// directly.
	Direct bool
	// WarmUp is how long upstreams warm up after the start.
	WarmUp time.Duration
}

// runner is one run in progress.
type runner struct {
	opts        Options
	environment *environment
	callers     *Callers
	log         *RunLog
	meter       *Meter
	probe       *Probe
	start       time.Time

	mu       sync.Mutex
	problems []string
}

// Run drives the system and returns what it measured. The nodes and the
// platform must have been started; they need not be ready yet.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if opts.Scale <= 0 {
		opts.Scale = 1
	}
	r := newRunner(opts)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	if err := r.serveUpstreams(ctx, group); err != nil {
		cancel()
		return nil, errors.CombineErrors(err, group.Wait())
	}
	var result *Result
	group.Go(func() error {
		defer cancel()
		if err := r.waitReady(ctx); err != nil {
			return err
		}
		result = r.drive(ctx)
		return nil
	})
	err := group.Wait()
	return result, err
}

func newRunner(opts Options) *runner {
	r := &runner{opts: opts, log: NewRunLog()}
	r.environment = &environment{
		layout: opts.Layout, processes: opts.Processes,
		upstreams: make(map[string]*Upstream), avoided: make(map[string]bool), direct: opts.Direct,
	}
	r.callers = &Callers{layout: opts.Layout, client: newClient(), ledger: NewLedger()}
	r.callers.targets = r.environment.targets
	r.environment.callers = r.callers
	r.probe = newProbe(opts.Layout, r.callers, opts.Direct, r.steady)
	return r
}

// serveUpstreams listens for all upstreams before the first call.
func (r *runner) serveUpstreams(ctx context.Context, group *errgroup.Group) error {
	for i, vm := range r.opts.Layout.VMs {
		l, err := net.Listen("tcp", vm.Upstream)
		if err != nil {
			return errors.Wrapf(err, "listen for the upstream of VM %s", vm.Name)
		}
		target := func(service string) string { return r.environment.nestedTarget(vm, service) }
		u := newUpstream(vm, r.opts.Layout.Profile, r.log, newClient(), target, newRand(uint64(r.opts.Seed)<<8+uint64(i)), r.opts.WarmUp)
		r.environment.upstreams[vm.Name] = u
		group.Go(func() error { return errors.Wrap(u.serve(ctx, l), vm.Name) })
	}
	return nil
}

// waitReady waits until each node gives a complete answer to the probe's call.
func (r *runner) waitReady(ctx context.Context) error {
	if r.opts.Direct {
		return nil
	}
	route, _ := r.opts.Layout.Profile.Route(r.opts.Layout.Profile.Probe)
	deadline := time.Now().Add(readyTimeout)
	for _, vm := range r.opts.Layout.VMs {
		for {
			a := r.callers.client.roundTrip(vm.Ingress, request{route: route, call: r.callers.calls.Add(1), timeout: time.Second})
			if a.complete {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("node %s at %s is not ready after %v: status %d, %s, %v",
					vm.Name, vm.Ingress, readyTimeout, a.status, a.reason, a.err)
			}
			if !sleepUntil(ctx, time.Now().Add(readyInterval)) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// drive runs the callers, the probe and the triggers for the duration of the
// run.
func (r *runner) drive(ctx context.Context) *Result {
	r.start = time.Now()
	r.meter = NewMeter(r.start)
	r.callers.meter = r.meter
	before, countsBefore := r.sampleAll(), r.counts()
	runCtx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var wg sync.WaitGroup
	seeds := newRand(uint64(r.opts.Seed))
	for _, s := range r.opts.Layout.Profile.Streams {
		s.Rate *= r.opts.Scale
		seed := seeds.Uint64()
		wg.Go(func() { r.callers.run(runCtx, s, seed) })
	}
	wg.Go(func() { r.probe.run(runCtx) })
	for _, t := range r.opts.Triggers {
		wg.Go(func() { r.runTrigger(runCtx, t) })
	}
	wg.Wait()
	after, countsAfter := r.sampleAll(), r.counts()
	r.awaitCallers()
	return r.result(before, after, countsBefore, countsAfter)
}

// runTrigger applies one trigger for its time. It reverts the trigger also if
// the run ends first.
func (r *runner) runTrigger(ctx context.Context, t Trigger) {
	if !sleepUntil(ctx, r.start.Add(t.At)) {
		return
	}
	slog.Info("trigger begins", "trigger", t.String())
	r.addProblem(r.environment.apply(t))
	sleepUntil(ctx, r.start.Add(t.At+t.For))
	r.addProblem(r.environment.revert(t))
	slog.Info("trigger ends", "trigger", t.String())
}

func (r *runner) addProblem(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, err.Error())
}

// steady reports whether no trigger is active or has ended within settleTime,
// and the run has lasted for settleTime.
func (r *runner) steady(now time.Time) bool {
	at := now.Sub(r.start)
	if at < settleTime {
		return false
	}
	for _, t := range r.opts.Triggers {
		if at >= t.At && at < t.At+t.For+settleTime {
			return false
		}
	}
	return true
}

// awaitCallers waits for callers in flight, at most drainTimeout.
func (r *runner) awaitCallers() {
	done := make(chan struct{})
	go func() {
		r.callers.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
		r.addProblem(errors.Newf("%d callers still waited %v after the end", r.callers.inFlight.Load(), drainTimeout))
	}
}

func (r *runner) sampleAll() map[string]sample {
	out := make(map[string]sample)
	for vm, pid := range r.opts.Processes {
		s, err := readSample(pid)
		if err != nil {
			continue
		}
		if target, ok := r.opts.Layout.VM(vm); ok {
			s.control = controlBytes(target)
		}
		out[vm] = s
	}
	return out
}

func (r *runner) counts() *fake.Counts {
	if r.opts.Direct {
		return nil
	}
	c, err := platformCounts(r.opts.Layout.Platform)
	if err != nil {
		r.addProblem(err)
		return nil
	}
	return &c
}
