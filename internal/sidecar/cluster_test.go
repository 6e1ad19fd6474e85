package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/standin"
	"heathershed/internal/settings"
	"heathershed/internal/soak"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

// waitTimeout bounds every wait for a condition that must become true.
const waitTimeout = 10 * time.Second

// testCluster is a stand-in for the object API with nodes and upstreams on
// loopback addresses.
type testCluster struct {
	t       testing.TB
	store   *fake.Store
	address string
	logs    *logBuffer
}

// logBuffer collects the log of all nodes, to print it if a test fails.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newTestCluster(t testing.TB) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, store: fake.New(), logs: &logBuffer{}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(tc.logs)
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := standin.New(tc.store)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	tc.address = l.Addr().String()
	return tc
}

// configure writes a configuration in which each service has a lookup route
// /NAME/ and an order route /NAME-order/.
func (tc *testCluster) configure(version int, services ...string) {
	tc.t.Helper()
	tc.writeConfig(platformtest.Config(version, services...))
}

// writeConfig writes a configuration.
func (tc *testCluster) writeConfig(spec string) {
	tc.t.Helper()
	objects := platform.NewObjectClient(tc.address)
	old, err := objects.Get(tc.t.Context(), platform.ConfigKind, platform.ConfigName)
	if err != nil {
		old = platform.Object{Name: platform.ConfigName}
	}
	if _, err := objects.Put(tc.t.Context(), platform.ConfigKind, platform.Object{Name: old.Name, Revision: old.Revision, Spec: []byte(spec)}); err != nil {
		tc.t.Fatal(err)
	}
}

// testUpstream is an HTTP server that behaves as an upstream of the platform.
type testUpstream struct {
	id, address string
	ran         atomic.Int64
	mu          sync.Mutex
	handle      http.HandlerFunc
	// health answers the checks of healthPath; nil for none.
	health     http.HandlerFunc
	healthPath string
	stop       func() // closes its server
}

// setHealth lets the upstream answer health checks.
func (u *testUpstream) setHealth(path string, h http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.healthPath, u.health = path, h
}

func (u *testUpstream) set(h http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handle = h
}

// replace makes the upstream another instance.
func (u *testUpstream) replace() { u.setID(u.id + "-new") }

func (u *testUpstream) setID(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id = id
}

// ServeHTTP rejects requests for another instance, as the platform's upstreams
// do, and passes the others to the handler.
func (u *testUpstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id, health, path := u.id, u.health, u.healthPath
	u.mu.Unlock()
	if health != nil && r.URL.Path == path {
		rw.Header().Set(platformtest.HeaderInstance, id)
		health(rw, r)
		return
	}
	if r.Header.Get(platformtest.HeaderExpected) != id {
		rw.Header().Set(platformtest.HeaderInstance, id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.ran.Add(1)
	u.mu.Lock()
	handle := u.handle
	u.mu.Unlock()
	rw.Header().Set(platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt))
	rw.Header().Set(platformtest.HeaderSeal, "seal-"+id)
	handle(rw, r)
}

// vm is a node with the upstream beside it.
type vm struct {
	tc   *testCluster
	up   *testUpstream
	cfg  *settings.Sidecar
	node *Node
	stop context.CancelFunc
	done chan error
	seq  int
	// storeProxy is on the way to the object API; nil if there is none.
	storeProxy *soak.Proxy
}

var vmNumber atomic.Int32

// start starts an upstream and a node beside it in the data centre "west".
// Their loopback address differs from those of concurrent test runs.
func (tc *testCluster) start(service string) *vm {
	tc.t.Helper()
	return tc.startIn(service, "west")
}

// startIn is start with a data centre.
func (tc *testCluster) startIn(service, datacentre string) *vm {
	tc.t.Helper()
	m := tc.prepare(service, datacentre)
	m.run()
	tc.t.Cleanup(m.halt)
	return m
}

// startWithProxy is start with a proxy in front of the node's link address.
func (tc *testCluster) startWithProxy(service string) (*vm, *soak.Proxy) {
	tc.t.Helper()
	m := tc.prepare(service, "west")
	m.cfg.Announce = strings.Replace(m.cfg.Link, ":7002", ":7012", 1)
	proxy := tc.newProxy(m.cfg.Announce, m.cfg.Link)
	m.run()
	tc.t.Cleanup(m.halt)
	return m, proxy
}

// startBehindProxies is startWithProxy with a proxy on the node's way to the
// object API as well.
func (tc *testCluster) startBehindProxies(service string) (*vm, *soak.Proxy) {
	tc.t.Helper()
	m := tc.prepare(service, "west")
	m.cfg.Announce = strings.Replace(m.cfg.Link, ":7002", ":7012", 1)
	links := tc.newProxy(m.cfg.Announce, m.cfg.Link)
	m.cfg.Platform = strings.Replace(m.cfg.Link, ":7002", ":7400", 1)
	m.storeProxy = tc.newProxy(m.cfg.Platform, tc.address)
	m.run()
	tc.t.Cleanup(m.halt)
	return m, links
}

func (tc *testCluster) newProxy(address, target string) *soak.Proxy {
	tc.t.Helper()
	proxy, err := soak.NewProxy(address, target)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(proxy.Close)
	return proxy
}

// prepare starts an upstream and returns a node that is not running yet.
func (tc *testCluster) prepare(service, datacentre string) *vm {
	tc.t.Helper()
	number := vmNumber.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 40+number/200, 1+number%200)
	up := &testUpstream{id: fmt.Sprint("i-", number), address: ip + ":8080"}
	up.set(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "complete answer") })
	l, err := net.Listen("tcp", up.address)
	if err != nil {
		tc.t.Fatal(err)
	}
	server := &http.Server{Handler: up}
	go func() { _ = server.Serve(l) }()
	up.stop = func() { _ = server.Close() }
	tc.t.Cleanup(up.stop)
	return &vm{tc: tc, up: up, cfg: &settings.Sidecar{
		VM: fmt.Sprint("vm-", number), Datacentre: datacentre, Region: "r", Service: service,
		Clients: ip + ":7001", Link: ip + ":7002", Announce: ip + ":7002", Ready: ip + ":7003", Heartbeats: ip + ":7004", Metrics: ip + ":7005",
		Upstream: up.address, Platform: tc.address,
		ApplyWithin: changeBound, Grace: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Memory: 64 << 20,
	}}
}

func (m *vm) run() {
	ctx, stop := context.WithCancel(context.Background())
	m.stop, m.done = stop, make(chan error, 1)
	n := New(m.cfg, slog.New(slog.NewJSONHandler(m.tc.logs, nil)).With("at", m.cfg.VM))
	m.node = n
	done := m.done
	go func() { done <- n.Run(ctx) }()
}

// halt shuts the node down gracefully and waits until it has stopped.
func (m *vm) halt() {
	m.stop()
	select {
	case err := <-m.done:
		m.done <- err
	case <-time.After(waitTimeout):
		m.tc.t.Error("node did not stop")
	}
}

// heartbeat sends a heartbeat of the upstream to the node.
func (m *vm) heartbeat(service, state string) {
	m.tc.t.Helper()
	m.seq++
	m.heartbeatAs(service, state, m.seq)
}

// heartbeatAs sends a heartbeat with a sequence number.
func (m *vm) heartbeatAs(service, state string, seq int) {
	m.tc.t.Helper()
	m.tell(platformtest.HeartbeatPath(m.up.id), platformtest.Heartbeat(service, m.up.address, state, seq))
}

// deregister sends the deregistration of the upstream to the node.
func (m *vm) deregister() {
	m.tc.t.Helper()
	m.tell(platformtest.DeregisterPath(m.up.id), "{}")
}

// tell sends a message of the upstream to the node, which must acknowledge it.
func (m *vm) tell(path, body string) {
	m.tc.t.Helper()
	if status := m.post(path, body); status != http.StatusOK {
		m.tc.t.Fatalf("%s: got status %d, want 200", path, status)
	}
}

// post sends a message to the node as an upstream does, and returns the status of its
// answer.
func (m *vm) post(path, body string) (status int) {
	m.tc.t.Helper()
	resp, err := http.Post("http://"+m.cfg.Heartbeats+path, "application/json", strings.NewReader(body))
	if err != nil {
		m.tc.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (m *vm) ready() bool {
	resp, err := http.Get("http://" + m.cfg.Ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client received.
type answer struct {
	status                 int
	body, seal, retryAfter string
	err                    error
}

var attemptNumber atomic.Int64

// request sends a request as a client does.
func (m *vm) request(method, path string, body []byte) answer {
	return m.requestWithin(2500*time.Millisecond, method, path, body)
}

// requestWithin is request with the remaining time of the client.
func (m *vm) requestWithin(left time.Duration, method, path string, body []byte) answer {
	return m.requestWith(nil, left, method, path, body)
}

// requestWith is requestWithin with further headers.
func (m *vm) requestWith(header http.Header, left time.Duration, method, path string, body []byte) answer {
	req, err := http.NewRequestWithContext(m.tc.t.Context(), method, "http://"+m.cfg.Clients+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h"
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(platformtest.HeaderAttempt, fmt.Sprint("a-", attemptNumber.Add(1)))
	req.Header.Set(platformtest.HeaderRemaining, fmt.Sprint(left.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(text), resp.Header.Get(platformtest.HeaderSeal), resp.Header.Get("Retry-After"), err}
}

// waitFor polls until a condition is true.
func (tc *testCluster) waitFor(what string, ok func() bool) {
	tc.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			tc.t.Fatal("timed out waiting for: ", what)
		}
	}
}

// waitServing waits until a request for the path is answered with status 200.
func (m *vm) waitServing(path string) {
	m.tc.t.Helper()
	m.tc.waitFor(m.cfg.VM+" serves "+path, func() bool { return m.request("GET", path, nil).status == http.StatusOK })
}
