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
	// healthPath is the load endpoint of the stand-in upstreams.
	healthPath = "/health"
	// queuePerSlot bounds the requests that wait at an upstream, per slot.
	queuePerSlot = 10
	// coldFactor is how much slower a cold upstream is at first.
	coldFactor = 3
)

// Upstream is one stand-in upstream. It is safe for concurrent use.
type Upstream struct {
	vm      VM
	profile *Profile
	log     *RunLog
	subs    *client
	target  func(service string) string // where sub-calls go
	server  *fasthttp.Server
	conns   *connSet
	done    chan struct{}

	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	faults   atomic.Pointer[UpstreamFaults]
	silentTo atomic.Uint64 // connections up to this id get no answers
	lastConn atomic.Uint64
	warmAt   time.Time

	mu  sync.Mutex
	rng *rand.Rand
}

// UpstreamFaults of one upstream; the zero value is none.
type UpstreamFaults struct {
	// Slowdown multiplies the time of work; 0 counts as 1.
	Slowdown float64
	// Truncate is the share of answers that end before their length.
	Truncate float64
	// CloseIdle is the share of requests on a used connection under which the
	// upstream closes the connection, unrun.
	CloseIdle float64
	// RefuseFull refuses where all slots are taken, in place of a queue.
	RefuseFull bool
	// FalseLoad makes the load endpoint lie: "zero", "full", or "" for the truth.
	FalseLoad string
}

// newUpstream returns an upstream that is cold for the given time.
func newUpstream(vm VM, p *Profile, log *RunLog, subs *client, target func(string) string, rng *rand.Rand, cold time.Duration) *Upstream {
	u := &Upstream{
		vm: vm, profile: p, log: log, subs: subs, target: target,
		conns:  newConnSet(),
		done:   make(chan struct{}),
		slots:  make(chan struct{}, vm.Slots),
		warmAt: time.Now().Add(cold),
		rng:    rng,
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

// SetFaults replaces the faults in force.
func (u *Upstream) SetFaults(f UpstreamFaults) { u.faults.Store(&f) }

// BlackholeConns makes all connections open now go silent for good: requests on them
// vanish and answers are not sent. New connections work.
func (u *Upstream) BlackholeConns() { u.silentTo.Store(u.lastConn.Load()) }

// serve serves on the VM's upstream address until the context ends or Stop.
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

// Stop closes the listener and cuts all connections at once.
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
	if u.silent(c) {
		u.hang(c)
		return
	}
	if c.ConnRequestNum() > 1 && u.chance(f.CloseIdle) {
		hangUp(c, nil)
		return
	}
	route, ok := u.route(c)
	if !ok {
		c.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	u.serveRoute(c, route, f)
	if u.silent(c) {
		u.hang(c)
	}
}

func (u *Upstream) silent(c *fasthttp.RequestCtx) bool { return c.ConnID() <= u.silentTo.Load() }

// hang keeps the connection open and says nothing more on it.
func (u *Upstream) hang(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) { <-u.done })
}

// hangUp writes raw bytes in place of an answer and closes the connection.
func hangUp(c *fasthttp.RequestCtx, raw []byte) {
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

// health answers the load endpoint, truthfully or not.
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

// workTime draws the time of one run: half fixed, half exponential.
func (u *Upstream) workTime(mean time.Duration, f *UpstreamFaults) time.Duration {
	u.mu.Lock()
	draw := u.rng.ExpFloat64()
	u.mu.Unlock()
	d := time.Duration(float64(mean) * (0.5 + 0.5*draw))
	if f.Slowdown > 1 {
		d = time.Duration(float64(d) * f.Slowdown)
	}
	if time.Now().Before(u.warmAt) {
		d *= coldFactor
	}
	return d
}
