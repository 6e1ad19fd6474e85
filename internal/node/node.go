// Package node runs heathershed as one process beside an upstream: the ingress
// for callers, admission for the local upstream, and the egress for the calls
// that this upstream makes to other services.
//
// Each task is a goroutine under one errgroup: ingress, link server, one per
// link, control, first read of the store, member lease, store watch, homes
// editor, admission tick, health check and operators' endpoint. They exchange
// events through bounded rings. The first task to fail stops the process, and
// Run returns its error.
package node

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	linkpb "heathershed/api/link"
	"heathershed/internal/catalogue"
	"heathershed/internal/contract/retry"
	"heathershed/internal/datacentre/routing"
	"heathershed/internal/endpoint"
	"heathershed/internal/ingress"
	"heathershed/internal/link"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
	"heathershed/internal/platform"
	"heathershed/internal/platform/objectstore"
	"heathershed/internal/platform/resolve"
	"heathershed/internal/settings"
	"heathershed/internal/timeline"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/admission"
	"heathershed/internal/vm/pressure"
	"heathershed/internal/vm/quota"
	"heathershed/internal/wait"
)

// retryRatio and retryBurst limit the retries of this node in addition to the
// retry budget of each call tree: one retry for ten successes in the long run,
// and up to retryBurst in a row.
const (
	retryRatio = 0.1
	retryBurst = 20
)

// answerMemoryDivisor gives the part of the memory that the bodies of answers may
// hold together while they are read. Each of them is copied a few times before it
// is delivered.
const answerMemoryDivisor = 16

// Node is one process beside an upstream. Its methods are safe for concurrent
// use.
type Node struct {
	cfg         *settings.Settings
	log         *slog.Logger
	incarnation uint64
	started     time.Time

	catalogue *catalogue.Holder
	router    *routing.Router
	gate      *admission.Gate
	quota     *quota.Quota
	pressure  *pressure.Table
	policy    retry.Policy
	ratio     *retry.Ratio
	upstream  *upstream.Client
	parents   *parents
	homes     *homes.Participant
	orders    *order.SyncTable
	executor  *order.SyncExecutor
	events    *timeline.Recorder
	metrics   *metrics

	tracked *trackedStore
	store   *resolve.Store
	ingress *ingress.Server
	server  *link.Server
	links   *link.Set
	traffic link.Traffic
	dial    link.Dialer
	demand  *demand
	control *control

	// announce is sent when the local member record must be written to the
	// store.
	announce wait.Signal
	// state is the phase of the process, see phase.
	state atomic.Int32
	// draining is set while the local upstream reports that it is draining.
	draining atomic.Bool
	// inFlight counts the calls that this node is handling.
	inFlight atomic.Int64
	// stopRequested is closed when a graceful shutdown is requested.
	stopRequested chan struct{}
	stopOnce      atomic.Bool
	// aborted is cancelled by Abort and, in a graceful shutdown, once the node
	// is idle or the grace period is over. This ends every call in flight.
	aborted context.Context
	abort   context.CancelFunc
	// cancel stops every task.
	cancel atomic.Pointer[context.CancelFunc]
	// leftAt is when a graceful shutdown began, in Unix nanoseconds.
	leftAt atomic.Int64
}

// phase is the life cycle phase of the process.
type phase = int32

const (
	// phaseStarting: no catalogue is active yet.
	phaseStarting phase = iota
	// phaseServing: calls are accepted.
	phaseServing
	// phaseLeaving: a graceful shutdown; calls are served, but other nodes send
	// no new ones.
	phaseLeaving
	// phaseSuperseded: a newer process has this VM's name.
	phaseSuperseded
)

// New returns a node with checked settings. It opens nothing; Run does.
func New(cfg *settings.Settings, log *slog.Logger) (*Node, error) {
	inner, err := objectstore.New(cfg.Platform)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		cfg:           cfg,
		log:           log,
		incarnation:   uint64(now.UnixMicro()),
		started:       now,
		catalogue:     catalogue.NewHolder(),
		router:        routing.New(routing.DefaultConfig(cfg.VM, cfg.Datacentre, cfg.Region)),
		quota:         quota.New(time.Now),
		pressure:      pressure.New(),
		ratio:         retry.NewRatio(retryRatio, retryBurst),
		upstream:      upstream.New(cfg.Upstream, cfg.Connections, max(cfg.MemoryLimit/answerMemoryDivisor, link.MaxMessage)),
		parents:       newParents(),
		events:        timeline.NewRecorder(cfg.VM, cfg.TimelineEvents, time.Now),
		metrics:       newMetrics(),
		dial:          endpoint.Dial,
		tracked:       &trackedStore{inner: inner},
		announce:      wait.NewSignal(),
		demand:        newDemand(),
		stopRequested: make(chan struct{}),
	}
	if cfg.Retries == "per-hop" {
		n.policy = retry.PerHop(baselineRetries)
	}
	n.gate = admission.NewGate(admission.NewController(admissionConfig(cfg, now), now), time.Now)
	n.aborted, n.abort = context.WithCancel(context.Background())
	n.store = newStore(n.tracked, cfg.VM, now)
	n.homes = homes.NewParticipant(n.self(), cfg.Service)
	n.orders = order.NewSyncTable(order.Config{})
	n.executor = order.NewSyncExecutor(order.Config{})
	n.control = newControl(n)
	n.ingress = ingress.New(n.serveCaller)
	n.server = link.NewServer(n, &n.traffic)
	return n, nil
}

// baselineRetries is the number of retries per hop in the baseline policy
// "per-hop".
const baselineRetries = 3

func admissionConfig(cfg *settings.Settings, now time.Time) admission.Config {
	c := admission.DefaultConfig(cfg.Slots)
	c.Seed = uint64(seedOf(cfg.VM, now))
	switch cfg.Admission {
	case "none":
		c.Policy = admission.PolicyNone
	case "coin":
		c.Policy = admission.PolicyFixedCoin
	}
	return c
}

func newStore(inner platform.Store, vm string, now time.Time) *resolve.Store {
	return resolve.New(inner, resolve.Options{Seed: seedOf(vm, now)})
}

// Run opens the listeners and runs every task until ctx ends, an operator
// requests a drain or a task fails. It returns nil after a graceful shutdown
// and otherwise the error of the first task that failed.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.cancel.Store(&cancel)
	group, running := errgroup.WithContext(stop)
	n.links = link.NewSet(running, group, n, &n.traffic, n.dial)
	n.record(timeline.Event{Kind: timeline.KindStart})
	n.startTasks(running, group, listeners)
	group.Go(func() error {
		<-running.Done()
		n.closeServers()
		return nil
	})
	group.Go(func() error {
		defer cancel()
		return n.awaitStop(ctx, running)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Abort ends a graceful shutdown immediately, or begins one without a grace
// period. Callers whose requests are in flight are answered that these may have
// run.
func (n *Node) Abort() {
	n.requestStop()
	n.abort()
}

// untilAbort returns a context that is also cancelled when aborted is.
func (n *Node) untilAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.aborted, cancel)
	return ctx, func() { stop(); cancel() }
}

// halt stops every task immediately, as a failure does. Tests use it to
// simulate crashes.
func (n *Node) halt() {
	if cancel := n.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// closeServers closes the servers immediately, for an end without a graceful
// shutdown.
func (n *Node) closeServers() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.ingress.Shutdown(ended)
	n.server.Shutdown(ended)
}

type listeners struct{ ingress, link, admin net.Listener }

func (n *Node) listen() (l listeners, err error) {
	err = endpoint.Listen(
		endpoint.Binding{Name: "front", Address: n.cfg.Front, Listener: &l.ingress},
		endpoint.Binding{Name: "link", Address: n.cfg.Link, Listener: &l.link},
		endpoint.Binding{Name: "admin", Address: n.cfg.Admin, Listener: &l.admin},
	)
	return l, err
}

func (n *Node) startTasks(ctx context.Context, group *errgroup.Group, l listeners) {
	group.Go(func() error { return n.ingress.Serve(l.ingress) })
	group.Go(func() error { return n.server.Serve(l.link) })
	group.Go(func() error { return n.serveOperators(ctx, l.admin) })
	group.Go(func() error { return n.control.run(ctx) })
	group.Go(func() error { return n.runStart(ctx) })
	group.Go(func() error { return n.runLease(ctx) })
	group.Go(func() error { return n.runWatch(ctx) })
	group.Go(func() error { return n.runEditor(ctx) })
	group.Go(func() error { return n.runAdmission(ctx) })
	group.Go(func() error { return n.runHealth(ctx) })
	group.Go(func() error { return n.upstream.RunIdle(ctx) })
}

// phase returns the current phase.
func (n *Node) phase() phase { return n.state.Load() }

// takesWork reports whether new requests may go to the local upstream.
func (n *Node) takesWork() bool { return n.phase() == phaseServing && !n.draining.Load() }

// self returns this VM as a home, in the form that the homes document uses.
func (n *Node) self() homes.Home {
	return homes.Home{VM: n.cfg.VM, Incarnation: n.incarnation}
}

func (n *Node) record(e timeline.Event) {
	e.VM = n.cfg.VM
	n.events.Record(e)
}

// member returns the first member record that the node announces.
func (n *Node) member() *linkpb.Member {
	return &linkpb.Member{
		Vm:            n.cfg.VM,
		Service:       n.cfg.Service,
		Region:        n.cfg.Region,
		Datacentre:    n.cfg.Datacentre,
		Address:       n.cfg.Link,
		Incarnation:   n.incarnation,
		Sequence:      1,
		State:         linkpb.MemberState_MEMBER_STATE_UP,
		Slots:         uint32(n.cfg.Slots),
		RenewedUnixMs: n.started.UnixMilli(),
		FrontAddress:  n.cfg.Front,
		AdminAddress:  n.cfg.Admin,
	}
}
