// Package link joins two nodes by one connection that carries calls and one
// control stream with heartbeats and news.
//
// A link is known to be alive by its own heartbeats and by answers, not by the
// keepalive of the transport, which is too slow. That is a suspicion: a link
// found silent takes no new calls and a new connection replaces it, but its
// calls go on, since the other end may be at work on them. They end by their
// answers, their deadlines, their callers, or by proof that the process at the
// other end is gone: a connection that breaks, a higher incarnation. Every
// outcome of a call is a reply with a verdict; an error of the transport is
// turned into one here, the only place that knows whether the request was handed
// to the connection.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	linkpb "heathershed/api/link"
)

const (
	// MaxMessage bounds one message, in bytes: the largest body and headers.
	MaxMessage = 10 << 20
	// windowSize is the flow-control window of a stream and a connection, in
	// bytes: several answers of usual size without a wait.
	windowSize = 1 << 20
	// bufferSize is that of a connection's buffers, in bytes: a few messages of
	// usual size; each node holds two connections to every other.
	bufferSize = 8 << 10
	// idleTimeout is how long a connection without a control stream and without
	// calls stays open: one that has gone silent is never closed by the other end.
	idleTimeout = time.Minute
)

// Handler is the node behind a link. Its methods are called concurrently and
// must not wait for the network.
type Handler interface {
	// Call serves a call from another node; it may block until the context
	// ends.
	Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply
	// Heartbeat returns the frame to send on a session that has been quiet.
	Heartbeat(s *Session) *linkpb.ControlFrame
	// HandleFrame handles a frame.
	HandleFrame(s *Session, f *linkpb.ControlFrame)
	// SessionOpened and SessionClosed tell of every session, dialled or
	// accepted. SessionClosed is told for each opened one, with the reason.
	SessionOpened(s *Session)
	SessionClosed(s *Session, reason error)
}

// Server accepts links.
type Server struct {
	linkpb.UnimplementedLinkServer
	handler Handler
	traffic *Traffic
	pulse   *pulse
	grpc    *grpc.Server
	ctx     context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// sessions are by the address of the other end of their connection, which
	// also carries its calls.
	sessions map[string]*Session
}

// NewServer returns a server that serves calls by h and counts control frames
// in t.
func NewServer(h Handler, t *Traffic) *Server { return newServer(h, t, idleTimeout) }

func newServer(h Handler, t *Traffic, idle time.Duration) *Server {
	s := &Server{
		handler:  h,
		traffic:  t,
		pulse:    newPulse(),
		sessions: make(map[string]*Session),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idle}),
	)
	linkpb.RegisterLinkServer(s.grpc, s)
	return s
}

// Serve accepts links until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	go s.pulse.run(s.ctx)
	return s.grpc.Serve(ln)
}

// Call implements linkpb.LinkServer.
func (s *Server) Call(ctx context.Context, req *linkpb.CallRequest) (*linkpb.CallReply, error) {
	if session := s.sessionOf(ctx); session != nil {
		session.heardCall()
	}
	reply := s.handler.Call(ctx, req)
	reply.BodyLength = uint64(len(reply.Body))
	return reply, nil
}

// Control implements linkpb.LinkServer.
func (s *Server) Control(stream grpc.BidiStreamingServer[linkpb.ControlFrame, linkpb.ControlFrame]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	session := newSession(s.handler, s.traffic, stream, false)
	defer s.enter(ctx, session)()
	defer s.pulse.enter(session)()
	_ = session.run(ctx, func(Peer) bool { return true }, func() {})
	if s.ctx.Err() != nil {
		return nil // a planned stop: the other end lets its calls finish
	}
	return status.Error(codes.Unavailable, "control stream ended")
}

// enter files a session under its connection until the returned function runs.
func (s *Server) enter(ctx context.Context, session *Session) (leave func()) {
	address := remoteAddress(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[address] = session
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.sessions[address] == session {
			delete(s.sessions, address)
		}
	}
}

// sessionOf returns the session of the connection that a call came over, or
// nil.
func (s *Server) sessionOf(ctx context.Context) *Session {
	address := remoteAddress(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[address]
}

func remoteAddress(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	return p.Addr.String()
}

// Shutdown ends the control streams, lets calls in flight finish until the
// context ends, and closes the rest.
func (s *Server) Shutdown(ctx context.Context) {
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
		<-done
	}
}
