// Package ingress is the HTTP side of a node towards callers and its own
// upstream: it reads a request whole, watches that its caller stays, and
// writes the answer with its verdict.
//
// A caller that closes its connection, or only its sending side, has left: its
// request is cancelled.
package ingress

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxBody bounds a request's body before its kind is known, in bytes.
	maxBody = 8 << 20
	// readTimeout bounds the time a caller takes to send a request.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time a caller takes to read an answer.
	writeTimeout = 10 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 90 * time.Second
)

// Handler serves one request. The context ends when the caller leaves; rc may
// not be kept after the return.
type Handler func(ctx context.Context, rc *fasthttp.RequestCtx)

// Server serves callers. The zero value is not usable, see New.
type Server struct {
	http    *fasthttp.Server
	leaving atomic.Bool
}

// Options of a Server. The zero value of each has a default.
type Options struct {
	// HeaderBytes bounds the head of a request; 0: 4 KiB.
	HeaderBytes int
	// IdleTimeout closes connections without requests; 0: 90 s.
	IdleTimeout time.Duration
	// Log is told of connections that end by an error; nil: standard error.
	Log fasthttp.Logger
}

// New returns a server that hands each request to handle.
func New(handle Handler) *Server { return NewWithOptions(Options{}, handle) }

// NewWithOptions returns a server with options that hands each request to handle.
func NewWithOptions(o Options, handle Handler) *Server {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = idleTimeout
	}
	s := &Server{}
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
	}
	return s
}

func (s *Server) serve(rc *fasthttp.RequestCtx, handle Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c, ok := rc.Conn().(*watchedConn); ok {
		c.watch(cancel)
		defer c.unwatch()
	}
	handle(ctx, rc)
	if s.leaving.Load() {
		rc.SetConnectionClose()
	}
}

// Serve accepts callers until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(watchedListener{ln})
}

// Drain asks callers, answer by answer, to use another node: each answer
// closes its connection. Requests are still served.
func (s *Server) Drain() { s.leaving.Store(true) }

// Shutdown closes the listener and waits for requests in flight until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}
