// Package link connects two nodes by one connection that carries calls and a
// control stream with heartbeats and updates.
//
// Failures are detected by the link's own heartbeats and by replies, because the
// keepalive of the transport is too slow. Detection is only a suspicion: an
// unresponsive link takes no new calls and a new connection replaces it, but its
// calls continue, because the peer may still be working on them. They end by
// their replies, their deadlines or their callers, or when the process at the
// other end is known to be gone because the connection breaks or a higher
// incarnation answers.
//
// Every outcome of a call is a reply with a verdict. Errors of the transport are
// turned into replies here, because only this package knows whether the request
// was handed to the connection.
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
	// MaxMessage bounds one message in bytes. It has room for the largest body
	// with its headers.
	MaxMessage = 10 << 20
	// windowSize is the flow-control window of a stream and of a connection in
	// bytes. It lets several replies of usual size pass without a wait.
	windowSize = 1 << 20
	// bufferSize is the size of each buffer of a connection in bytes. It holds a
	// few messages of usual size and is kept small because each node holds two
	// connections to every other node.
	bufferSize = 8 << 10
	// idleTimeout is how long an accepted connection without a control stream
	// and without calls stays open. The peer never closes a half-open connection,
	// so these would accumulate.
	idleTimeout = time.Minute
)

// Handler is the local node, which serves the calls and frames of its links. Its
// methods are called concurrently and, except for Call, must not wait for the
// network.
type Handler interface {
	// Call serves a call from another node. It may block until the context
	// ends.
	Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply
	// Heartbeat returns the frame to send first on a session, and whenever a
	// heartbeat or an echo is due.
	Heartbeat(s *Session) *linkpb.ControlFrame
	// HandleFrame handles a received frame.
	HandleFrame(s *Session, f *linkpb.ControlFrame)
	// SessionOpened is called for every session, dialled or accepted.
	// SessionClosed is called once for each opened session, with the reason.
	SessionOpened(s *Session)
	SessionClosed(s *Session, reason error)
}

// Server accepts links.
type Server struct {
	linkpb.UnimplementedLinkServer
	handler       Handler
	traffic       *Traffic
	heartbeatLoop *heartbeatLoop
	grpc          *grpc.Server
	codec         *codec
	held          *heldBodies
	ctx           context.Context
	cancel        context.CancelFunc

	mu sync.Mutex
	// sessions maps the remote address of a connection, which also carries the
	// calls of the session, to its session.
	sessions map[string]*Session
}

// NewServer returns a server that serves calls with h and counts control frames
// in t.
func NewServer(h Handler, t *Traffic) *Server { return newServer(h, t, idleTimeout) }

func newServer(h Handler, t *Traffic, idle time.Duration) *Server {
	s := &Server{
		handler:       h,
		traffic:       t,
		heartbeatLoop: newHeartbeatLoop(),
		sessions:      make(map[string]*Session),
		codec:         newCodec(),
		held:          newHeldBodies(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.grpc = grpc.NewServer(
		grpc.ForceServerCodecV2(s.codec),
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

// Serve accepts links on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	go s.heartbeatLoop.run(s.ctx)
	return s.grpc.Serve(ln)
}

// Call implements linkpb.LinkServer.
func (s *Server) Call(ctx context.Context, req *linkpb.CallRequest) (*linkpb.CallReply, error) {
	if session := s.sessionOf(ctx); session != nil {
		session.callReceived()
	}
	return s.serveCall(ctx, req), nil
}

// serveCall serves a call whose message has been received.
func (s *Server) serveCall(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	var onSent func()
	reply := s.handler.Call(context.WithValue(ctx, onSentKey{}, &onSent), req)
	reply.BodyLength = uint64(len(reply.Body))
	useful := timeLeft(ctx) + sentMargin
	if !s.holdBody(reply, req.AnswerRoom, onSent, useful) {
		s.codec.expect(reply, onSent, useful)
	}
	return reply
}

// Control implements linkpb.LinkServer.
func (s *Server) Control(stream grpc.BidiStreamingServer[linkpb.ControlFrame, linkpb.ControlFrame]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	session := newSession(s.handler, s.traffic, stream, false)
	defer s.register(ctx, session)()
	defer s.heartbeatLoop.register(session)()
	_ = session.run(ctx, func(Peer) bool { return true }, func() {})
	if s.ctx.Err() != nil {
		return nil // graceful shutdown: the peer lets its calls finish
	}
	return status.Error(codes.Unavailable, "control stream ended")
}

// register records a session under its connection until the returned function
// runs.
func (s *Server) register(ctx context.Context, session *Session) (unregister func()) {
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

// sessionOf returns the session of the connection that a call arrived on, or
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

// Shutdown stops accepting links and ends the control streams. It waits for
// calls in flight until ctx ends, then closes the remaining connections.
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
