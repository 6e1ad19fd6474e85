// Package sidecar wires the decisions of heathershed into the one process
// beside an upstream on the users' platform: front for the VM's clients and for
// its upstream's calls, door of the upstream, and links to all other nodes.
//
// What lasts lies in the platform's object API: the configuration, and one
// record per node, written when what it says changes. Whether a node is alive
// the nodes see on their links.
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

	"heathershed/internal/endpoint"
	"heathershed/internal/fleet"
	"heathershed/internal/ingress"
	"heathershed/internal/link"
	"heathershed/internal/routes"
	"heathershed/internal/settings"
	"heathershed/internal/upstream"
	"heathershed/internal/version"
	"heathershed/internal/vm/callers"
	"heathershed/internal/vm/correlation"
	"heathershed/internal/vm/pressure"
	"heathershed/internal/vm/scheduler"
	"heathershed/internal/wait"
	"heathershed/platform"
)

const (
	// maxIdleConns bounds the idle connections to the upstream.
	maxIdleConns = 256
	// maxHeaderBytes bounds the head of a request before its limit is known.
	maxHeaderBytes = 20 << 10
	// clientIdleTimeout is the longest time that a client's connection stays idle; it
	// lies above what operators allow clients.
	clientIdleTimeout = 60 * time.Second
	// scrapeTimeout bounds the head of a scraper's request.
	scrapeTimeout = 5 * time.Second
)

// Node is one process. Its methods are safe for concurrent use.
type Node struct {
	cfg *settings.Sidecar
	log *slog.Logger
	// incarnation tells the starts of this VM's node apart; it grows.
	incarnation atomic.Uint64
	started     time.Time

	table       atomic.Pointer[configuration]
	split       routes.Splitter
	fleet       *fleet.Fleet
	sched       *scheduler.Scheduler
	upstream    *upstream.Client
	objects     *platform.ObjectClient
	target      *target
	dedup       *dedup
	correlation *correlation.Tracker
	callers     *callers.Tracker
	pressure    *pressure.Table
	budget      *budget
	metrics     *metrics
	peers       *peers

	ingress       *ingress.Server
	ready         *fasthttp.Server
	heartbeats    *fasthttp.Server
	metricsServer *http.Server
	linkServer    *link.Server
	links         *link.Set
	traffic       link.Traffic

	// recordChanged is sent when the own record may have changed.
	recordChanged wait.Signal
	store         storeHealth
	// listed is set once the other nodes' records were read.
	listed   atomic.Bool
	stopping atomic.Bool
	// plan is that of a planned stop, once it has begun.
	plan atomic.Pointer[stopPlan]
	// requestsCtx ends, by cut, when no request may go on.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
	// grace bounds a planned stop, in nanoseconds.
	grace atomic.Int64
	// inFlight counts the requests of clients and other nodes.
	inFlight atomic.Int64
}

// configuration is the routes in force with the bytes they were read from.
type configuration struct {
	*routes.Table
	raw []byte
}

// New returns a node with checked settings. Nothing is opened before Run.
func New(cfg *settings.Sidecar, log *slog.Logger) *Node {
	now := time.Now()
	n := &Node{
		cfg:           cfg,
		log:           log,
		started:       now,
		fleet:         fleet.New(cfg.Datacentre),
		sched:         scheduler.NewScheduler(),
		upstream:      upstream.New(cfg.Upstream, maxIdleConns),
		objects:       platform.NewObjectClient(cfg.Platform),
		dedup:         newDedup(),
		correlation:   correlation.New(),
		callers:       callers.New(),
		pressure:      pressure.New(),
		budget:        newBudget(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow),
		metrics:       newMetrics(),
		recordChanged: wait.NewSignal(),
	}
	n.incarnation.Store(uint64(now.UnixMicro()))
	n.grace.Store(int64(cfg.Grace))
	n.requestsCtx, n.cancelRequests = context.WithCancel(context.Background())
	n.target = newTarget(n)
	n.peers = newPeers(n)
	n.ingress = ingress.NewWithOptions(ingress.Options{HeaderBytes: maxHeaderBytes, IdleTimeout: clientIdleTimeout, Log: connLog{log}}, n.serveClient)
	n.ready = &fasthttp.Server{Handler: n.serveReady, NoDefaultServerHeader: true, Logger: connLog{log}}
	n.heartbeats = &fasthttp.Server{Handler: n.serveHeartbeat, NoDefaultServerHeader: true, Logger: connLog{log}}
	n.metricsServer = &http.Server{Handler: n.metrics.handler(), ReadHeaderTimeout: scrapeTimeout}
	n.linkServer = link.NewServer(n, &n.traffic)
	return n
}

// Run opens the listeners and runs every duty until ctx ends or a duty fails.
// A planned stop returns nil.
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
	n.links = link.NewSet(running, group, n, &n.traffic, endpoint.Dial)
	group.Go(func() error { return n.ingress.Serve(l.clients) })
	group.Go(func() error { return n.linkServer.Serve(l.link) })
	group.Go(func() error { return n.ready.Serve(l.ready) })
	group.Go(func() error { return n.heartbeats.Serve(l.heartbeats) })
	group.Go(func() error { return n.serveMetrics(l.metrics) })
	group.Go(func() error { return n.runConfiguration(running) })
	group.Go(func() error { return n.peers.runLinks(running) })
	group.Go(func() error { return n.runGauges(running) })
	group.Go(func() error { return n.runRecord(running) })
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

// Apply puts in force what can change while the process runs: the bounds of
// retries and of a planned stop. Names and addresses stay until a restart.
func (n *Node) Apply(cfg *settings.Sidecar) {
	n.budget.setBound(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow)
	n.grace.Store(int64(cfg.Grace))
	n.log.Info("reload", "retry_ratio", cfg.RetryRatio, "retry_slack", cfg.RetrySlack,
		"retry_window_ms", cfg.RetryWindow.Milliseconds(), "grace_ms", cfg.Grace.Milliseconds())
}

type listeners struct{ clients, link, ready, heartbeats, metrics net.Listener }

func (n *Node) listen() (l listeners, err error) {
	err = endpoint.Listen(
		endpoint.Binding{Name: "[addresses] clients", Address: n.cfg.Clients, Listener: &l.clients},
		endpoint.Binding{Name: "[addresses] link", Address: n.cfg.Link, Listener: &l.link},
		endpoint.Binding{Name: "[addresses] ready", Address: n.cfg.Ready, Listener: &l.ready},
		endpoint.Binding{Name: "[addresses] heartbeats", Address: n.cfg.Heartbeats, Listener: &l.heartbeats},
		endpoint.Binding{Name: "[addresses] metrics", Address: n.cfg.Metrics, Listener: &l.metrics},
	)
	return l, err
}
