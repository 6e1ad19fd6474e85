package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathershed/internal/wait"
	"heathershed/platform/platformtest"
)

const (
	// beatEvery is the time between two heartbeats of an upstream, and
	// beatTimeout bounds one.
	beatEvery   = 300 * time.Millisecond
	beatTimeout = time.Second
	// drainBound is the time after which an upstream that leaves gets no new
	// work, from the first heartbeat that said so and was answered.
	drainBound = 2500 * time.Millisecond
	// closeBound is how long work may go on after its caller has left.
	closeBound = time.Second
	// callTime is what an upstream leaves a call of its own.
	callTime  = 800 * time.Millisecond
	slowLeast = 1500 * time.Millisecond
	slowMost  = 4 * time.Second
	// maxAnswer bounds the answers that upstreams and clients read.
	maxAnswer = 1 << 20
)

// Health is what an upstream does to requests.
type Health int

// The zero value answers.
const (
	Healthy Health = iota
	// Failing answers 500.
	Failing
	// Cutting closes in the middle of the answer.
	Truncating
	// Slow takes slowLeast to slowMost longer.
	Slow
)

// Upstream is a recording upstream with the heartbeats that it sends to the
// node beside it. It is safe for concurrent use.
type Upstream struct {
	ledger   *Ledger
	machine  string
	service  string
	listen   string // where it listens
	address  string // where its node reaches it
	node     string // where its node takes heartbeats
	callPath string // what it calls while it works; empty is nothing
	clients  string // where its node takes its calls
	stop     context.CancelFunc

	mu      sync.Mutex
	server  *http.Server
	id      string
	starts  int
	seq     int
	state   string
	health  Health
	drained time.Time // when leaving was acknowledged; zero: not
}

// Start starts the upstream under a new id.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	u.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(u.listen, ":", "-"), u.starts)
	u.seq, u.state, u.health, u.drained = 0, "ready", Healthy, time.Time{}
	u.stop = cancel
	u.server = &http.Server{Handler: u}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server) // it ends by Crash
	go u.beat(ctx)
	return nil
}

// Crash ends the upstream and all of its connections.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server, stop := u.server, u.stop
	u.mu.Unlock()
	stop()
	_ = server.Close() // nothing is left to lose
}

// Drain makes the heartbeats say that the upstream leaves.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = "draining"
}

// SetHealth changes what it does to requests.
func (u *Upstream) SetHealth(h Health) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health = h
}

// beat sends heartbeats until the context ends.
func (u *Upstream) beat(ctx context.Context) {
	client := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		u.mu.Lock()
		u.seq++
		state, id := u.state, u.id
		body := platformtest.Heartbeat(u.service, u.address, state, u.seq)
		u.mu.Unlock()
		if ok := post(client, "http://"+u.node+platformtest.HeartbeatPath(id), body); ok && state == "draining" {
			u.mu.Lock()
			if u.drained.IsZero() && u.id == id {
				u.drained = time.Now()
			}
			u.mu.Unlock()
		}
		_ = wait.For(ctx, beatEvery)
	}
}

// post reports whether a body was taken.
func post(client *http.Client, url, body string) bool {
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id, health, drained := u.id, u.health, u.drained
	u.mu.Unlock()
	rw.Header().Set(platformtest.HeaderInstance, id)
	if r.Header.Get(platformtest.HeaderExpected) != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get(platformtest.HeaderAttempt)
	began := time.Now()
	run := u.ledger.RecordRun(attempt)
	if late := time.Since(drained); !drained.IsZero() && late > drainBound && u.ledger.NoFaultSince(time.Now().Add(-drainBound), faultNode) {
		u.ledger.AddViolation(LateDrain, attempt, fmt.Sprintf("%v after the acknowledgement at %s", late.Round(time.Millisecond), id))
	}
	takes := time.Duration(number(r, "work")) * time.Millisecond
	if health == Slow {
		takes += slowBy(attempt)
	}
	u.callBelow(r, attempt, run)
	if health != Truncating && r.Context().Err() == nil {
		u.ledger.RecordExecution(attempt, work{at: u.machine, began: began, due: time.Now().Add(takes)})
	}
	if !u.work(r, attempt, takes) {
		return
	}
	rw.Header().Set(platformtest.HeaderAttempt, attempt)
	answer(rw, health, Body(attempt, number(r, "size")))
}

// slowBy is how much longer a slow upstream takes for an attempt.
func slowBy(attempt string) time.Duration {
	return slowLeast + time.Duration(xxhash.Sum64String(attempt)%uint64(slowMost-slowLeast))
}

// callBelow calls another service where the request asks for it.
func (u *Upstream) callBelow(r *http.Request, attempt string, run int) {
	if u.callPath != "" && r.URL.Query().Has("call") {
		u.call(r.Context(), fmt.Sprintf("%s-c%d", attempt, run))
	}
}

// work takes its time and reports whether it was still wanted at the end.
func (u *Upstream) work(r *http.Request, attempt string, takes time.Duration) (wanted bool) {
	began := time.Now()
	if wait.For(r.Context(), takes) != nil {
		return false
	}
	u.checkLeft(attempt, began)
	return true
}

// checkLeft looks whether the caller of work that has just ended had left.
func (u *Upstream) checkLeft(attempt string, began time.Time) {
	left := u.ledger.CancelledAt(attempt)
	if left.IsZero() || u.ledger.IsOrder(attempt) || !u.ledger.NoFaultSince(began, faultNode, faultPause, faultUpstreamWay, faultLinkWay) {
		return
	}
	if late := time.Since(left); late > closeBound {
		u.ledger.AddViolation(AfterClose, attempt, fmt.Sprintf("worked for %v after its caller had left", late.Round(time.Millisecond)))
	}
}

// call asks another service by way of the node beside this upstream.
func (u *Upstream) call(ctx context.Context, attempt string) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	u.ledger.RecordSent(attempt, false)
	u.ledger.RecordDispatch(attempt, u.machine, time.Now().Add(callTime))
	ask(ctx, http.DefaultTransport, u.ledger, request{
		at: u.clients, path: u.callPath, attempt: attempt, size: callSize, left: callTime,
	})
}

func number(r *http.Request, key string) int {
	n, err := strconv.Atoi(r.URL.Query().Get(key))
	if err != nil {
		return 0
	}
	return n
}

// Body is the whole answer to an attempt: its id, filled up to size bytes.
func Body(attempt string, size int) []byte {
	line := []byte(attempt + "\n")
	return append(line, bytes.Repeat([]byte("."), max(size-len(line), 0))...)
}

func answer(rw http.ResponseWriter, h Health, body []byte) {
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch h {
	case Failing:
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = rw.Write(body) // the node may have left
	case Truncating:
		_, _ = rw.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.Copy(rw, bytes.NewReader(body))
	}
}
