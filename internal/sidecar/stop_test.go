package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/platform/fake"
	"heathershed/platform/platformtest"
)

// answerAfter returns an upstream handler that answers after d, unless its
// caller disconnects first.
func answerAfter(d time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			_, _ = io.WriteString(rw, "complete answer")
		case <-r.Context().Done():
		}
	}
}

// startRequest sends a request through one node and waits until it runs at the
// upstream of another one.
func startRequest(from, at *vm, method, path string) <-chan answer {
	before := at.up.ran.Load()
	got := make(chan answer, 1)
	go func() { got <- from.request(method, path, nil) }()
	at.tc.waitFor("the request runs", func() bool { return at.up.ran.Load() > before })
	return got
}

// stopWithinGrace shuts a node down and checks that it stops within its grace
// period.
func (m *vm) stopWithinGrace() {
	m.tc.t.Helper()
	began := time.Now()
	m.stop()
	select {
	case err := <-m.done:
		m.done <- err
		if err != nil {
			m.tc.t.Errorf("graceful shutdown: %v", err)
		}
	case <-time.After(m.cfg.Grace):
		m.tc.t.Errorf("%s did not stop within its grace period", m.cfg.VM)
		return
	}
	m.tc.t.Logf("%s stopped after %v", m.cfg.VM, time.Since(began).Round(time.Millisecond))
}

// TestGracefulShutdownEndsWithinGrace guards against shutdowns that outlast
// the grace period: each case leaves something unfinished that could block
// one.
func TestGracefulShutdownEndsWithinGrace(t *testing.T) {
	t.Parallel()
	const never = time.Minute
	request := func(method, path string, between func(near, far *vm) (from, at *vm)) func(*testCluster, *vm, *vm) {
		return func(_ *testCluster, near, far *vm) {
			from, at := between(near, far)
			at.up.set(answerAfter(never))
			startRequest(from, at, method, path)
		}
	}
	local := func(near, _ *vm) (from, at *vm) { return near, near }
	out := func(near, far *vm) (from, at *vm) { return near, far }
	in := func(near, far *vm) (from, at *vm) { return far, near }
	cases := []struct {
		name  string
		begin func(tc *testCluster, near, far *vm)
	}{
		{"nothing", func(*testCluster, *vm, *vm) {}},
		{"lookup at the local upstream", request("GET", "/near/1", local)},
		{"order at the local upstream", request("POST", "/near-order/1", local)},
		{"lookup at another node", request("GET", "/far/1", out)},
		{"order at another node", request("POST", "/far-order/1", out)},
		{"lookup from another node", request("GET", "/near/1", in)},
		{"order from another node", request("POST", "/near-order/1", in)},
		{"store does not answer", func(tc *testCluster, _, _ *vm) { tc.store.SetFaults(fake.Faults{Latency: never}) }},
		{"store does not answer a write", func(tc *testCluster, near, _ *vm) {
			tc.store.SetFaults(fake.Faults{Latency: never})
			near.up.id += "-new"
			near.heartbeat("near", "ready")
			time.Sleep(2 * writeDelay)
		}},
		{"store down", func(tc *testCluster, _, _ *vm) { tc.store.SetFaults(fake.Faults{Down: true}) }},
		{"idle connections", func(_ *testCluster, near, _ *vm) {
			for _, address := range near.addresses() {
				dial(t, address)
			}
		}},
		{"incomplete requests", func(_ *testCluster, near, _ *vm) {
			for _, address := range near.addresses() {
				_, _ = io.WriteString(dial(t, address), "POST /near-order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhal")
			}
		}},
		{"client that does not read", func(tc *testCluster, near, far *vm) {
			far.up.set(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write(make([]byte, 8<<20)) })
			before := far.up.ran.Load()
			_, _ = io.WriteString(dial(t, near.cfg.Clients), "GET /far/1 HTTP/1.1\r\nHost: h\r\n"+platformtest.HeaderAttempt+": unread\r\n\r\n")
			tc.waitFor("the request runs", func() bool { return far.up.ran.Load() > before })
		}},
		{"clients that keep sending", func(_ *testCluster, near, far *vm) {
			far.up.set(answerAfter(never))
			for i := range 8 {
				keepRequesting(t, near, "POST", "/far-order/1", time.Duration(i)*100*time.Millisecond)
			}
		}},
		{"node that accepts links and does not answer", func(_ *testCluster, near, _ *vm) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			near.node.peers.merge(memberAt("silent", l.Addr().String()))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tc, near, far := startPair(t)
			c.begin(tc, near, far)
			near.stopWithinGrace()
			tc.store.SetFaults(fake.Faults{})
		})
	}
}

// addresses returns the addresses at which the node listens.
func (m *vm) addresses() []string {
	return []string{m.cfg.Clients, m.cfg.Link, m.cfg.Ready, m.cfg.Heartbeats, m.cfg.Metrics}
}

// keepRequesting sends one request after the other until the test ends.
func keepRequesting(t *testing.T, m *vm, method, path string, after time.Duration) {
	done := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		time.Sleep(after)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				m.request(method, path, nil)
			}
		}
	})
	t.Cleanup(func() { close(done); all.Wait() })
}

// TestGracefulShutdownDeliversAnswersWithinGrace guards against a shutdown
// that aborts a request whose upstream answers before the grace period ends.
func TestGracefulShutdownDeliversAnswersWithinGrace(t *testing.T) {
	t.Parallel()
	const answerAt = 1200 * time.Millisecond
	for _, method := range []string{"GET", "POST"} {
		for _, c := range []struct{ from, at, stops string }{
			{"near", "near", "near"},
			{"near", "far", "near"},
			{"far", "near", "near"},
			{"near", "far", "both"},
		} {
			t.Run(fmt.Sprint(method, " from ", c.from, " at ", c.at, ", stops ", c.stops), func(t *testing.T) {
				t.Parallel()
				_, near, far := startPair(t)
				vms := map[string]*vm{"near": near, "far": far}
				vms[c.at].up.set(answerAfter(answerAt))
				path := "/" + c.at + "/1"
				if method == "POST" {
					path = "/" + c.at + "-order/1"
				}
				got := startRequest(vms[c.from], vms[c.at], method, path)
				if c.stops == "both" {
					far.stop()
				}
				near.stopWithinGrace()
				time.Sleep(answerTimeout)
				if len(got) == 0 {
					t.Fatal("no answer after the node has stopped")
				}
				if a := <-got; a.status != http.StatusOK || a.body != "complete answer" {
					t.Fatalf("got status %d, body %q, err %v; want the complete answer", a.status, a.body, a.err)
				}
			})
		}
	}
}

// TestLateRequestDuringShutdownIsNotAborted sends requests until the end of a
// shutdown: each must get a complete answer, or 503 with Retry-After because
// it has not run.
func TestLateRequestDuringShutdownIsNotAborted(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	far.up.set(answerAfter(800 * time.Millisecond))
	var all sync.WaitGroup
	ended := make(chan struct{}, 1)
	all.Go(func() {
		near.stopWithinGrace()
		time.Sleep(answerTimeout)
		ended <- struct{}{}
	})
	for i := range 5 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			sent := time.Now()
			a := near.request("POST", "/far-order/1", nil)
			late := len(ended) > 0
			switch {
			case a.err != nil && time.Since(sent) < 50*time.Millisecond: // the connection was closed before the request was read
			case late:
				t.Errorf("sent %d ms into the shutdown: no answer after the node had stopped", 400*i)
			case a.status == http.StatusOK && a.body == "complete answer":
			case a.status == http.StatusServiceUnavailable && a.retryAfter != "":
			default:
				t.Errorf("sent %d ms into the shutdown: got status %d, Retry-After %q, err %v after %v; want a complete answer or 503 with Retry-After", 400*i, a.status, a.retryAfter, a.err, time.Since(sent))
			}
		})
	}
	all.Wait()
}

// TestRequestAbortedByShutdownIsAnswered checks that the client of a request
// that outlasts the grace period gets an answer, not a closed connection.
func TestRequestAbortedByShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/near/1", "/near-order/1", "/far/1", "/far-order/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			_, near, far := startPair(t)
			near.up.set(answerAfter(time.Minute))
			far.up.set(answerAfter(time.Minute))
			at := near
			if strings.HasPrefix(path, "/far") {
				at = far
			}
			got := startRequest(near, at, "POST", path)
			near.stopWithinGrace()
			time.Sleep(answerTimeout)
			if len(got) == 0 {
				t.Fatal("no answer after the node has stopped")
			}
			if a := <-got; a.status != http.StatusGatewayTimeout || a.retryAfter != "" {
				t.Fatalf("got status %d, Retry-After %q, err %v; want 504 without Retry-After", a.status, a.retryAfter, a.err)
			}
		})
	}
}

// memberAt returns the member of another node as its record describes it.
func memberAt(vm, address string) *linkpb.Member {
	return &linkpb.Member{Vm: vm, Address: address, Service: "far", Datacentre: "west"}
}

func TestStopPlan(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		grace, noticed, end time.Duration
		at, deadline        time.Duration
		admits              bool
	}{
		{6000 * ms, 2500 * ms, 5500 * ms, 2499 * ms, 9000 * ms, true},
		{6000 * ms, 2500 * ms, 5500 * ms, 2500 * ms, 5500 * ms, true},
		{6000 * ms, 2500 * ms, 5500 * ms, 2500 * ms, 5501 * ms, false},
		{2000 * ms, 750 * ms, 1500 * ms, 800 * ms, 1600 * ms, false},
		{400 * ms, 0, 0, 0, 1 * ms, false},
	}
	now := time.Unix(1000, 0)
	for _, c := range cases {
		p := newStopPlan(now, c.grace)
		if p.noticed != now.Add(c.noticed) || p.end != now.Add(c.end) {
			t.Errorf("grace %v: got noticed after %v, end after %v", c.grace, p.noticed.Sub(now), p.end.Sub(now))
		}
		if got := p.admits(now.Add(c.at), now.Add(c.deadline)); got != c.admits {
			t.Errorf("grace %v: request at %v with deadline %v: got admitted %v", c.grace, c.at, c.deadline, got)
		}
	}
}

func TestStopPlanAdmitsNestedCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newStopPlan(now, 2*time.Second) // ends after 1.5 s
	for _, c := range []struct {
		at, takes  time.Duration
		idempotent bool
		admits     bool
	}{
		{0, 1500 * time.Millisecond, false, true},
		{time.Second, 501 * time.Millisecond, false, false},
		{time.Second, 501 * time.Millisecond, true, true},
		{1600 * time.Millisecond, 0, false, false},
	} {
		if got := p.admitsNested(now.Add(c.at), c.idempotent, c.takes); got != c.admits {
			t.Errorf("at %v, takes %v, idempotent %v: got admitted %v", c.at, c.takes, c.idempotent, got)
		}
	}
}

// TestNestedCallsContinueDuringShutdown guards against rejecting a nested call
// after clients have noticed the shutdown: its request was admitted before and
// needs it.
func TestNestedCallsContinueDuringShutdown(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(1, "near", "far")
	near, far := tc.start("near"), tc.start("far")
	tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
	near.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	near.waitServing("/far/x")
	far.waitServing("/near/x")
	var stopping atomic.Bool
	near.up.set(func(rw http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(platformtest.HeaderRemaining))
		if err != nil {
			t.Error(err)
		}
		began := time.Now()
		tc.waitFor("clients have noticed the shutdown", func() bool {
			plan := near.node.plan.Load()
			return !stopping.Load() || plan != nil && time.Now().After(plan.noticed)
		})
		end := time.Duration(left)*time.Millisecond - time.Since(began)
		rw.WriteHeader(near.requestWithin(end, "GET", "/far/x", nil).status)
	})
	for range 20 { // the node learns to correlate the nested calls with their requests
		far.request("GET", "/near/1", nil)
	}
	stopping.Store(true)
	end := startRequest(far, near, "GET", "/near/1")
	near.stop()
	if got := <-end; got.status != http.StatusOK {
		t.Errorf("got %+v, want status 200 for the nested call of the running request", got)
	}
}
