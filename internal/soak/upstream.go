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
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathershed/internal/wait"
	"heathershed/platform/platformtest"
)

const (
	// heartbeatInterval is the time between two heartbeats of an upstream.
	// heartbeatTimeout bounds one.
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
	// drainBound is the time after which a draining upstream gets no new
	// requests, counted from the first acknowledged heartbeat that announced
	// the drain.
	drainBound = 2500 * time.Millisecond
	// cancelBound is how long a run may continue after its caller has cancelled
	// it.
	cancelBound = time.Second
	// callTimeout is the timeout of an upstream's nested calls.
	callTimeout = 800 * time.Millisecond
	slowMin     = 1500 * time.Millisecond
	slowMax     = 4 * time.Second
	// readLimit bounds the answers that upstreams and clients read, in bytes.
	readLimit = 1 << 20
)

// nestedMark separates the id of a root attempt from the number of the run that makes a
// nested call.
const nestedMark = "-call"

// Health is how an upstream handles requests.
type Health int

// The zero value answers normally.
const (
	Healthy Health = iota
	// Failing answers 500.
	Failing
	// Truncating closes the connection in the middle of the answer.
	Truncating
	// Slow lengthens each run by slowMin to slowMax.
	Slow
)

// Upstream is an upstream that records its runs in the ledger and sends
// heartbeats to its node. It is safe for concurrent use.
type Upstream struct {
	ledger        *Ledger
	vm            string // name of its VM
	service       string
	listen        string // listen address
	address       string // where its node reaches it
	heartbeatAddr string // where its node receives heartbeats
	callPath      string // path of its nested calls; empty for none
	namesStart    bool   // heartbeats name the start of the instance
	clientAddr    string // where its node receives its calls
	stop          context.CancelFunc
	running       atomic.Int64 // requests

	mu      sync.Mutex
	server  *http.Server
	id      string
	starts  int
	born    int64 // Unix millisecond of the start; 0 if heartbeats do not name it
	seq     int
	state   string
	health  Health
	notice  notice
	drained time.Time // when draining was acknowledged; zero if it was not
	// crash ends the upstream under a request that asks for it, and crashRuns
	// counts the runs of such requests; nil before the phase that sends them.
	crash     func()
	crashRuns *crashRuns
}

// Start starts the upstream under a new instance id.
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
	u.seq, u.state, u.health, u.drained, u.notice = 0, "ready", Healthy, time.Time{}, notice{}
	if u.namesStart {
		u.born = time.Now().UnixMilli()
	}
	u.stop = cancel
	u.server = &http.Server{Handler: u}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server) // Crash ends it
	go u.heartbeatLoop(ctx)
	return nil
}

// Crash ends the upstream and closes all of its connections.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server, stop := u.server, u.stop
	u.mu.Unlock()
	stop()
	_ = server.Close() // the error changes nothing here
}

// Drain makes the following heartbeats and answers announce that the upstream
// drains.
func (u *Upstream) Drain() {
	u.sayLeaving()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = "draining"
}

// SetHealth changes how it handles requests.
func (u *Upstream) SetHealth(h Health) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health = h
}

// heartbeatLoop sends heartbeats until the context ends.
func (u *Upstream) heartbeatLoop(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		u.mu.Lock()
		u.seq++
		state, id := u.state, u.id
		body := platformtest.Heartbeat(u.service, u.address, state, u.seq)
		if u.born > 0 {
			body = platformtest.WithBorn(body, u.born)
		}
		u.mu.Unlock()
		if ok := post(client, "http://"+u.heartbeatAddr+platformtest.HeartbeatPath(id), body); ok && state == "draining" {
			u.mu.Lock()
			if u.drained.IsZero() && u.id == id {
				u.drained = time.Now()
			}
			u.mu.Unlock()
		}
		_ = wait.For(ctx, heartbeatInterval)
	}
}

// post reports whether a body was accepted with status 200.
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
	start := time.Now()
	sentTo, sent := u.ledger.Dispatched(attempt)
	u.ledger.CheckCaller(attempt, sentTo, r.Header.Get(platformtest.HeaderCaller))
	u.ledger.notices.recordArrival(id, attempt, sentTo, sent)
	run := u.ledger.RecordRun(attempt)
	u.ledger.workspaces.checkRun(attempt, r.Header)
	running := u.running.Add(1)
	defer u.running.Add(-1)
	if late := time.Since(drained); !drained.IsZero() && late > drainBound && u.ledger.NoFaultSince(time.Now().Add(-drainBound), faultNode) {
		u.ledger.AddViolation(LateDrain, attempt, fmt.Sprintf("%v after the acknowledgement at %s", late.Round(time.Millisecond), id))
	}
	u.crashIfAsked(r)
	takes := time.Duration(intParam(r, "work")) * time.Millisecond
	if health == Slow {
		takes += slowBy(attempt)
	}
	u.nestedCall(r, attempt, run)
	if health != Truncating && r.Context().Err() == nil {
		u.ledger.RecordExecution(attempt, execution{ranOn: u.vm, start: start, due: time.Now().Add(takes)})
	}
	if !u.runFor(r, attempt, takes) {
		return
	}
	rw.Header().Set(platformtest.HeaderAttempt, attempt)
	rw.Header().Set(platformtest.HeaderSeal, seal(attempt))
	if u.ledger.workspaces != nil {
		rw.Header().Set(platformtest.HeaderLoad, loadReport(attempt, running))
	}
	u.mu.Lock()
	u.notice.write(rw.Header())
	u.mu.Unlock()
	writeAnswer(rw, health, Body(attempt, intParam(r, "size")))
}

// loadReports are the forms in which an upstream reports its load, with the number of
// running requests. All but the first two are invalid.
var loadReports = []string{"%d,0,4", "%d,0,4,130", "%d,0", "%d,0,4,100,7", "-%d,0,4", "%d,0,x", "%d000000000000000000000,0,4"}

// loadReport returns the load that the answer to an attempt reports. Most of them are
// valid.
func loadReport(attempt string, running int64) string {
	form := int(xxhash.Sum64String(attempt) % (8 * uint64(len(loadReports))))
	if form >= len(loadReports) {
		form %= 2
	}
	return fmt.Sprintf(loadReports[form], running)
}

// slowBy is the extra time that a slow upstream takes for an attempt. It
// depends on the attempt's id alone.
func slowBy(attempt string) time.Duration {
	return slowMin + time.Duration(xxhash.Sum64String(attempt)%uint64(slowMax-slowMin))
}

// nestedCall calls another service where the request asks for it.
func (u *Upstream) nestedCall(r *http.Request, attempt string, run int) {
	if u.callPath != "" && r.URL.Query().Has("call") {
		u.call(r.Context(), fmt.Sprint(attempt, nestedMark, run))
	}
}

// runFor waits for the time of a run and reports whether the caller still waits
// at its end.
func (u *Upstream) runFor(r *http.Request, attempt string, takes time.Duration) (wanted bool) {
	began := time.Now()
	if wait.For(r.Context(), takes) != nil {
		return false
	}
	u.checkCancelled(attempt, began)
	return true
}

// checkCancelled reports a violation where the caller of a run that has just
// ended had cancelled it longer than cancelBound before.
func (u *Upstream) checkCancelled(attempt string, began time.Time) {
	cancelled := u.ledger.CancelledAt(attempt)
	if cancelled.IsZero() || u.ledger.IsOrder(attempt) || !u.ledger.NoFaultSince(began, faultNode, faultPause, faultUpstreamPath, faultLinkPath) {
		return
	}
	if late := time.Since(cancelled); late > cancelBound {
		u.ledger.AddViolation(AfterClose, attempt, fmt.Sprintf("worked for %v after its caller had left", late.Round(time.Millisecond)))
	}
}

// call calls another service through the local node.
func (u *Upstream) call(ctx context.Context, attempt string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u.ledger.RecordSent(attempt, false)
	u.ledger.RecordDispatch(attempt, u.vm, time.Now().Add(callTimeout))
	send(ctx, http.DefaultTransport, u.ledger, request{
		addr: u.clientAddr, path: u.callPath, attempt: attempt, size: callBodySize, timeout: callTimeout,
	})
}

func intParam(r *http.Request, key string) int {
	n, err := strconv.Atoi(r.URL.Query().Get(key))
	if err != nil {
		return 0
	}
	return n
}

// Body is the complete answer to an attempt: its id, filled up to size bytes.
func Body(attempt string, size int) []byte {
	line := []byte(attempt + "\n")
	return append(line, bytes.Repeat([]byte("."), max(size-len(line), 0))...)
}

// seal is the signature of the answer to an attempt.
func seal(attempt string) string { return "seal-" + attempt }

func writeAnswer(rw http.ResponseWriter, h Health, body []byte) {
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch h {
	case Failing:
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = rw.Write(body) // the node may have closed the connection
	case Truncating:
		_, _ = rw.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.Copy(rw, bytes.NewReader(body))
	}
}
