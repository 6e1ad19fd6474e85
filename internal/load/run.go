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
	// readyTimeout bounds the wait until every node passes calls on.
	readyTimeout = 20 * time.Second
	// readyEvery is the time between two tries.
	readyEvery = 100 * time.Millisecond
	// drainTimeout bounds the wait for callers at the end.
	drainTimeout = 10 * time.Second
)

// Options of a run.
type Options struct {
	Layout   *Layout
	Policy   string
	Duration time.Duration
	Seed     int64
	Triggers []Trigger
	// Processes are the nodes' and the platform's; may be empty.
	Processes Processes
	// Scale multiplies all rates; 0 counts as 1.
	Scale float64
	// Direct leaves heathershed out: callers and upstreams call upstreams.
	Direct bool
	// WarmUp is how long upstreams are cold after the start.
	WarmUp time.Duration
}

// runner is one run in progress.
type runner struct {
	opts    Options
	world   *world
	callers *Callers
	log     *RunLog
	meter   *Meter
	probe   *Probe
	start   time.Time

	mu       sync.Mutex
	problems []string
}

// Run drives the system and returns what was measured. The nodes and the
// platform must be running; they may still be starting.
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
	r.world = &world{
		layout: opts.Layout, processes: opts.Processes,
		upstreams: make(map[string]*Upstream), gone: make(map[string]bool), direct: opts.Direct,
	}
	r.callers = &Callers{layout: opts.Layout, client: newClient(), ledger: NewLedger()}
	r.callers.targets = r.world.targets
	r.world.callers = r.callers
	r.probe = newProbe(opts.Layout, r.callers, opts.Direct, r.quiet)
	return r
}

// serveUpstreams listens for all upstreams before the first call.
func (r *runner) serveUpstreams(ctx context.Context, group *errgroup.Group) error {
	for i, vm := range r.opts.Layout.VMs {
		l, err := net.Listen("tcp", vm.Upstream)
		if err != nil {
			return errors.Wrapf(err, "upstream of %s", vm.Name)
		}
		target := func(service string) string { return r.world.subTarget(vm, service) }
		u := newUpstream(vm, r.opts.Layout.Profile, r.log, newClient(), target, newRand(uint64(r.opts.Seed)<<8+uint64(i)), r.opts.WarmUp)
		r.world.upstreams[vm.Name] = u
		group.Go(func() error { return errors.Wrap(u.serve(ctx, l), vm.Name) })
	}
	return nil
}

// waitReady waits until each node answers the probe's call whole.
func (r *runner) waitReady(ctx context.Context) error {
	if r.opts.Direct {
		return nil
	}
	route, _ := r.opts.Layout.Profile.Route(r.opts.Layout.Profile.Probe)
	deadline := time.Now().Add(readyTimeout)
	for _, vm := range r.opts.Layout.VMs {
		for {
			a := r.callers.client.do(vm.Ingress, request{route: route, call: r.callers.calls.Add(1), timeout: time.Second})
			if a.whole {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("node %s at %s is not ready after %v: status %d, %s, %v",
					vm.Name, vm.Ingress, readyTimeout, a.status, a.reason, a.err)
			}
			if !sleepUntil(ctx, time.Now().Add(readyEvery)) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// drive runs callers, probe and triggers for the whole time.
func (r *runner) drive(ctx context.Context) *Result {
	r.start = time.Now()
	r.meter = NewMeter(r.start)
	r.callers.meter = r.meter
	before, countsBefore := r.lookAll(), r.counts()
	runCtx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var wait sync.WaitGroup
	seeds := newRand(uint64(r.opts.Seed))
	for _, s := range r.opts.Layout.Profile.Streams {
		s.Rate *= r.opts.Scale
		seed := seeds.Uint64()
		wait.Go(func() { r.callers.run(runCtx, s, seed) })
	}
	wait.Go(func() { r.probe.run(runCtx) })
	for _, t := range r.opts.Triggers {
		wait.Go(func() { r.trigger(runCtx, t) })
	}
	wait.Wait()
	after, countsAfter := r.lookAll(), r.counts()
	r.drain()
	return r.result(before, after, countsBefore, countsAfter)
}

// trigger puts one trigger in force for its time. Its end is not left out when
// the run ends first.
func (r *runner) trigger(ctx context.Context, t Trigger) {
	if !sleepUntil(ctx, r.start.Add(t.At)) {
		return
	}
	slog.Info("trigger begins", "trigger", t.String())
	r.problem(r.world.begin(t))
	sleepUntil(ctx, r.start.Add(t.At+t.For))
	r.problem(r.world.end(t))
	slog.Info("trigger ends", "trigger", t.String())
}

func (r *runner) problem(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, err.Error())
}

// quiet reports whether no trigger is in force or just over.
func (r *runner) quiet(now time.Time) bool {
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

// drain waits for callers in flight, for a bounded time.
func (r *runner) drain() {
	done := make(chan struct{})
	go func() {
		r.callers.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
		r.problem(errors.Newf("%d callers still waited %v after the end", r.callers.inFlight.Load(), drainTimeout))
	}
}

func (r *runner) lookAll() map[string]sample {
	out := make(map[string]sample)
	for vm, pid := range r.opts.Processes {
		s, err := look(pid)
		if err != nil {
			continue
		}
		if place, ok := r.opts.Layout.VM(vm); ok {
			s.control = controlBytes(place)
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
		r.problem(err)
		return nil
	}
	return &c
}
