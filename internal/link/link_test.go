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

// node is a Handler whose calls wait for a word on the kind's channel.
type node struct {
	vm          string
	incarnation atomic.Uint64
	began       chan string
	release     sync.Map // kind -> chan struct{}
}

func newNode(vm string, incarnation uint64) *node {
	n := &node{vm: vm, began: make(chan string, 64)}
	n.setIncarnation(incarnation)
	return n
}

func (n *node) setIncarnation(incarnation uint64) { n.incarnation.Store(incarnation) }

func (n *node) gate(kind string) chan struct{} {
	c, _ := n.release.LoadOrStore(kind, make(chan struct{}))
	return c.(chan struct{})
}

func (n *node) Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	n.began <- req.Kind
	select {
	case <-n.gate(req.Kind):
	case <-ctx.Done(): // as a node does: what it handed over may have run
		if ctx.Err() == context.DeadlineExceeded {
			return failure(contract.MayHaveRun, contract.ReasonDeadline, "")
		}
		return failure(contract.MayHaveRun, contract.ReasonCancelled, "")
	}
	return &linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 200, Body: []byte("answer to " + req.Kind)}
}

func (n *node) Heartbeat(*Session) *linkpb.ControlFrame {
	return &linkpb.ControlFrame{Vm: n.vm, Incarnation: n.incarnation.Load()}
}
func (n *node) HandleFrame(*Session, *linkpb.ControlFrame) {}
func (n *node) SessionOpened(*Session)                     {}
func (n *node) SessionClosed(*Session, error)              {}

// wire forwards connections. On those that are open it can swallow what one
// side sends, or hold everything back for a time, while new ones work.
type wire struct {
	t     *testing.T
	ln    net.Listener
	to    string
	mu    sync.Mutex
	pipes [][2]*pipe // to the server, to the client
	// deaf says that the next connection is accepted and never answered.
	deaf bool
}

func newWire(t *testing.T, to string) *wire {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{t: t, ln: ln, to: to}
	t.Cleanup(func() { _ = ln.Close() })
	go w.accept()
	return w
}

func (w *wire) accept() {
	for {
		a, err := w.ln.Accept()
		if err != nil {
			return
		}
		if w.takeDeaf() {
			w.t.Cleanup(func() { _ = a.Close() })
			continue
		}
		b, err := net.Dial("tcp", w.to)
		if err != nil {
			_ = a.Close()
			continue
		}
		toServer, toClient := newPipe(b, a), newPipe(a, b)
		w.mu.Lock()
		w.pipes = append(w.pipes, [2]*pipe{toServer, toClient})
		w.mu.Unlock()
		go toServer.run(w.t)
		go toClient.run(w.t)
	}
}

// ignoreNext has the next connection accepted and never answered.
func (w *wire) ignoreNext() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = true
}

func (w *wire) takeDeaf() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	deaf := w.deaf
	w.deaf = false
	return deaf
}

// silence swallows bytes on the open connections from now on.
func (w *wire) silence(toServer, toClient bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pipes {
		p[0].mute(toServer)
		p[1].mute(toClient)
	}
}

// hold keeps bytes back on the open connections until the returned function
// runs; none is lost.
func (w *wire) hold() (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*pipe
	for _, p := range w.pipes {
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
	dst, src net.Conn
	held     sync.Mutex
	mu       sync.Mutex
	muted    bool
}

func newPipe(dst, src net.Conn) *pipe { return &pipe{dst: dst, src: src} }

func (p *pipe) mute(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = p.muted || on
}

func (p *pipe) Write(b []byte) (int, error) {
	p.held.Lock()
	defer p.held.Unlock()
	p.mu.Lock()
	muted := p.muted
	p.mu.Unlock()
	if muted {
		return len(b), nil
	}
	return p.dst.Write(b)
}

// run passes bytes on until an end closes. A muted pipe swallows the close too,
// and keeps it until the test ends.
func (p *pipe) run(t *testing.T) {
	_, _ = io.Copy(p, p.src)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.muted {
		t.Cleanup(func() { _ = p.dst.Close() })
		return
	}
	_ = p.dst.Close()
	_ = p.src.Close()
}

// pair is a server, a wire to it and a set that wants a link to it.
type pair struct {
	served   *node
	server   *Server
	listener *countingListener
	wire     *wire
	set      *Set
}

// serverIdle is the idle time-out of the tests' servers.
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
	served := newNode("b", 7)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(served, new(Traffic), serverIdle)
	counted := &countingListener{Listener: ln}
	go func() { _ = server.Serve(counted) }()
	w := newWire(t, ln.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	set := NewSet(ctx, group, newNode("a", 1), new(Traffic), dialPlain)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		ended, stop := context.WithCancel(context.Background())
		stop()
		server.Shutdown(ended)
	})
	return &pair{served: served, server: server, wire: w, set: set, listener: counted}
}

func (p *pair) want(incarnation uint64) {
	p.set.SetTargets([]Target{{VM: "b", Incarnation: incarnation, Address: p.wire.ln.Addr().String()}})
}

func await(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal("gave up waiting")
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (p *pair) call(ctx context.Context, kind string) chan *linkpb.CallReply {
	return p.callWatched(ctx, kind, nil)
}

func (p *pair) callWatched(ctx context.Context, kind string, suspect func()) chan *linkpb.CallReply {
	out := make(chan *linkpb.CallReply, 1)
	go func() {
		reply, _ := p.set.Call(ctx, "b", &linkpb.CallRequest{Kind: kind}, suspect)
		out <- reply
	}()
	return out
}

// suspicion says when a call is told that its link is taken for dead.
type suspicion int

const (
	never suspicion = iota
	always
	either // the call's own end may come first
)

func closedSoon(c chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

// foundBy is the stated time in which silence is found.
const foundBy = 3 * time.Second

func TestVerdictOfEachFaultDuringACall(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(p *pair)
		timeout time.Duration // of the call; 0 for none
		// suspected says that the call's link is taken for dead before it ends.
		suspected suspicion
		verdict   contract.Verdict
		reason    contract.Reason
	}{
		{"none", func(p *pair) { close(p.served.gate("k")) }, 0, never, contract.Ran, contract.ReasonNone},
		{"both ways silent", func(p *pair) { p.wire.silence(true, true) }, foundBy, always, contract.MayHaveRun, contract.ReasonDeadline},
		{"answers swallowed", func(p *pair) { p.wire.silence(false, true) }, foundBy, always, contract.MayHaveRun, contract.ReasonDeadline},
		{"requests swallowed", func(p *pair) { p.wire.silence(true, false) }, foundBy, always, contract.MayHaveRun, contract.ReasonDeadline},
		{"server gone", func(p *pair) { p.server.grpc.Stop() }, 0, either, contract.MayHaveRun, contract.ReasonLinkLost},
		{"restarted while silent", func(p *pair) {
			p.wire.silence(true, true)
			p.served.setIncarnation(8)
		}, 0, always, contract.MayHaveRun, contract.ReasonLinkLost},
		{"deadline", func(*pair) {}, 30 * time.Millisecond, never, contract.MayHaveRun, contract.ReasonDeadline},
		{"planned stop", func(p *pair) {
			go p.server.Shutdown(context.Background())
			await(p.wire.t, func() bool { return !p.set.Up("b") })
			close(p.served.gate("k"))
		}, 0, never, contract.Ran, contract.ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			p.want(0)
			await(t, func() bool { return p.set.Up("b") })
			ctx, cancel := context.WithCancel(t.Context())
			if c.timeout > 0 {
				ctx, cancel = context.WithTimeout(t.Context(), c.timeout)
			}
			defer cancel()
			suspected := make(chan struct{})
			out := p.callWatched(ctx, "k", func() { close(suspected) })
			<-p.served.began
			c.fault(p)
			reply := <-out
			if got := closedSoon(suspected); c.suspected != either && got != (c.suspected == always) {
				t.Errorf("its link was taken for dead: %v", got)
			}
			if contract.Verdict(reply.Verdict) != c.verdict || contract.Reason(reply.Reason) != c.reason {
				t.Fatalf("reply = %v %v (%s), want %v %v", contract.Verdict(reply.Verdict),
					contract.Reason(reply.Reason), reply.Detail, c.verdict, c.reason)
			}
		})
	}
}

func TestAnswerOfALinkTakenForSilentIsNotLost(t *testing.T) {
	p := newPair(t)
	p.want(7)
	await(t, func() bool { return p.set.Up("b") })
	out := p.call(t.Context(), "k")
	<-p.served.began
	release := p.wire.hold()
	await(t, func() bool { return !p.set.Up("b") })
	await(t, func() bool { return p.set.Up("b") }) // on a new connection
	close(p.served.gate("k"))
	release()
	if reply := <-out; contract.Verdict(reply.Verdict) != contract.Ran {
		t.Fatalf("call at which the other end was at work: %v %v (%s)", contract.Verdict(reply.Verdict),
			contract.Reason(reply.Reason), reply.Detail)
	}
}

func TestConnectionThatNeverAnswersIsReplaced(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.wire.ignoreNext()
	began := time.Now()
	p.want(7)
	await(t, func() bool { return p.set.Up("b") })
	if took, bound := time.Since(began), openTimeout+time.Second; took > bound {
		t.Errorf("link up after %v, want at most %v", took, bound)
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	p := newPair(t)
	p.want(7)
	await(t, func() bool { return p.set.Up("b") })
	p.wire.silence(true, true)
	await(t, func() bool { return !p.set.Up("b") })
	await(t, func() bool { return p.set.Up("b") })
	close(p.served.gate("k"))
	if reply := <-p.call(t.Context(), "k"); contract.Verdict(reply.Verdict) != contract.Ran {
		t.Fatalf("call on the new connection: %v", reply)
	}
}

func TestSilentConnectionsDoNotPileUpAtTheServer(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.want(7)
	await(t, func() bool { return p.set.Up("b") })
	p.wire.silence(true, true)
	await(t, func() bool { return !p.set.Up("b") })
	await(t, func() bool { return p.set.Up("b") && p.listener.open.Load() == 1 })
	time.Sleep(2 * serverIdle) // the link in use is not idle
	if open := p.listener.open.Load(); open != 1 || !p.set.Up("b") {
		t.Errorf("%d connections open, want the one of the link", open)
	}
}

func TestNoLinkIsNotRun(t *testing.T) {
	p := newPair(t)
	if reply := <-p.call(t.Context(), "k"); contract.Verdict(reply.Verdict) != contract.NotRun {
		t.Fatalf("call without a link: %v", reply)
	}
	p.want(8) // the VM answers with incarnation 7
	if reply := <-p.call(t.Context(), "k"); contract.Verdict(reply.Verdict) != contract.NotRun {
		t.Fatalf("call to another incarnation: %v", reply)
	}
	if p.set.Up("b") {
		t.Fatal("link to another incarnation is up")
	}
}

func TestAnswersOutOfOrderReachTheirOwnCallers(t *testing.T) {
	p := newPair(t)
	p.want(7)
	await(t, func() bool { return p.set.Up("b") })
	const calls = 32
	var outs [calls]chan *linkpb.CallReply
	for i := range calls {
		outs[i] = p.call(t.Context(), fmt.Sprint(i))
	}
	for range calls {
		<-p.served.began
	}
	for i := calls - 1; i >= 0; i-- {
		close(p.served.gate(fmt.Sprint(i)))
		if reply := <-outs[i]; string(reply.Body) != fmt.Sprintf("answer to %d", i) {
			t.Fatalf("call %d got %q", i, reply.Body)
		}
	}
}

// While answers flow the dialling end sends no heartbeats; the accepting end
// must not take that for silence.
func TestBusyLinkStaysUp(t *testing.T) {
	p := newPair(t)
	p.want(7)
	await(t, func() bool { return p.set.Up("b") })
	close(p.served.gate("k"))
	const longerThanSilence = 5 * time.Second
	for began := time.Now(); time.Since(began) < longerThanSilence; time.Sleep(50 * time.Millisecond) {
		reply := <-p.call(t.Context(), "k")
		if contract.Verdict(reply.Verdict) != contract.Ran {
			t.Fatalf("after %v: %v %s", time.Since(began), contract.Reason(reply.Reason), reply.Detail)
		}
		<-p.served.began
	}
}
