package link

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/link/liveness"
	"heathershed/internal/ring"
	"heathershed/internal/wait"
)

// outRing bounds the frames that wait to be sent on one session.
const outRing = 64

// errRefused ends a session with a node that is not the wanted one.
var errRefused = errors.New("link: another node answered")

// Peer is the node at the other end of a session, known after its first frame.
type Peer struct {
	VM          string
	Incarnation uint64
}

// Session is one control stream, the same at both ends. Send is safe for
// concurrent use.
type Session struct {
	handler Handler
	stream  stream
	out     *ring.Ring[*linkpb.ControlFrame]
	dialled bool
	traffic *Traffic
	// due and silent have one pending signal when the detector says so.
	due, silent wait.Signal

	mu       sync.Mutex
	detector *liveness.Detector
	peer     Peer
	sent     uint64
	received uint64
	opened   bool
	ended    bool
}

// stream is what both generated stream types offer.
type stream interface {
	Send(*linkpb.ControlFrame) error
	Recv() (*linkpb.ControlFrame, error)
}

func newSession(h Handler, t *Traffic, s stream, dialled bool) *Session {
	return &Session{
		handler:  h,
		stream:   s,
		out:      ring.New[*linkpb.ControlFrame](outRing),
		dialled:  dialled,
		traffic:  t,
		due:      wait.NewSignal(),
		silent:   wait.NewSignal(),
		detector: liveness.New(liveness.Config{Passive: !dialled}, time.Now()),
	}
}

// Peer returns the other end; its zero value before the first frame.
func (s *Session) Peer() Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer
}

// Dialled reports whether this end opened the link.
func (s *Session) Dialled() bool { return s.dialled }

// Send queues a frame with news. It reports false, and the frame is not sent,
// where the ring is full; the digests of the next heartbeat make it good.
func (s *Session) Send(f *linkpb.ControlFrame) bool { return s.out.Offer(f) }

// heardCall tells the detector of a call that arrived on the same connection:
// while calls are answered the other end sends no heartbeats.
func (s *Session) heardCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Received(time.Now())
}

// answered tells the detector of an answer to a call that was sent at the given
// time.
func (s *Session) answered(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.ReplyReceived(time.Now(), sent)
}

// run sends and receives until the stream ends, the other end goes silent or
// the context ends. accept is called at the first frame received and may refuse
// the peer; ended is called when the session has ended, its calls may go on. The
// handler hears once of the end of each session that it heard of.
func (s *Session) run(ctx context.Context, accept func(Peer) bool, ended func()) error {
	received := make(chan error, 1)
	go func() { received <- s.receive(accept) }()
	err := s.sendLoop(ctx, received)
	told := s.end()
	ended()
	if told {
		s.handler.SessionClosed(s, err)
	}
	return err
}

// open opens the session for its peer, unless it has ended already. accept runs
// under the lock, so it never follows the call of ended.
func (s *Session) open(accept func(Peer) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || !accept(s.peer) {
		return false
	}
	s.opened = true
	return true
}

// retire ends the session for the handler, which has no use for the link any
// more. run goes on: its heartbeats tell whether the connection goes silent.
func (s *Session) retire(reason error) {
	if s.end() {
		s.handler.SessionClosed(s, reason)
	}
}

// end notes that the session is over and reports whether the handler must hear
// of it: it was open, and had not ended before.
func (s *Session) end() (told bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told = s.opened && !s.ended
	s.ended = true
	return told
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
		case <-s.silent:
			return s.silence()
		}
	}
	if errors.Is(err, io.EOF) { // the stream has ended; the receiver knows why
		return <-received
	}
	return err
}

// silence is the error of a session whose other end gave no sign of life.
func (s *Session) silence() *UnresponsiveError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &UnresponsiveError{Status: s.detector.Status(time.Now())}
}

// tick looks at the detector and signals what it says.
func (s *Session) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.Unresponsive(now) {
		s.silent.Send()
	}
	if s.detector.Due(now) {
		s.due.Send()
	}
}

// transmit stamps and sends a frame. Frames are shared between sessions, so
// the stamp goes on a shallow copy.
func (s *Session) transmit(f *linkpb.ControlFrame) error {
	stamped := &linkpb.ControlFrame{
		SentUnixUs:     time.Now().UnixMicro(),
		SentHlc:        f.SentHlc,
		Vm:             f.Vm,
		Incarnation:    f.Incarnation,
		Have:           f.Have,
		Load:           f.Load,
		Members:        f.Members,
		FetchMembers:   f.FetchMembers,
		FetchDocuments: f.FetchDocuments,
		Documents:      f.Documents,
		Vouch:          f.Vouch,
		OrderRecords:   f.OrderRecords,
	}
	s.mu.Lock()
	s.sent++
	stamped.Sequence = s.sent
	stamped.Echo = s.received
	s.detector.FrameSent(stamped.Sequence) // counts where Due has just asked for it
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
		s.note(f)
		if first {
			first = false
			if !s.open(accept) {
				return errRefused
			}
			s.handler.SessionOpened(s)
		}
		s.handler.HandleFrame(s, f)
	}
}

func (s *Session) note(f *linkpb.ControlFrame) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = f.Sequence
	s.peer = Peer{VM: f.Vm, Incarnation: f.Incarnation}
	s.detector.Received(now)
	s.detector.Echo(now, f.Echo)
}
