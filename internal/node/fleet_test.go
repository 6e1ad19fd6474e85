package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"heathershed/internal/catalogue"
	"heathershed/internal/contract"
	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/standin"
	"heathershed/internal/settings"
)

// testCatalogue has a lookup that makes a nested check, and an order.
const testCatalogue = `
[kind lookup]
owner = crews
service = front
class = lookup
idempotent = true
method = GET
path = /lookup/*
timeout = 5s
retries = 3

[kind check]
owner = crews
service = deep
class = check
idempotent = true
method = GET
path = /check/*
timeout = 5s
retries = 3

[kind unrepeated]
owner = crews
service = deep
class = check
idempotent = true
method = GET
path = /unrepeated/*
timeout = 5s
retries = 0

[kind cut]
owner = desk
service = deep
class = order
idempotent = false
method = POST
path = /cut
timeout = 5s
retries = 2
`

// fleet is a set of nodes with fake upstreams and one platform stand-in, all on
// loopback addresses in this process.
type fleet struct {
	t        testing.TB
	store    *fake.Store
	platform string
	nodes    []*member
	prepare  func(*member) // called before a node runs
	calls    func(service string) string
}

// member is one node with its upstream.
type member struct {
	cfg      *settings.Settings
	node     *Node
	ended    chan struct{} // closed when Run has returned err
	err      error
	upstream *fakeUpstream
}

// fakeUpstream is an upstream that counts the runs of each order.
type fakeUpstream struct {
	mu      sync.Mutex
	ran     map[string]int
	ln      net.Listener
	hold    atomic.Pointer[chan struct{}] // where set, requests wait until it is closed
	ingress atomic.Pointer[string]        // ingress address for nested calls
	// override, where set, may serve a request and then returns true.
	override atomic.Pointer[func(rc *fasthttp.RequestCtx) bool]
}

// lastAddress counts the loopback addresses returned by freeAddress.
var lastAddress atomic.Uint32

// freeAddress returns an address on a loopback IP of its own. No outgoing
// connection uses that IP as its source, so the port stays free until it is
// used.
func freeAddress(t testing.TB) string {
	t.Helper()
	const perBlock = 250
	n := lastAddress.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.10.%d.%d:0", n/perBlock, n%perBlock+1))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startFakeUpstream(t testing.TB) *fakeUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeUpstream{ran: make(map[string]int), ln: ln}
	server := &fasthttp.Server{Handler: s.serve}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return s
}

func (s *fakeUpstream) serve(rc *fasthttp.RequestCtx) {
	if hold := s.hold.Load(); hold != nil {
		<-*hold
	}
	if override := s.override.Load(); override != nil && (*override)(rc) {
		return
	}
	if id := string(rc.Request.Header.Peek(contract.HeaderOrder)); id != "" {
		s.mu.Lock()
		s.ran[id]++
		s.mu.Unlock()
	}
	if ingress := s.ingress.Load(); ingress != nil && string(rc.Path()) == "/lookup/1" {
		s.nestedCall(rc, *ingress)
		return
	}
	rc.SetBodyString("answer to " + string(rc.Path()))
}

func (s *fakeUpstream) nestedCall(rc *fasthttp.RequestCtx, ingress string) {
	var req fasthttp.Request
	var answer fasthttp.Response
	req.SetRequestURI("http://" + ingress + "/check/x")
	req.Header.SetBytesV(contract.HeaderCall, rc.Request.Header.Peek(contract.HeaderCall))
	if err := fasthttp.Do(&req, &answer); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	rc.SetStatusCode(answer.StatusCode())
	rc.SetBodyString(string(rc.Path()) + " under " + string(answer.Body()))
}

func (s *fakeUpstream) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// startFleet starts a platform with the test catalogue and the given number of
// nodes of each service, spread over two data centres.
func startFleet(t testing.TB, fronts, deeps int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.start(fronts, deeps)
	return f
}

// newFleet starts an empty platform and no nodes.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, store: fake.New(), prepare: func(*member) {}, calls: func(string) string { return "deep" }}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.New(f.store)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	f.platform = ln.Addr().String()
	return f
}

func (f *fleet) start(fronts, deeps int) {
	f.t.Helper()
	f.putCatalogue(testCatalogue)
	for i := range fronts {
		f.add("front", i)
	}
	for i := range deeps {
		f.add("deep", i)
	}
	f.awaitServing()
}

func (f *fleet) awaitServing() {
	f.t.Helper()
	f.await("all nodes serve and know each other", func() bool {
		for _, m := range f.nodes {
			if m.node.phase() != phaseServing || m.node.control.members.Load().count != len(f.nodes) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) putCatalogue(text string) {
	d := catalogue.Document{Text: text}
	d.Version, d.EditID, d.Author, d.Time = 1, "first", "test", time.Now()
	value, err := d.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Put(f.t.Context(), catalogue.Key, value, 0, uuid.NewString()); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) add(service string, i int) *member {
	f.t.Helper()
	return f.addWith(service, i, "dc"+strconv.Itoa(i%2), func(*settings.Settings) {})
}

func (f *fleet) addWith(service string, i int, datacentre string, change func(*settings.Settings)) *member {
	f.t.Helper()
	up := startFakeUpstream(f.t)
	cfg, err := settings.Parse("test", fmt.Appendf(nil, `
[vm]
name = %s-%d
datacentre = %s
region = west
service = %s
[addresses]
front = %s
link = %s
admin = %s
[upstream]
address = %s
slots = 20
[calls]
services = %s
[platform]
addresses = %s
`, service, i, datacentre, service, freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), up.ln.Addr(), f.calls(service), f.platform))
	if err != nil {
		f.t.Fatal(err)
	}
	change(cfg)
	up.ingress.Store(&cfg.Front)
	m := &member{cfg: cfg, upstream: up}
	f.nodes = append(f.nodes, m)
	m.start(f)
	return m
}

func (m *member) start(f *fleet) {
	t := f.t
	t.Helper()
	n, err := New(m.cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	m.node, m.ended = n, ended
	f.prepare(m)
	go func() {
		m.err = n.Run(context.Background())
		close(ended)
	}()
	t.Cleanup(func() {
		n.halt()
		<-ended
	})
}

// await polls until the condition holds. If it never does, the test fails by the
// timeout of the test binary.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for !ok() {
		for _, m := range f.nodes {
			select {
			case <-m.ended:
				if m.err != nil {
					f.t.Fatalf("%s ended: %v", m.cfg.VM, m.err)
				}
			default:
			}
		}
		select {
		case <-f.t.Context().Done():
			f.t.Fatalf("waiting for: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// result is the response that a caller receives.
type result struct {
	status          int
	verdict, reason string
	body            string
}

// send makes one request at a node's ingress.
func send(t *testing.T, m *member, method, path string, headers ...string) result {
	t.Helper()
	var req fasthttp.Request
	var answer fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + m.cfg.Front + path)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if err := fasthttp.Do(&req, &answer); err != nil {
		return result{verdict: "no answer", body: err.Error()}
	}
	return result{
		status:  answer.StatusCode(),
		verdict: string(answer.Header.Peek(contract.HeaderVerdict)),
		reason:  string(answer.Header.Peek(contract.HeaderReason)),
		body:    string(answer.Body()),
	}
}

func newOrderID(t testing.TB) string {
	t.Helper()
	id, err := contract.NewOrderID()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// totalRuns counts the runs of an order over all upstreams.
func (f *fleet) totalRuns(id string) int {
	total := 0
	for _, m := range f.nodes {
		total += m.upstream.runs(id)
	}
	return total
}

func dump(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
