// Package sidecar assembles the components of heathershed into the one process
// that runs beside an upstream on the users' platform. A node is the ingress
// for the clients of its VM and for the calls of its upstream, schedules the
// requests that the upstream runs, and holds links to other nodes.
//
// Durable state is in the platform's object API: the configuration, and one
// record per node, written when its content changes. Nodes detect on their
// links whether other nodes are alive.
//
// A node is described in three forms: its record in the object API, the member
// (linkpb.Member) that control frames carry, and the upstream (fleet.Upstream)
// that calls are routed to.
package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"heathershed/internal/bootclock"
	"heathershed/internal/endpoint"
	"heathershed/internal/fleet"
	"heathershed/internal/freshness"
	"heathershed/internal/ingress"
	"heathershed/internal/link"
	"heathershed/internal/memory"
	"heathershed/internal/poison"
	"heathershed/internal/routes"
	"heathershed/internal/settings"
	"heathershed/internal/upstream"
	"heathershed/internal/version"
	"heathershed/internal/vm/callers"
	"heathershed/internal/vm/correlation"
	"heathershed/internal/vm/losses"
	"heathershed/internal/vm/pressure"
	"heathershed/internal/vm/scheduler"
	"heathershed/internal/wait"
	"heathershed/platform"
)

const (
	// maxIdleConns bounds the idle connections to the upstream.
	maxIdleConns = 256
	// maxHeaderBytes bounds the request line and headers of a request, in
	// bytes.
	maxHeaderBytes = 20 << 10
	// clientIdleTimeout is how long a client's connection may stay idle. It is
	// above the idle time that operators allow clients.
	clientIdleTimeout = 60 * time.Second
	// answerMemoryDivisor gives the part of the memory that answers of the upstream
	// may hold until they have been passed on.
	answerMemoryDivisor = 8
	// platformBody bounds the body of a heartbeat or of a readiness check, and
	// platformRequest all that is read for one, in bytes.
	platformBody    = 16 << 10
	platformRequest = 64 << 10
	// platformReadTimeout bounds the time to receive one.
	platformReadTimeout = 5 * time.Second
	// scrapeTimeout bounds reading a request for metrics, and writing its answer.
	scrapeTimeout = 5 * time.Second
	// maxScrapeHeader bounds the header of such a request in bytes.
	maxScrapeHeader = 16 << 10
	// maxScrapers bounds the connections for metrics, and maxPlatformConns those for
	// readiness checks and for heartbeats.
	maxScrapers      = 32
	maxPlatformConns = 128
)

// Node is one heathershed process. Its methods are safe for concurrent use.
type Node struct {
	cfg *settings.Sidecar
	log *slog.Logger
	// incarnation identifies this start of the node. It is taken from the wall
	// clock, and raised if another node reports a higher one of an earlier
	// start, see raiseIncarnation.
	incarnation atomic.Uint64
	started     time.Time

	table     atomic.Pointer[configuration]
	refused   atomic.Pointer[[]byte] // the last one since then that was refused
	freshness *freshness.Tracker     // of the active configuration
	// applyWithin is the time in which a change must be active, in nanoseconds.
	applyWithin atomic.Int64
	// revokeWithin is the bound of the lease on the table of keys, in nanoseconds; 0 if
	// there is none.
	revokeWithin atomic.Int64
	// announced is the highest version of the configuration that another node has
	// announced.
	announced atomic.Uint64
	// heldUpLogged is when the newest report that was held up was logged, in
	// nanoseconds since the start; 0 for never.
	heldUpLogged atomic.Int64
	// comparedAt is when the local upstream was last compared with its peers, in
	// nanoseconds since the start.
	comparedAt  atomic.Int64
	split       routes.Splitter
	fleet       *fleet.Fleet
	sched       *scheduler.Scheduler
	upstream    *upstream.Client
	objects     *platform.ObjectClient
	target      *target
	stored      *storedInstance
	dedup       *dedup
	correlation *correlation.Tracker
	callers     *callers.Tracker
	pressure    *pressure.Table
	shares      shares
	budgets     budgets
	// answerSizes are the sizes of the answers of each route, of the local upstream and of
	// those of other nodes.
	answerSizes  memory.Sizes
	budget       *budget
	losses       losses.Tracker // of the local upstream
	lostRuns     lostRuns
	uploads      atomic.Int64 // that run at the local upstream
	reportedLoad reportedLoad
	// poison holds the requests that crash upstreams. onProbation is set while
	// one of them runs at the local upstream on its own.
	poison      *poison.Table
	onProbation atomic.Bool
	metrics     *metrics
	peers       *peers
	quotas      *quotas

	ingress       *ingress.Server
	ready         *fasthttp.Server
	heartbeats    *fasthttp.Server
	metricsServer *http.Server
	// otherListeners are those of the three servers above. They are set by Run.
	otherListeners []ingress.BoundedListener
	linkServer     *link.Server
	links          *link.Set
	traffic        link.Traffic

	// recordChanged is sent when the local record may have changed.
	recordChanged wait.Signal
	// checkDue is sent when the upstream may be one that is expected.
	checkDue wait.Signal
	// reportsDue is sent when other nodes may lack what is known of requests that
	// crash upstreams.
	reportsDue wait.Signal
	// membersChanged is sent when the known nodes have changed.
	membersChanged wait.Signal
	// readDue is sent when the next read of the configuration is due earlier.
	readDue wait.Signal
	store   storeHealth
	// listed is set once the records of the other nodes were read. listDue is set
	// when recordChanged asks for another reading of them.
	listed   atomic.Bool
	listDue  atomic.Bool
	stopping atomic.Bool
	// plan is the schedule of a graceful shutdown, nil until one begins.
	plan atomic.Pointer[stopPlan]
	// requestsCtx is cancelled, by cancelRequests, at the end of a shutdown,
	// and with it all requests still in flight.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
	// grace bounds a graceful shutdown, in nanoseconds.
	grace atomic.Int64
	// inFlight counts the requests on the ingress and the calls from other
	// nodes.
	inFlight atomic.Int64
}

// configuration is a route table with the bytes it was decoded from.
type configuration struct {
	*routes.Table
	raw []byte
}

// New returns a node. cfg must be valid. No listener or connection is opened
// before Run.
func New(cfg *settings.Sidecar, log *slog.Logger) *Node {
	now := time.Now()
	n := &Node{
		cfg:            cfg,
		log:            log,
		started:        now,
		fleet:          fleet.New(cfg.Datacentre),
		sched:          scheduler.NewScheduler(),
		upstream:       upstream.New(cfg.Upstream, maxIdleConns, answerMemory(cfg.Memory)),
		objects:        platform.NewObjectClient(cfg.Platform),
		dedup:          newDedup(),
		correlation:    correlation.New(),
		callers:        callers.New(),
		pressure:       pressure.New(),
		budgets:        newBudgets(cfg.Memory),
		budget:         newBudget(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow),
		poison:         poison.New(),
		metrics:        newMetrics(),
		freshness:      freshness.New(freshnessLimit(cfg.ApplyWithin), bootclock.Now()),
		stored:         newStoredInstance(),
		recordChanged:  wait.NewSignal(),
		checkDue:       wait.NewSignal(),
		reportsDue:     wait.NewSignal(),
		membersChanged: wait.NewSignal(),
		readDue:        wait.NewSignal(),
	}
	n.incarnation.Store(uint64(now.UnixMicro()))
	n.grace.Store(int64(cfg.Grace))
	n.applyWithin.Store(int64(cfg.ApplyWithin))
	n.revokeWithin.Store(revocationBound(cfg.StrictRevoke, cfg.RevokeWithin))
	n.requestsCtx, n.cancelRequests = context.WithCancel(context.Background())
	n.target = newTarget(n)
	n.peers = newPeers(n)
	n.quotas = newQuotas(n, cfg)
	n.ingress = ingress.NewWithOptions(n.ingressOptions(), n.serveClient)
	n.ready = newPlatformServer(n.serveReady, log)
	n.heartbeats = newPlatformServer(n.serveHeartbeat, log)
	n.metricsServer = &http.Server{
		Handler:        n.operatorHandler(),
		ReadTimeout:    scrapeTimeout,
		WriteTimeout:   scrapeTimeout,
		MaxHeaderBytes: maxScrapeHeader,
	}
	n.linkServer = link.NewServer(n, &n.traffic)
	return n
}

// newPlatformServer returns a server for the platform's own requests: readiness
// checks and heartbeats.
func newPlatformServer(handle fasthttp.RequestHandler, log *slog.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handle,
		MaxRequestBodySize:    platformBody,
		ReadTimeout:           platformReadTimeout,
		IdleTimeout:           clientIdleTimeout,
		NoDefaultServerHeader: true,
		Logger:                connLog{log},
	}
}

// boundPlatform bounds the connections of the platform's own requests and the bytes of each
// request.
func boundPlatform(l net.Listener) ingress.BoundedListener {
	return ingress.BoundConns(endpoint.Bounded(l, platformRequest), maxPlatformConns)
}

// answerMemory returns the bytes that the bodies of answers may hold together
// while they are read, for a process that has the given memory.
func answerMemory(size int64) int64 { return max(size/answerMemoryDivisor, maxAnswer) }

// Run opens the listeners and runs all tasks until ctx ends or a task fails.
// It returns nil after a graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info("start", "version", version.Version, "vm", n.cfg.VM, "datacentre", n.cfg.Datacentre,
		"service", n.cfg.Service, "incarnation", n.incarnation.Load())
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, running := errgroup.WithContext(running)
	ready, heartbeats, scrapers := boundPlatform(l.ready), boundPlatform(l.heartbeats), ingress.BoundConns(l.metrics, maxScrapers)
	n.otherListeners = []ingress.BoundedListener{ready, heartbeats, scrapers}
	n.links = link.NewSet(running, group, n, &n.traffic, endpoint.Dial)
	group.Go(func() error { return n.ingress.Serve(l.clients) })
	group.Go(func() error { return n.linkServer.Serve(l.link) })
	group.Go(func() error { return n.ready.Serve(ready) })
	group.Go(func() error { return n.heartbeats.Serve(heartbeats) })
	group.Go(func() error { return n.serveMetrics(scrapers) })
	group.Go(func() error { return n.runWatch(running) })
	group.Go(func() error { return n.runFreshness(running) })
	group.Go(func() error { return n.peers.runLinks(running) })
	group.Go(func() error { return n.runGauges(running) })
	group.Go(func() error { return n.runSchedulerLog(running) })
	group.Go(func() error { return n.runCrashReports(running) })
	group.Go(func() error { return n.runRecord(running) })
	group.Go(func() error { return n.runHealthChecks(running) })
	group.Go(func() error { return n.runMembers(running) })
	group.Go(func() error { return n.quotas.run(running) })
	group.Go(func() error { return n.runUnserved(running) })
	group.Go(func() error { return n.upstream.RunIdle(running) })
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	cause := n.awaitStop(ctx, running)
	cancel()
	taskErr := n.awaitTasks(done)
	if cause == nil && !errors.Is(taskErr, context.Canceled) {
		cause = taskErr
	}
	n.log.Info("stopped", "err", cause)
	return cause
}

// Apply activates the settings that can change at run time: the retry budget, the
// tolerance of quotas, the grace period of a shutdown and the times to apply a
// configuration and a revocation. Names and addresses apply only after a restart.
func (n *Node) Apply(cfg *settings.Sidecar) {
	n.budget.setBound(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow)
	n.grace.Store(int64(cfg.Grace))
	n.applyWithin.Store(int64(cfg.ApplyWithin))
	n.revokeWithin.Store(revocationBound(cfg.StrictRevoke, cfg.RevokeWithin))
	n.freshness.SetLimit(freshnessLimit(cfg.ApplyWithin))
	n.quotas.setConfig(cfg)
	n.log.Info("reload", "apply_within_ms", cfg.ApplyWithin.Milliseconds(),
		"retry_ratio", cfg.RetryRatio, "retry_slack", cfg.RetrySlack,
		"retry_window_ms", cfg.RetryWindow.Milliseconds(), "grace_ms", cfg.Grace.Milliseconds())
}

type listeners struct{ clients, link, ready, heartbeats, metrics net.Listener }

func (n *Node) listen() (l listeners, err error) {
	err = endpoint.Listen(
		endpoint.Binding{Name: "[addresses] clients", Address: n.cfg.Clients, Listener: &l.clients, SmallQueues: true},
		endpoint.Binding{Name: "[addresses] link", Address: n.cfg.Link, Listener: &l.link},
		endpoint.Binding{Name: "[addresses] ready", Address: n.cfg.Ready, Listener: &l.ready, SmallQueues: true},
		endpoint.Binding{Name: "[addresses] heartbeats", Address: n.cfg.Heartbeats, Listener: &l.heartbeats, SmallQueues: true},
		endpoint.Binding{Name: "[addresses] metrics", Address: n.cfg.Metrics, Listener: &l.metrics, SmallQueues: true},
	)
	return l, err
}
