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
	// openTimeout bounds the time until the first frame of a new link.
	openTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the wait before another try; the wait
	// doubles and is spread by the name of the VM.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Target is a node to hold a link to.
type Target struct {
	VM          string
	Incarnation uint64
	Address     string
	// VerifyVM says that the VM must be this one, in any incarnation where none
	// is given.
	VerifyVM bool
}

// Dialer opens a connection to an ip:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Set holds links to the wanted targets. It is safe for concurrent use.
type Set struct {
	handler Handler
	traffic *Traffic
	dial    Dialer
	group   *errgroup.Group
	ctx     context.Context
	pulse   *pulse

	mu    sync.RWMutex
	links map[string]*link
	// draining are connections that take no new calls, by the VM at their end.
	draining map[string]map[*conn]struct{}
}

// link is one wanted target with its present connection, if any.
type link struct {
	target Target
	stop   context.CancelFunc
	// kick ends the wait before the next try.
	kick wait.Signal

	mu   sync.RWMutex
	conn *conn
}

// NewSet returns an empty set whose duties run until ctx ends; group waits for
// them, t counts control frames.
func NewSet(ctx context.Context, group *errgroup.Group, h Handler, t *Traffic, dial Dialer) *Set {
	s := &Set{
		handler:  h,
		traffic:  t,
		dial:     dial,
		group:    group,
		ctx:      ctx,
		pulse:    newPulse(),
		links:    make(map[string]*link),
		draining: make(map[string]map[*conn]struct{}),
	}
	group.Go(func() error {
		s.pulse.run(ctx)
		return nil
	})
	return s
}

// SetTargets makes the set hold links to exactly these targets. Links to others are
// closed once their calls have ended. A target with another incarnation or
// address is a new target.
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
	l := &link{target: t, stop: cancel, kick: wait.NewSignal()}
	s.links[t.VM] = l
	s.group.Go(func() error {
		defer cancel()
		s.keep(ctx, l)
		return nil
	})
}

// Call runs a call at the node on vm and waits for its end; the reply is never
// nil. Where the link is taken for dead meanwhile, suspect is started once in a
// goroutine of its own, and the call goes on: its answer may still come. Call
// reports whether suspect was started; it may be nil.
func (s *Set) Call(ctx context.Context, vm string, req *linkpb.CallRequest, suspect func()) (reply *linkpb.CallReply, suspected bool) {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return noLink(vm), false
	}
	c := l.enter()
	if c == nil {
		return noLink(vm), false
	}
	defer c.inFlight.Add(-1)
	if suspect == nil {
		return c.call(ctx, vm, req), false
	}
	stop := context.AfterFunc(c.doubt, suspect)
	reply = c.call(ctx, vm, req)
	return reply, !stop()
}

func noLink(vm string) *linkpb.CallReply {
	return failure(contract.NotRun, contract.ReasonLinkLost, "no link to "+vm)
}

// Up reports whether the link to vm carries calls.
func (s *Set) Up(vm string) bool {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return false
	}
	return l.up()
}

// HasTarget reports whether a link to vm is wanted.
func (s *Set) HasTarget(vm string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[vm] != nil
}

// Counts returns the number of wanted links and of those that are up.
func (s *Set) Counts() (wanted, up int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.links {
		if l.up() {
			up++
		}
	}
	return len(s.links), up
}

// keep is the duty of one link: it connects, and connects again.
func (s *Set) keep(ctx context.Context, l *link) {
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		s.connect(ctx, l)
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		if l.kick.Wait(ctx, spread(backoff, l.target.VM, began)) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Wake makes the set try the link to vm again at once, where it waits to.
func (s *Set) Wake(vm string) {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return
	}
	l.kick.Send()
}

// connect opens one connection and runs its session until it ends or the link is
// not wanted any more. Calls that are in flight then go on.
func (s *Set) connect(ctx context.Context, l *link) {
	raw, err := s.open(l.target.Address)
	if err != nil {
		return
	}
	c := newConn(raw)
	running, cancel := context.WithCancel(s.ctx)
	timeout := time.AfterFunc(openTimeout, cancel)
	stopOpening := context.AfterFunc(ctx, cancel)
	control, err := c.client.Control(running, grpc.WaitForReady(false))
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
		defer s.pulse.enter(c.session)()
		err := c.session.run(running, func(p Peer) bool {
			if !timeout.Stop() || !stopOpening() || !l.is(p) {
				return false
			}
			s.endOlder(p)
			c.peer = p
			l.set(c)
			return true
		}, func() { l.unset(c) })
		if !planned(err) && running.Err() == nil {
			c.suspect()
		}
		return nil
	})
	select {
	case <-ended:
	case <-ctx.Done():
		l.unset(c)
		c.session.retire(ctx.Err())
	}
	timeout.Stop()
	stopOpening()
	s.drain(c, cancel)
}

// drain closes a connection that takes no new calls once its calls have ended.
// Until then its session, where it still runs, watches whether it goes silent;
// over ends it.
func (s *Set) drain(c *conn, over func()) {
	vm := c.session.Peer().VM
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining[vm] == nil {
		s.draining[vm] = make(map[*conn]struct{})
	}
	s.draining[vm][c] = struct{}{}
	s.group.Go(func() error {
		c.drain(s.ctx)
		over()
		s.drained(vm, c)
		return nil
	})
}

func (s *Set) drained(vm string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.draining[vm], c)
	if len(s.draining[vm]) == 0 {
		delete(s.draining, vm)
	}
}

// endOlder ends the calls on connections to earlier starts of a node: the
// process that had them is gone.
func (s *Set) endOlder(p Peer) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for c := range s.draining[p.VM] {
		if c.peer.Incarnation < p.Incarnation {
			c.giveUp()
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
		),
	)
}

// is reports whether the node that answered is the wanted one: a restarted VM
// at the same address never inherits what was meant for the old one. A target
// without an incarnation is a first contact by address.
func (l *link) is(p Peer) bool {
	if l.target.VerifyVM && l.target.VM != p.VM {
		return false
	}
	return l.target.Incarnation == 0 || p == Peer{VM: l.target.VM, Incarnation: l.target.Incarnation}
}

// up reports whether the link carries calls.
func (l *link) up() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.conn != nil
}

// enter counts a call in flight on the present connection and returns it; nil
// where there is none.
func (l *link) enter() *conn {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.conn != nil {
		l.conn.inFlight.Add(1)
	}
	return l.conn
}

func (l *link) set(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

// unset has the connection take no new calls.
func (l *link) unset(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
}
