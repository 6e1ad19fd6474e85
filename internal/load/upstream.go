package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// healthPath is the load endpoint of the upstreams.
	healthPath = "/health"
	// queuePerSlot bounds the requests that wait at an upstream, per slot.
	queuePerSlot = 10
	// warmUpFactor is how much slower an upstream is while it warms up.
	warmUpFactor = 3
)

// Upstream is one simulated upstream. It is safe for concurrent use.
type Upstream struct {
	vm           VM
	profile      *Profile
	log          *RunLog
	nestedClient *client
	target       func(service string) string // returns where nested calls go
	server       *fasthttp.Server
	conns        *connSet
	done         chan struct{}

	slots     chan struct{}
	waiting   atomic.Int64
	running   atomic.Int64
	faults    atomic.Pointer[UpstreamFaults]
	droppedTo atomic.Uint64 // connections with ids up to this one are blackholed
	lastConn  atomic.Uint64
	warmUpEnd time.Time

	mu  sync.Mutex
	rng *rand.Rand
}

// UpstreamFaults are the faults of one upstream. The zero value has none.
type UpstreamFaults struct {
	// Slowdown multiplies the service time. 0 counts as 1.
	Slowdown float64
	// Truncate is the fraction of answers that end before their stated length.
	Truncate float64
	// CloseIdle is the fraction of requests on a reused connection for which
	// the upstream closes the connection without running them.
	CloseIdle float64
	// RefuseFull rejects requests if all slots are taken, instead of queueing
	// them.
	RefuseFull bool
	// FalseLoad makes the load endpoint report no load ("zero") or full load
	// ("full"); "" reports the true load.
	FalseLoad string
}

// newUpstream returns an upstream that warms up for the given time.
func newUpstream(vm VM, p *Profile, log *RunLog, nestedClient *client, target func(string) string, rng *rand.Rand, warmUp time.Duration) *Upstream {
	u := &Upstream{
		vm: vm, profile: p, log: log, nestedClient: nestedClient, target: target,
		conns:     newConnSet(),
		done:      make(chan struct{}),
		slots:     make(chan struct{}, vm.Slots),
		warmUpEnd: time.Now().Add(warmUp),
		rng:       rng,
	}
	u.faults.Store(&UpstreamFaults{})
	u.server = &fasthttp.Server{
		Handler:               u.handle,
		Name:                  vm.Name,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return u
}

// SetFaults replaces the current faults.
func (u *Upstream) SetFaults(f UpstreamFaults) { u.faults.Store(&f) }

// BlackholeConns blackholes the open connections until they close: requests
// that arrive on them do not run, and no answers are sent, except by the load
// endpoint. New connections work.
func (u *Upstream) BlackholeConns() { u.droppedTo.Store(u.lastConn.Load()) }

// serve serves the listener's connections until the context ends or Stop is
// called.
func (u *Upstream) serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, u.Stop)
	defer stop()
	err := u.server.Serve(u.conns.listen(l))
	select {
	case <-u.done:
		return nil
	default:
		return err
	}
}

// Stop closes the listener and all connections.
func (u *Upstream) Stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.done:
	default:
		close(u.done)
		u.conns.closeAll()
	}
}

func (u *Upstream) handle(c *fasthttp.RequestCtx) {
	if id := c.ConnID(); id > u.lastConn.Load() {
		u.lastConn.Store(id)
	}
	if string(c.Path()) == healthPath {
		u.health(c)
		return
	}
	f := u.faults.Load()
	if u.blackholed(c) {
		u.holdOpen(c)
		return
	}
	if c.ConnRequestNum() > 1 && u.chance(f.CloseIdle) {
		writeAndClose(c, nil)
		return
	}
	route, ok := u.route(c)
	if !ok {
		c.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	u.serveRoute(c, route, f)
	if u.blackholed(c) {
		u.holdOpen(c)
	}
}

func (u *Upstream) blackholed(c *fasthttp.RequestCtx) bool { return c.ConnID() <= u.droppedTo.Load() }

// holdOpen keeps the connection open without sending anything more on it.
func (u *Upstream) holdOpen(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) { <-u.done })
}

// writeAndClose writes raw bytes instead of an answer and closes the
// connection.
func writeAndClose(c *fasthttp.RequestCtx, raw []byte) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(raw)
		_ = conn.Close()
	})
}

func (u *Upstream) route(c *fasthttp.RequestCtx) (Route, bool) {
	path, method := string(c.Path()), string(c.Method())
	for _, r := range u.profile.Routes {
		match := path == r.Path || strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path)
		if match && r.Service == u.vm.Service && r.Method == method {
			return r, true
		}
	}
	return Route{}, false
}

// health answers the load endpoint, falsely if FalseLoad is set.
func (u *Upstream) health(c *fasthttp.RequestCtx) {
	inFlight := int(u.running.Load() + u.waiting.Load())
	switch u.faults.Load().FalseLoad {
	case "zero":
		inFlight = 0
	case "full":
		inFlight = u.vm.Slots
	}
	body, _ := json.Marshal(map[string]any{"in_flight": inFlight, "slots": u.vm.Slots, "draining": false})
	c.SetContentType("application/json")
	c.SetBody(body)
}

func (u *Upstream) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < share
}

// serviceTime draws the time of one run: half of the mean is fixed, half
// exponentially distributed.
func (u *Upstream) serviceTime(mean time.Duration, f *UpstreamFaults) time.Duration {
	u.mu.Lock()
	draw := u.rng.ExpFloat64()
	u.mu.Unlock()
	d := time.Duration(float64(mean) * (0.5 + 0.5*draw))
	if f.Slowdown > 1 {
		d = time.Duration(float64(d) * f.Slowdown)
	}
	if time.Now().Before(u.warmUpEnd) {
		d *= warmUpFactor
	}
	return d
}
