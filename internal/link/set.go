package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

const (
	// openTimeout bounds the time until the first frame of a new link.
	openTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the wait before another try; the wait
	// doubles and is spread by the name of the VM.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// finishTimeout bounds the wait for calls in flight on a link that the
	// other end has closed in a planned stop.
	finishTimeout = 2 * time.Minute
	// finishPoll is how often such a link is looked at.
	finishPoll = 50 * time.Millisecond
)

// Target is a node to hold a link to.
type Target struct {
	VM          string
	Incarnation uint64
	Address     string
	// Named says that the VM must be this one, in any incarnation where none
	// is given.
	Named bool
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
}

// link is one wanted target with its present connection, if any.
type link struct {
	target   Target
	stop     context.CancelFunc
	inFlight atomic.Int64
	// kick ends the wait before the next try.
	kick chan struct{}

	mu      sync.RWMutex
	session *Session
	client  linkpb.LinkClient
}

// NewSet returns an empty set whose duties run until ctx ends; group waits for
// them, t counts control frames.
func NewSet(ctx context.Context, group *errgroup.Group, h Handler, t *Traffic, dial Dialer) *Set {
	s := &Set{
		handler: h,
		traffic: t,
		dial:    dial,
		group:   group,
		ctx:     ctx,
		pulse:   newPulse(),
		links:   make(map[string]*link),
	}
	group.Go(func() error {
		s.pulse.run(ctx)
		return nil
	})
	return s
}

// Want makes the set hold links to exactly these targets. Links to others are
// closed once their calls have ended. A target with another incarnation or
// address is a new target.
func (s *Set) Want(targets []Target) {
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
	l := &link{target: t, stop: cancel, kick: make(chan struct{}, 1)}
	s.links[t.VM] = l
	s.group.Go(func() error {
		defer cancel()
		s.keep(ctx, l)
		return nil
	})
}

// Call runs a call at the node on vm. The reply is never nil.
func (s *Set) Call(ctx context.Context, vm string, req *linkpb.CallRequest) *linkpb.CallReply {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return failure(contract.NotRun, contract.ReasonLinkLost, "no link to "+vm)
	}
	return l.call(ctx, req)
}

// Up reports whether the link to vm carries calls.
func (s *Set) Up(vm string) bool {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return false
	}
	session, _ := l.up()
	return session != nil
}

// Wanted reports whether a link to vm is wanted.
func (s *Set) Wanted(vm string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[vm] != nil
}

// Counts returns the number of wanted links and of those that are up.
func (s *Set) Counts() (wanted, up int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.links {
		if session, _ := l.up(); session != nil {
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
		if l.await(ctx, spread(backoff, l.target.VM, began)) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// await sleeps for d or until the context ends, and reports whether it was
// ended early by a kick.
func (l *link) await(ctx context.Context, d time.Duration) (kicked bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-l.kick:
		return true
	}
}

// Kick makes the set try the link to vm again at once, where it waits to.
func (s *Set) Kick(vm string) {
	s.mu.RLock()
	l := s.links[vm]
	s.mu.RUnlock()
	if l == nil {
		return
	}
	signal(l.kick)
}

// connect opens one connection and runs its session to the end.
func (s *Set) connect(ctx context.Context, l *link) {
	conn, err := s.open(l.target.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := linkpb.NewLinkClient(conn)
	control, err := client.Control(ctx, grpc.WaitForReady(false))
	if err != nil {
		_ = conn.Close()
		return
	}
	timeout := time.AfterFunc(openTimeout, cancel)
	session := newSession(s.handler, s.traffic, control, true)
	leave := s.pulse.enter(session)
	err = session.run(ctx, func(p Peer) bool {
		if !timeout.Stop() || !l.is(p) {
			return false
		}
		l.set(session, client)
		return true
	}, func() { l.set(nil, nil) })
	leave()
	timeout.Stop()
	if planned(err) || ctx.Err() != nil {
		l.finish()
	}
	_ = conn.Close()
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
	if l.target.Named && l.target.VM != p.VM {
		return false
	}
	return l.target.Incarnation == 0 || p == Peer{VM: l.target.VM, Incarnation: l.target.Incarnation}
}

func (l *link) up() (*Session, linkpb.LinkClient) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.session, l.client
}

func (l *link) set(s *Session, c linkpb.LinkClient) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session, l.client = s, c
}

// finish waits until the calls in flight have ended.
func (l *link) finish() {
	deadline := time.Now().Add(finishTimeout)
	for l.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(finishPoll)
	}
}
