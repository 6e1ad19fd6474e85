package link

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/wait"
)

const (
	// openTimeout bounds the time until the first frame of a new connection.
	openTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the backoff before the next connection
	// attempt. The backoff doubles, with jitter that depends on the VM.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Target is a node to keep a link to.
type Target struct {
	VM string
	// Incarnation is the wanted incarnation of the VM; 0 accepts any.
	Incarnation uint64
	// Address is an ip:port.
	Address string
	// VerifyVM rejects a node that does not report VM as its name. With an
	// Incarnation the name is always verified.
	VerifyVM bool
}

// Dialer opens a connection to address, an ip:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Set keeps a link to each of its targets. It is safe for concurrent use.
type Set struct {
	handler       Handler
	traffic       *Traffic
	dial          Dialer
	group         *errgroup.Group
	ctx           context.Context
	heartbeatLoop *heartbeatLoop

	mu    sync.RWMutex
	links map[string]*link
	// draining holds the connections that take no new calls, by VM.
	draining map[string]map[*conn]struct{}
}

// link is one target with its current connection, if any.
type link struct {
	target Target
	stop   context.CancelFunc
	// wake ends the backoff before the next connection attempt.
	wake wait.Signal

	mu   sync.RWMutex
	conn *conn
}

// NewSet returns an empty set whose tasks run in group until ctx ends. t counts
// control frames.
func NewSet(ctx context.Context, group *errgroup.Group, h Handler, t *Traffic, dial Dialer) *Set {
	s := &Set{
		handler:       h,
		traffic:       t,
		dial:          dial,
		group:         group,
		ctx:           ctx,
		heartbeatLoop: newHeartbeatLoop(),
		links:         make(map[string]*link),
		draining:      make(map[string]map[*conn]struct{}),
	}
	group.Go(func() error {
		s.heartbeatLoop.run(ctx)
		return nil
	})
	return s
}

// SetTargets replaces the targets. Links to nodes that are no longer targets are
// closed once their calls have ended. A target that changes in any field gets a
// new link.
func (s *Set) SetTargets(targets []Target) {
	wanted := make(map[string]Target, len(targets))
	for _, t := range targets {
		wanted[t.VM] = t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, l := range s.links {
		if wanted[vm] != l.target {
			l.stop()
			delete(s.links, vm)
		}
	}
	for vm, t := range wanted {
		if _, ok := s.links[vm]; !ok {
			s.start(t)
		}
	}
}

func (s *Set) start(t Target) {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{target: t, stop: cancel, wake: wait.NewSignal()}
	s.links[t.VM] = l
	s.group.Go(func() error {
		defer cancel()
		s.maintain(ctx, l)
		return nil
	})
}

// Call runs a call at the node on vm and waits for its reply, which is never
// nil. If the link is suspected to have failed meanwhile, suspect is started once
// in its own goroutine and the call continues, because its reply may still
// arrive. suspected reports whether that happened. suspect may be nil.
func (s *Set) Call(ctx context.Context, vm string, req *linkpb.CallRequest, suspect func()) (reply *linkpb.CallReply, suspected bool) {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return noLink(vm), false
	}
	c := l.acquire()
	if c == nil {
		return noLink(vm), false
	}
	defer c.inFlight.Add(-1)
	if suspect == nil {
		return c.call(ctx, vm, req), false
	}
	stop := context.AfterFunc(c.suspicion, suspect)
	reply = c.call(ctx, vm, req)
	return reply, !stop()
}

func noLink(vm string) *linkpb.CallReply {
	return failure(contract.NotRun, contract.ReasonLinkLost, "no link to "+vm)
}

// Up reports whether the link to vm can carry calls.
func (s *Set) Up(vm string) bool {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return false
	}
	return l.up()
}

// HasTarget reports whether vm is a target.
func (s *Set) HasTarget(vm string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[vm] != nil
}

// Counts returns the number of targets and of links that are up.
func (s *Set) Counts() (targets, up int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.links {
		if l.up() {
			up++
		}
	}
	return len(s.links), up
}

// maintain keeps one link connected until ctx ends.
func (s *Set) maintain(ctx context.Context, l *link) {
	backoff := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		s.connect(ctx, l)
		if time.Since(start) > maxBackoff {
			backoff = minBackoff
		}
		if l.wake.Wait(ctx, jitter(backoff, l.target.VM, start)) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Wake ends the backoff of the link to vm, if it is waiting to reconnect.
func (s *Set) Wake(vm string) {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return
	}
	l.wake.Send()
}

// connect opens one connection and runs its session until the session ends or
// ctx ends because the target was removed. The calls in flight then continue
// while the connection drains.
func (s *Set) connect(ctx context.Context, l *link) {
	raw, err := s.open(l.target.Address)
	if err != nil {
		return
	}
	c := newConn(raw)
	sessionCtx, cancel := context.WithCancel(s.ctx)
	timeout := time.AfterFunc(openTimeout, cancel)
	stopOpening := context.AfterFunc(ctx, cancel)
	control, err := c.client.Control(sessionCtx, grpc.WaitForReady(false))
	if err != nil {
		timeout.Stop()
		cancel()
		c.close()
		return
	}
	c.session = newSession(s.handler, s.traffic, control, true)
	ended := make(chan struct{})
	s.group.Go(func() error {
		defer close(ended)
		defer s.heartbeatLoop.register(c.session)()
		err := c.session.run(sessionCtx, func(p Peer) bool {
			if !timeout.Stop() || !stopOpening() || !l.matches(p) {
				return false
			}
			s.endOlderIncarnations(p)
			c.peer = p
			l.setConn(c)
			return true
		}, func() { l.clearConn(c) })
		if !isGraceful(err) && sessionCtx.Err() == nil {
			c.suspect()
		}
		return nil
	})
	select {
	case <-ended:
	case <-ctx.Done():
		l.clearConn(c)
		c.session.retire(ctx.Err())
	}
	timeout.Stop()
	stopOpening()
	s.drain(c, cancel)
}

// drain closes a connection that takes no new calls once its calls have ended.
// Until then a session that still runs detects whether the connection becomes
// unresponsive. stopSession ends it afterwards.
func (s *Set) drain(c *conn, stopSession func()) {
	vm := c.session.Peer().VM
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining[vm] == nil {
		s.draining[vm] = make(map[*conn]struct{})
	}
	s.draining[vm][c] = struct{}{}
	s.group.Go(func() error {
		c.drain(s.ctx)
		stopSession()
		s.removeDrained(vm, c)
		return nil
	})
}

func (s *Set) removeDrained(vm string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.draining[vm], c)
	if len(s.draining[vm]) == 0 {
		delete(s.draining, vm)
	}
}

// endOlderIncarnations ends the calls on connections to earlier incarnations of
// a node, whose processes are gone.
func (s *Set) endOlderIncarnations(p Peer) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for c := range s.draining[p.VM] {
		if c.peer.Incarnation < p.Incarnation {
			c.markGone()
		}
	}
}

func (s *Set) open(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(s.dial),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sentObserver{}),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessage),
			grpc.MaxCallSendMsgSize(MaxMessage),
			grpc.ForceCodecV2(newCodec()),
		),
	)
}

// matches reports whether the node that answered is the target, so that a
// restarted VM at the same address never receives calls meant for the earlier
// incarnation. A target without an incarnation accepts any, as is needed for the
// first contact by address.
func (l *link) matches(p Peer) bool {
	if l.target.VerifyVM && l.target.VM != p.VM {
		return false
	}
	return l.target.Incarnation == 0 || p == Peer{VM: l.target.VM, Incarnation: l.target.Incarnation}
}

// up reports whether the link can carry calls.
func (l *link) up() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.conn != nil
}

// acquire returns the current connection, on which it counts one more call in
// flight, or nil if there is none.
func (l *link) acquire() *conn {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.conn != nil {
		l.conn.inFlight.Add(1)
	}
	return l.conn
}

func (l *link) setConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

// clearConn stops new calls on the connection.
func (l *link) clearConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
}
