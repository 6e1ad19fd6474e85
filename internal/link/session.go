package link

import (
	"cmp"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/link/liveness"
	"heathershed/internal/link/transit"
	"heathershed/internal/ring"
	"heathershed/internal/wait"
)

// outCapacity bounds the frames that wait to be sent on one session.
const outCapacity = 64

// errWrongPeer ends a session with a node that is not the wanted one.
var errWrongPeer = errors.New("link: another node answered")

// Peer identifies the node at the other end of a session. It is known after the
// first frame.
type Peer struct {
	VM          string
	Incarnation uint64
}

// Session is one control stream; both ends of a link use the same type. Send is
// safe for concurrent use.
type Session struct {
	handler Handler
	stream  stream
	out     *ring.Ring[*linkpb.ControlFrame]
	dialled bool
	traffic *Traffic
	// due is signalled when the detector asks for a control frame, and
	// unresponsive when it suspects the peer.
	due, unresponsive wait.Signal

	mu       sync.Mutex
	detector *liveness.Detector
	peer     Peer
	// sent and received are the sequence numbers of the newest frame sent and
	// received.
	sent     uint64
	received uint64
	// transit estimates the delays of the received frames; delay is that of the
	// newest one.
	transit transit.Estimator
	delay   time.Duration
	// opened is set once the handler knows of the session, ended once the
	// session is over for the handler.
	opened bool
	ended  bool
}

// stream is the common part of both generated stream types.
type stream interface {
	Send(*linkpb.ControlFrame) error
	Recv() (*linkpb.ControlFrame, error)
}

func newSession(h Handler, t *Traffic, s stream, dialled bool) *Session {
	return &Session{
		handler:      h,
		stream:       s,
		out:          ring.New[*linkpb.ControlFrame](outCapacity),
		dialled:      dialled,
		traffic:      t,
		due:          wait.NewSignal(),
		unresponsive: wait.NewSignal(),
		detector:     liveness.New(liveness.Config{Passive: !dialled}, time.Now()),
	}
}

// Peer returns the node at the other end; the zero value before the first frame.
func (s *Session) Peer() Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer
}

// Dialled reports whether this end opened the link.
func (s *Session) Dialled() bool { return s.dialled }

// Delay returns for how long the newest received frame was held up on its way,
// compared with others of the recent past.
func (s *Session) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

// Send queues a frame that carries updates. It returns false, and drops the
// frame, if the queue is full. The digests in the next heartbeat let the peer
// detect and fetch what it missed.
func (s *Session) Send(f *linkpb.ControlFrame) bool { return s.out.Offer(f) }

// callReceived notifies the detector of a call on the same connection: the peer
// sends no heartbeats while its calls are answered.
func (s *Session) callReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Received(time.Now())
}

// replyReceived notifies the detector of the reply to a call that was sent at
// the given time.
func (s *Session) replyReceived(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.ReplyReceived(time.Now(), sent)
}

// run sends and receives until the stream ends, the peer becomes unresponsive or
// the context ends. accept is called with the first frame received and may
// reject the peer. ended is called when the session has ended; its calls may
// still be in flight. The handler is notified exactly once of the end of each
// session that it was notified of.
func (s *Session) run(ctx context.Context, accept func(Peer) bool, ended func()) error {
	received := make(chan error, 1)
	go func() { received <- s.receive(accept) }()
	err := s.sendLoop(ctx, received)
	notify := s.end()
	ended()
	if notify {
		s.handler.SessionClosed(s, err)
	}
	return err
}

// open opens the session for its peer unless it has already ended. accept runs
// under the lock, so that it is never called after ended.
func (s *Session) open(accept func(Peer) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || !accept(s.peer) {
		return false
	}
	s.opened = true
	return true
}

// retire ends the session for the handler, which no longer needs the link. run
// continues: its heartbeats still detect whether the connection becomes
// unresponsive.
func (s *Session) retire(reason error) {
	if s.end() {
		s.handler.SessionClosed(s, reason)
	}
}

// end marks the session as ended and reports whether the handler must be
// notified, which is the case if it was open and had not ended before.
func (s *Session) end() (notify bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notify = s.opened && !s.ended
	s.ended = true
	return notify
}

func (s *Session) sendLoop(ctx context.Context, received <-chan error) error {
	err := s.transmit(s.handler.Heartbeat(s))
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case f := <-s.out.Out():
			err = s.transmit(f)
		case <-s.due:
			err = s.transmit(s.handler.Heartbeat(s))
		case <-s.unresponsive:
			return s.unresponsiveError()
		}
	}
	if errors.Is(err, io.EOF) { // the stream has ended; Recv returns the reason
		return <-received
	}
	return err
}

// unresponsiveError returns the error of a session whose peer is suspected.
func (s *Session) unresponsiveError() *UnresponsiveError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &UnresponsiveError{Status: s.detector.Status(time.Now())}
}

// tick polls the detector and signals the send loop.
func (s *Session) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.Unresponsive(now) {
		s.unresponsive.Send()
	}
	if s.detector.Due(now) {
		s.due.Send()
	}
}

// copyFrame returns a shallow copy of a frame, without the fields that each session
// sets. A frame that has a time already, that of its content, keeps it.
func copyFrame(f *linkpb.ControlFrame) *linkpb.ControlFrame {
	return &linkpb.ControlFrame{
		SentUnixUs:     cmp.Or(f.SentUnixUs, time.Now().UnixMicro()),
		SentHlc:        f.SentHlc,
		Vm:             f.Vm,
		Incarnation:    f.Incarnation,
		Have:           f.Have,
		Load:           f.Load,
		Members:        f.Members,
		Notice:         f.Notice,
		FetchMembers:   f.FetchMembers,
		FetchDocuments: f.FetchDocuments,
		Documents:      f.Documents,
		Vouch:          f.Vouch,
		OrderRecords:   f.OrderRecords,
		CrashReports:   f.CrashReports,

		QuotaDelegation: f.QuotaDelegation,
		QuotaAsks:       f.QuotaAsks,
		QuotaGrants:     f.QuotaGrants,
	}
}

// transmit stamps and sends a frame. Frames are shared between sessions, so a copy
// is stamped.
func (s *Session) transmit(f *linkpb.ControlFrame) error {
	stamped := copyFrame(f)
	s.mu.Lock()
	s.sent++
	stamped.Sequence = s.sent
	stamped.Echo = s.received
	s.detector.FrameSent(stamped.Sequence) // has an effect only if Due has just asked for a frame
	s.mu.Unlock()
	s.traffic.sent(stamped)
	return s.stream.Send(stamped)
}

func (s *Session) receive(accept func(Peer) bool) error {
	first := true
	for {
		f, err := s.stream.Recv()
		if err != nil {
			return err
		}
		s.traffic.received(f)
		s.record(f)
		if first {
			first = false
			if !s.open(accept) {
				return errWrongPeer
			}
			s.handler.SessionOpened(s)
		}
		s.handler.HandleFrame(s, f)
	}
}

// record updates the peer, the received sequence number and the detector.
func (s *Session) record(f *linkpb.ControlFrame) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = f.Sequence
	s.delay = s.transit.Observe(now, now.UnixMicro(), f.SentUnixUs)
	s.peer = Peer{VM: f.Vm, Incarnation: f.Incarnation}
	s.detector.Received(now)
	s.detector.Echo(now, f.Echo)
}
