// Package ingress is the HTTP server of a node for callers and for its local
// upstream. It reads complete requests, watches whether the caller stays
// connected, and writes answers with their verdicts.
//
// A caller that closes its connection, or only its sending side, has left: its
// request is cancelled.
package ingress

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/endpoint"
	"heathershed/internal/memory"
)

const (
	// maxBody bounds the body of a request in bytes where the HTTP library reads it.
	maxBody = 8 << 20
	// MaxBody bounds the body of a request in bytes that is read completely before the
	// request is handled; the options may give a lower bound.
	MaxBody = 9 << 20
	// maxStreamed lets the HTTP library pass on all bodies where the server reads
	// them.
	maxStreamed = math.MaxInt32
	// framingDivisor gives the bytes that chunk sizes and extensions may take, as a part of
	// the bound on the body, and maxFraming what they may take besides, with the header.
	framingDivisor = 8
	maxFraming     = 64 << 10
	// readTimeout bounds the time that a caller takes to send a request.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time that a caller takes to read an answer.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 90 * time.Second
)

// Handler serves one request. The context ends when the caller leaves. rc must
// not be used after Handler returns.
type Handler func(ctx context.Context, rc *fasthttp.RequestCtx)

// Server serves callers. The zero value is not usable; see New.
type Server struct {
	http     *fasthttp.Server
	options  Options
	guard    *guard
	draining atomic.Bool
	// pipeline runs pipelined requests ahead; nil if none are.
	pipeline *pipeline
}

// Options are the options of a Server. A zero field selects its default.
type Options struct {
	// HeaderBytes bounds the request line and headers of a request in bytes. The
	// default is 4 KiB.
	HeaderBytes int
	// IdleTimeout is how long a connection without requests stays open. The
	// default is 90 s.
	IdleTimeout time.Duration
	// Bodies makes the server read bodies within a budget. The default is to let the
	// HTTP library read them. The body that a handler gets stays valid after it.
	Bodies *BodyOptions
	// Responses bounds the bytes of the answers of requests that have run ahead, while they
	// wait to be read by their clients. Handlers of other requests reserve memory
	// themselves, see SetAnswer. The default is no bound.
	Responses *memory.Budget
	// SmallQueues says that the listener keeps what the kernel holds for a connection
	// small, so that more is needed while a large body or answer passes.
	SmallQueues bool
	// MaxConns bounds the open connections. The default is no bound.
	MaxConns int
	// Idempotent says which requests may run before their answers are due, beside
	// others of their connection. If nil, the requests of a connection run one by one.
	Idempotent Idempotent
	// AnswerSize bounds how many requests run ahead by what their answers will take. The
	// default is to expect nothing.
	AnswerSize AnswerSize
	// Log receives the errors that end connections. The default is standard
	// error.
	Log fasthttp.Logger
}

// New returns a server with default options that passes each request to handle.
func New(handle Handler) *Server { return NewWithOptions(Options{}, handle) }

// NewWithOptions returns a server that passes each request to handle.
func NewWithOptions(o Options, handle Handler) *Server {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = idleTimeout
	}
	s := &Server{options: o, guard: newGuard(o.MaxConns, o.SmallQueues)}
	s.guard.lingering.request = s.requestBytes
	if o.Idempotent != nil {
		s.pipeline = newPipeline(o, handle, &s.draining)
	}
	s.http = &fasthttp.Server{
		Handler:                      func(rc *fasthttp.RequestCtx) { s.serve(rc, handle) },
		Name:                         "heathershed",
		MaxRequestBodySize:           maxBody,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  o.IdleTimeout,
		ReadBufferSize:               o.HeaderBytes,
		Logger:                       o.Log,
		NoDefaultServerHeader:        true,
		ReduceMemoryUsage:            true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true, // what a client sent may contain its key
	}
	if o.Bodies != nil {
		s.http.StreamRequestBody = true
		s.http.MaxRequestBodySize = maxStreamed
		s.http.HeaderReceived = o.Bodies.checkLength
	}
	return s
}

// serve serves a request whose head has been read.
func (s *Server) serve(rc *fasthttp.RequestCtx, handle Handler) {
	upload, release, ok := s.readBody(rc)
	defer release()
	if !ok {
		return
	}
	if upload != nil {
		setBusy(rc.Conn())
		serveUpload(rc, upload, handle)
		return
	}
	switch c := rc.Conn().(type) {
	case *pipelinedConn:
		setBusy(c)
		c.serve(rc)
	case *watchedConn:
		setBusy(c)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.watch(cancel)
		defer c.unwatch()
		handle(ctx, rc)
		if s.draining.Load() {
			rc.SetConnectionClose()
		}
	}
}

// readBody reads the body of a request where the server does so, or returns the one that is
// to be passed on as it arrives. If that fails, it answers the request and ok is false.
// release gives back the memory of the body.
func (s *Server) readBody(rc *fasthttp.RequestCtx) (upload *Upload, release func(), ok bool) {
	if s.options.Bodies == nil {
		return nil, func() {}, true
	}
	body, upload, give, err := s.options.Bodies.read(rc)
	if err != nil {
		rc.SetConnectionClose()
		lingerOnClose(rc.Conn())
		s.options.Bodies.Refuse(rc, err)
		return nil, give, false
	}
	rc.Request.SetBodyRaw(body)
	return upload, func() {
		rc.Request.ResetBody() // the answer may wait for its client much longer
		give()
	}, true
}

// setBusy records that a connection has sent a complete request.
func setBusy(c net.Conn) {
	if g := guardOf(c); g != nil {
		g.setBusy()
	}
}

// requestBytes returns the bound on what is read for one request in bytes: the body, an
// eighth of that for chunk sizes and extensions, and the header.
func (s *Server) requestBytes() int64 {
	body := MaxBody
	if s.options.Bodies != nil {
		body = max(body, s.options.Bodies.Limit())
	}
	return int64(body) + int64(body)/framingDivisor + maxFraming
}

// Serve accepts connections on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	bounded := guardedListener{endpoint.BoundedBy(ln, s.requestBytes), s.guard}
	if s.pipeline != nil {
		return s.http.Serve(pipelinedListener{bounded, s.pipeline})
	}
	return s.http.Serve(watchedListener{bounded})
}

// Connections returns the number of open connections, and of those that were closed
// since the start because there were too many.
func (s *Server) Connections() (open int, closed int64) { return s.guard.stats() }

// UnreadRefusals returns the number of refused connections since the start that were closed
// without reading the rest of what their clients sent, as too many others were read.
func (s *Server) UnreadRefusals() int64 { return s.guard.lingering.skipped.Load() }

// ReadAheadBytes returns the memory of read-ahead buffers, of requests that run before
// their answers are due, and of answers that wait for their turn.
func (s *Server) ReadAheadBytes() int64 {
	if s.pipeline == nil {
		return 0
	}
	return s.pipeline.memory.Load()
}

// Drain moves callers to other nodes: from now on each answer closes its connection, but
// for those with further ones behind them to requests that have run ahead. Requests are
// still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown drains, waits until no answer to a request that has run ahead is owed, closes
// the listener, and waits for requests in flight, all until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if s.pipeline != nil {
		s.pipeline.awaitEnd(ctx) // then the HTTP library ends each connection behind its next answer
	}
	return s.http.ShutdownWithContext(ctx)
}
