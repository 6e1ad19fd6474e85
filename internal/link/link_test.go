package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// testNode is a Handler whose calls wait until the channel of their kind is
// closed.
type testNode struct {
	vm          string
	incarnation atomic.Uint64
	started     chan string
	release     sync.Map // kind -> chan struct{}
	// status is the status of the replies, header a further header of them if not nil.
	status atomic.Uint32
	header atomic.Pointer[linkpb.Header]
}

func newTestNode(vm string, incarnation uint64) *testNode {
	n := &testNode{vm: vm, started: make(chan string, 64)}
	n.setIncarnation(incarnation)
	n.status.Store(200)
	return n
}

func (n *testNode) setIncarnation(incarnation uint64) { n.incarnation.Store(incarnation) }

func (n *testNode) releaseOf(kind string) chan struct{} {
	c, _ := n.release.LoadOrStore(kind, make(chan struct{}))
	return c.(chan struct{})
}

func (n *testNode) Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	n.started <- req.Kind
	select {
	case <-n.releaseOf(req.Kind):
	case <-ctx.Done(): // like a real node: a request that was handed over may have run
		if ctx.Err() == context.DeadlineExceeded {
			return failure(contract.MayHaveRun, contract.ReasonDeadline, "")
		}
		return failure(contract.MayHaveRun, contract.ReasonCancelled, "")
	}
	reply := &linkpb.CallReply{Verdict: uint32(contract.Ran), Status: n.status.Load(), Body: []byte("answer to " + req.Kind)}
	reply.Headers = []*linkpb.Header{{Name: []byte("X"), Value: []byte("1")}}
	if header := n.header.Load(); header != nil {
		reply.Headers = append(reply.Headers, header)
	}
	return reply
}

func (n *testNode) Heartbeat(*Session) *linkpb.ControlFrame {
	return &linkpb.ControlFrame{Vm: n.vm, Incarnation: n.incarnation.Load()}
}
func (n *testNode) HandleFrame(*Session, *linkpb.ControlFrame) {}
func (n *testNode) SessionOpened(*Session)                     {}
func (n *testNode) SessionClosed(*Session, error)              {}

// proxy forwards TCP connections. On the open ones it can drop the data of one
// direction, or delay all data, while new connections work.
type proxy struct {
	t     *testing.T
	ln    net.Listener
	to    string
	mu    sync.Mutex
	pipes [][2]*pipe // to the server, to the client
	// ignore makes the next connection be accepted and never answered.
	ignore bool
}

func newProxy(t *testing.T, to string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	px := &proxy{t: t, ln: ln, to: to}
	t.Cleanup(func() { _ = ln.Close() })
	go px.accept()
	return px
}

func (px *proxy) accept() {
	for {
		a, err := px.ln.Accept()
		if err != nil {
			return
		}
		if px.takeIgnore() {
			px.t.Cleanup(func() { _ = a.Close() })
			continue
		}
		b, err := net.Dial("tcp", px.to)
		if err != nil {
			_ = a.Close()
			continue
		}
		toServer, toClient := newPipe(b, a), newPipe(a, b)
		px.mu.Lock()
		px.pipes = append(px.pipes, [2]*pipe{toServer, toClient})
		px.mu.Unlock()
		go toServer.run(px.t)
		go toClient.run(px.t)
	}
}

// ignoreNext makes the next connection be accepted and never answered.
func (px *proxy) ignoreNext() {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.ignore = true
}

func (px *proxy) takeIgnore() bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	ignore := px.ignore
	px.ignore = false
	return ignore
}

// drop discards data on the open connections from now on.
func (px *proxy) drop(toServer, toClient bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, p := range px.pipes {
		p[0].discard(toServer)
		p[1].discard(toClient)
	}
}

// hold delays all data on the open connections until the returned function is
// called. No data is lost.
func (px *proxy) hold() (release func()) {
	px.mu.Lock()
	defer px.mu.Unlock()
	var all []*pipe
	for _, p := range px.pipes {
		all = append(all, p[0], p[1])
	}
	for _, p := range all {
		p.held.Lock()
	}
	return func() {
		for _, p := range all {
			p.held.Unlock()
		}
	}
}

type pipe struct {
	dst, src   net.Conn
	held       sync.Mutex
	mu         sync.Mutex
	discarding bool
}

func newPipe(dst, src net.Conn) *pipe { return &pipe{dst: dst, src: src} }

func (p *pipe) discard(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discarding = p.discarding || on
}

func (p *pipe) Write(b []byte) (int, error) {
	p.held.Lock()
	defer p.held.Unlock()
	p.mu.Lock()
	discarding := p.discarding
	p.mu.Unlock()
	if discarding {
		return len(b), nil
	}
	return p.dst.Write(b)
}

// run forwards data until one end closes. A pipe that discards data hides the
// close as well, until the test ends.
func (p *pipe) run(t *testing.T) {
	_, _ = io.Copy(p, p.src)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.discarding {
		t.Cleanup(func() { _ = p.dst.Close() })
		return
	}
	_ = p.dst.Close()
	_ = p.src.Close()
}

// pair is a server, a proxy to it and a set that keeps a link to it.
type pair struct {
	served   *testNode
	server   *Server
	listener *countingListener
	proxy    *proxy
	set      *Set
}

// serverIdle is the idle timeout of the test servers.
const serverIdle = 500 * time.Millisecond

// countingListener counts its open connections.
type countingListener struct {
	net.Listener
	open atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: c, open: &l.open}, nil
}

type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int32
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func dialPlain(_ context.Context, address string) (net.Conn, error) { return net.Dial("tcp", address) }

func newPair(t *testing.T) *pair {
	t.Helper()
	served := newTestNode("b", 7)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(served, new(Traffic), serverIdle)
	counted := &countingListener{Listener: ln}
	go func() { _ = server.Serve(counted) }()
	px := newProxy(t, ln.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	set := NewSet(ctx, group, newTestNode("a", 1), new(Traffic), dialPlain)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		cancelled, stop := context.WithCancel(context.Background())
		stop()
		server.Shutdown(cancelled)
	})
	return &pair{served: served, server: server, proxy: px, set: set, listener: counted}
}

func (p *pair) setTarget(incarnation uint64) {
	p.set.SetTargets([]Target{{VM: "b", Incarnation: incarnation, Address: p.proxy.ln.Addr().String()}})
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not met before the test timeout")
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (p *pair) call(ctx context.Context, kind string) chan *linkpb.CallReply {
	return p.callWithSuspect(ctx, kind, nil)
}

func (p *pair) callWithSuspect(ctx context.Context, kind string, suspect func()) chan *linkpb.CallReply {
	out := make(chan *linkpb.CallReply, 1)
	go func() {
		reply, _ := p.set.Call(ctx, "b", &linkpb.CallRequest{Kind: kind}, suspect)
		out <- reply
	}()
	return out
}

// expectation says whether a call must be notified that its link is suspected.
type expectation int

const (
	never expectation = iota
	always
	either // the call may end first
)

func closedSoon(c chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

// detectionBound is the stated bound for detecting an unresponsive link.
const detectionBound = 3 * time.Second

// Guards against a wrong verdict when a link fails during a call.
func TestVerdictOfCallUnderLinkFault(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(p *pair)
		timeout time.Duration // of the call; 0 for none
		// suspected says whether the link is suspected before the call ends.
		suspected expectation
		verdict   contract.Verdict
		reason    contract.Reason
	}{
		{"none", func(p *pair) { close(p.served.releaseOf("k")) }, 0, never, contract.Ran, contract.ReasonNone},
		{"no data in both directions", func(p *pair) { p.proxy.drop(true, true) }, detectionBound, always, contract.MayHaveRun, contract.ReasonDeadline},
		{"replies lost", func(p *pair) { p.proxy.drop(false, true) }, detectionBound, always, contract.MayHaveRun, contract.ReasonDeadline},
		{"requests lost", func(p *pair) { p.proxy.drop(true, false) }, detectionBound, always, contract.MayHaveRun, contract.ReasonDeadline},
		{"server stopped", func(p *pair) { p.server.grpc.Stop() }, 0, either, contract.MayHaveRun, contract.ReasonLinkLost},
		{"restarted while unresponsive", func(p *pair) {
			p.proxy.drop(true, true)
			p.served.setIncarnation(8)
		}, 0, always, contract.MayHaveRun, contract.ReasonLinkLost},
		{"deadline", func(*pair) {}, 30 * time.Millisecond, never, contract.MayHaveRun, contract.ReasonDeadline},
		{"graceful shutdown", func(p *pair) {
			go p.server.Shutdown(context.Background())
			waitFor(p.proxy.t, func() bool { return !p.set.Up("b") })
			close(p.served.releaseOf("k"))
		}, 0, never, contract.Ran, contract.ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			p.setTarget(0)
			waitFor(t, func() bool { return p.set.Up("b") })
			ctx, cancel := context.WithCancel(t.Context())
			if c.timeout > 0 {
				ctx, cancel = context.WithTimeout(t.Context(), c.timeout)
			}
			defer cancel()
			suspected := make(chan struct{})
			out := p.callWithSuspect(ctx, "k", func() { close(suspected) })
			<-p.served.started
			c.fault(p)
			reply := <-out
			if got := closedSoon(suspected); c.suspected != either && got != (c.suspected == always) {
				t.Errorf("link suspected during the call: %v, not as expected for this fault", got)
			}
			if contract.Verdict(reply.Verdict) != c.verdict || contract.Reason(reply.Reason) != c.reason {
				t.Fatalf("reply: got %v %v (%s), want %v %v", contract.Verdict(reply.Verdict),
					contract.Reason(reply.Reason), reply.Detail, c.verdict, c.reason)
			}
		})
	}
}

// Guards against losing the reply of a call whose link was suspected although
// its data was only delayed.
func TestReplyOnSuspectedLinkIsNotLost(t *testing.T) {
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	out := p.call(t.Context(), "k")
	<-p.served.started
	release := p.proxy.hold()
	waitFor(t, func() bool { return !p.set.Up("b") })
	waitFor(t, func() bool { return p.set.Up("b") }) // on a new connection
	close(p.served.releaseOf("k"))
	release()
	if reply := <-out; contract.Verdict(reply.Verdict) != contract.Ran {
		t.Fatalf("call on the suspected link: got %v %v (%s), want ran", contract.Verdict(reply.Verdict),
			contract.Reason(reply.Reason), reply.Detail)
	}
}

// Guards against a link that waits forever for a connection that is accepted but
// never answered.
func TestUnansweredConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.proxy.ignoreNext()
	start := time.Now()
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	if took, bound := time.Since(start), openTimeout+time.Second; took > bound {
		t.Errorf("link up after %v, want at most %v", took, bound)
	}
}

// Guards against calls that keep using an unresponsive connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	p.proxy.drop(true, true)
	waitFor(t, func() bool { return !p.set.Up("b") })
	waitFor(t, func() bool { return p.set.Up("b") })
	close(p.served.releaseOf("k"))
	if reply := <-p.call(t.Context(), "k"); contract.Verdict(reply.Verdict) != contract.Ran {
		t.Fatalf("call on the new connection: got %v, want ran", reply)
	}
}

// Guards against half-open connections that accumulate at the server, because
// their close never arrives.
func TestServerClosesUnresponsiveConnections(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	p.proxy.drop(true, true)
	waitFor(t, func() bool { return !p.set.Up("b") })
	waitFor(t, func() bool { return p.set.Up("b") && p.listener.open.Load() == 1 })
	time.Sleep(2 * serverIdle) // the connection in use must not count as idle
	if open := p.listener.open.Load(); open != 1 || !p.set.Up("b") {
		t.Errorf("%d connections open, want only that of the link, which must be up", open)
	}
}

// Guards against calls that run without a link, or at another incarnation than
// the wanted one.
func TestCallWithoutLinkIsNotRun(t *testing.T) {
	p := newPair(t)
	if reply := <-p.call(t.Context(), "k"); contract.Verdict(reply.Verdict) != contract.NotRun {
		t.Fatalf("call without a link: got %v, want not-run", reply)
	}
	p.setTarget(8) // the VM answers with incarnation 7
	if reply := <-p.call(t.Context(), "k"); contract.Verdict(reply.Verdict) != contract.NotRun {
		t.Fatalf("call to another incarnation: got %v, want not-run", reply)
	}
	if p.set.Up("b") {
		t.Fatal("link to another incarnation is up")
	}
}

// Guards against replies that reach the wrong caller when calls end in another
// order than they began.
func TestOutOfOrderRepliesReachTheirCallers(t *testing.T) {
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	const calls = 32
	var outs [calls]chan *linkpb.CallReply
	for i := range calls {
		outs[i] = p.call(t.Context(), fmt.Sprint(i))
	}
	for range calls {
		<-p.served.started
	}
	for i := calls - 1; i >= 0; i-- {
		close(p.served.releaseOf(fmt.Sprint(i)))
		if reply := <-outs[i]; string(reply.Body) != fmt.Sprintf("answer to %d", i) {
			t.Fatalf("call %d: got %q, want its own answer", i, reply.Body)
		}
	}
}

// Guards against the accepting end suspecting a busy link: the dialling end sends
// no heartbeats while replies arrive.
func TestBusyLinkStaysUp(t *testing.T) {
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	close(p.served.releaseOf("k"))
	const longerThanDetection = 5 * time.Second
	for started := time.Now(); time.Since(started) < longerThanDetection; time.Sleep(50 * time.Millisecond) {
		reply := <-p.call(t.Context(), "k")
		if contract.Verdict(reply.Verdict) != contract.Ran {
			t.Fatalf("call after %v: got %v (%s), want ran", time.Since(started), contract.Reason(reply.Reason), reply.Detail)
		}
		<-p.served.started
	}
}
