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

// patience bounds every wait for something that must happen.
const patience = 10 * time.Second

// world is a stand-in of the object API with nodes and upstreams on loopback.
type world struct {
	t       testing.TB
	store   *fake.Store
	address string
	logs    *logBook
}

// logBook keeps what the nodes log, to show it where a test fails.
type logBook struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBook) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBook) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{t: t, store: fake.New(), logs: &logBook{}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.logs)
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := standin.New(w.store)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	w.address = l.Addr().String()
	return w
}

// configure writes a configuration in which each service has a route /NAME/ of
// lookups and a route /NAME-order/ of orders.
func (w *world) configure(version int, services ...string) {
	w.t.Helper()
	w.write(platformtest.Config(version, services...))
}

// write writes a configuration.
func (w *world) write(spec string) {
	w.t.Helper()
	objects := platform.NewObjectClient(w.address)
	old, err := objects.Get(w.t.Context(), platform.ConfigKind, platform.ConfigName)
	if err != nil {
		old = platform.Object{Name: platform.ConfigName}
	}
	if _, err := objects.Put(w.t.Context(), platform.ConfigKind, platform.Object{Name: old.Name, Revision: old.Revision, Spec: []byte(spec)}); err != nil {
		w.t.Fatal(err)
	}
}

// backEnd is an upstream under test.
type backEnd struct {
	id, address string
	ran         atomic.Int64
	mu          sync.Mutex
	handle      http.HandlerFunc
}

func (u *backEnd) set(h http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handle = h
}

// ServeHTTP checks that it is meant, as the platform's upstreams do.
func (u *backEnd) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platformtest.HeaderExpected) != u.id {
		rw.Header().Set(platformtest.HeaderInstance, u.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.ran.Add(1)
	u.mu.Lock()
	handle := u.handle
	u.mu.Unlock()
	rw.Header().Set(platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt))
	rw.Header().Set(platformtest.HeaderSeal, "seal-"+u.id)
	handle(rw, r)
}

// vm is a node with the upstream beside it.
type vm struct {
	w    *world
	up   *backEnd
	cfg  *settings.Sidecar
	node *Node
	stop context.CancelFunc
	done chan error
	seq  int
}

var vmNumber atomic.Int32

// start starts an upstream and a node beside it in the data centre "west", on a
// loopback address of their own, apart from other runs of the tests.
func (w *world) start(service string) *vm {
	w.t.Helper()
	return w.startIn(service, "west")
}

// startIn does so in any data centre.
func (w *world) startIn(service, datacentre string) *vm {
	w.t.Helper()
	m := w.prepare(service, datacentre)
	m.run()
	w.t.Cleanup(m.halt)
	return m
}

// startBehind does so with a proxy before the node's links.
func (w *world) startBehind(service string) (*vm, *soak.Proxy) {
	w.t.Helper()
	m := w.prepare(service, "west")
	m.cfg.Announce = strings.Replace(m.cfg.Link, ":7002", ":7012", 1)
	proxy, err := soak.NewProxy(m.cfg.Announce, m.cfg.Link)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(proxy.Close)
	m.run()
	w.t.Cleanup(m.halt)
	return m, proxy
}

// prepare starts an upstream and returns a node that does not run yet.
func (w *world) prepare(service, datacentre string) *vm {
	w.t.Helper()
	number := vmNumber.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 40+number/200, 1+number%200)
	up := &backEnd{id: fmt.Sprint("i-", number), address: ip + ":8080"}
	up.set(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "whole answer") })
	l, err := net.Listen("tcp", up.address)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: up}
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { _ = server.Close() })
	return &vm{w: w, up: up, cfg: &settings.Sidecar{
		VM: fmt.Sprint("vm-", number), Datacentre: datacentre, Region: "r", Service: service,
		Clients: ip + ":7001", Link: ip + ":7002", Announce: ip + ":7002", Ready: ip + ":7003", Heartbeats: ip + ":7004", Metrics: ip + ":7005",
		Upstream: up.address, Platform: w.address,
		Grace: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Memory: 64 << 20,
	}}
}

func (m *vm) run() {
	ctx, stop := context.WithCancel(context.Background())
	m.stop, m.done = stop, make(chan error, 1)
	n := New(m.cfg, slog.New(slog.NewJSONHandler(m.w.logs, nil)).With("at", m.cfg.VM))
	m.node = n
	done := m.done
	go func() { done <- n.Run(ctx) }()
}

// halt stops the node in order and waits for its end.
func (m *vm) halt() {
	m.stop()
	select {
	case err := <-m.done:
		m.done <- err
	case <-time.After(patience):
		m.w.t.Error("node did not stop")
	}
}

// beat sends a heartbeat of the upstream.
func (m *vm) beat(service, state string) {
	m.w.t.Helper()
	m.seq++
	body := platformtest.Heartbeat(service, m.up.address, state, m.seq)
	resp, err := http.Post("http://"+m.cfg.Heartbeats+platformtest.HeartbeatPath(m.up.id), "application/json", strings.NewReader(body))
	if err != nil {
		m.w.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		m.w.t.Fatalf("heartbeat: %d", resp.StatusCode)
	}
}

func (m *vm) ready() bool {
	resp, err := http.Get("http://" + m.cfg.Ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	status            int
	body, seal, again string
	err               error
}

var attemptNumber atomic.Int64

// ask sends a request as a client does.
func (m *vm) ask(method, path string, body []byte) answer {
	return m.askFor(2500*time.Millisecond, method, path, body)
}

// askFor does so with so much time.
func (m *vm) askFor(left time.Duration, method, path string, body []byte) answer {
	req, err := http.NewRequestWithContext(m.w.t.Context(), method, "http://"+m.cfg.Clients+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h"
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

// until waits for a condition.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatal("in vain: ", what)
		}
	}
}

// serves waits until a request on the path is answered 200.
func (m *vm) serves(path string) {
	m.w.t.Helper()
	m.w.until(m.cfg.VM+" serves "+path, func() bool { return m.ask("GET", path, nil).status == http.StatusOK })
}
