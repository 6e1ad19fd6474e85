package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/memory"
	"heathershed/internal/wait"
)

const (
	// maxAheadRequests bounds the requests of one connection that run, or have their
	// answers ready, behind the one whose answer is due.
	maxAheadRequests = 16
	// maxAheadBytes bounds the bytes of a connection that are read before the server
	// asks for them. It holds maxAheadRequests requests with headers of 4 KiB.
	maxAheadBytes = 64 << 10
	// maxHeldBytes is the memory of a connection's requests that run ahead and their ready
	// answers from which on no further request of it is run ahead.
	maxHeldBytes = 1 << 20
	// aheadMemory bounds the read-ahead buffers and the requests that run ahead, of all
	// connections together. With their answers, whose size is not known before, it is
	// what these take from which on no request is run ahead. It is a small part of the
	// 184 MiB of the smallest VM.
	aheadMemory = 8 << 20
	// maxAheadRunning bounds the requests of all connections that run ahead. Their
	// answers are of unknown size until they are ready.
	maxAheadRunning = 256
	// requestCost is what a request that runs ahead takes of aheadMemory besides its own
	// size and its answer: a little more than its context.
	requestCost = 4 << 10
	// hangupPoll is how often a connection is asked whether its client has closed it
	// while the read-ahead buffer is full, so that no read can tell.
	hangupPoll = 100 * time.Millisecond
	// shutdownPoll is how often Shutdown looks whether requests still run ahead or have
	// answers that are owed.
	shutdownPoll = 10 * time.Millisecond
)

// Idempotent reports whether a request may run beside others of its connection. It
// must not change the request.
type Idempotent func(*fasthttp.Request) bool

// AnswerSize returns the size in bytes to expect of the answer to a request; 0 if it is not
// known. It must not change the request.
type AnswerSize func(*fasthttp.Request) int64

// pipeline runs pipelined requests of a server's connections ahead. It is shared by
// them.
type pipeline struct {
	handle     Handler
	idempotent Idempotent
	answerSize AnswerSize
	responses  *memory.Budget
	headBytes  int
	// bodyLimit returns the bound on one body in bytes.
	bodyLimit func() int
	draining  *atomic.Bool
	// template is an empty answer with the settings of the server.
	template     fasthttp.Response
	templateOnce sync.Once
	// memory is the size of all read-ahead buffers, requests that run ahead and ready
	// answers, running the number of requests that run ahead, and started the number
	// that ever did. owed is the number of those that have run ahead, or do, and whose
	// turn has not ended.
	memory, running, started, owed atomic.Int64
}

// defaultHeadBytes is the bound on heads of a server without one.
const defaultHeadBytes = 4 << 10

func newPipeline(o Options, handle Handler, draining *atomic.Bool) *pipeline {
	p := &pipeline{
		handle:     handle,
		idempotent: o.Idempotent,
		answerSize: o.AnswerSize,
		responses:  o.Responses,
		headBytes:  o.HeaderBytes,
		bodyLimit:  func() int { return maxBody },
		draining:   draining,
	}
	if o.Bodies != nil {
		p.bodyLimit = o.Bodies.Limit
	}
	if p.answerSize == nil {
		p.answerSize = func(*fasthttp.Request) int64 { return 0 }
	}
	if p.headBytes <= 0 {
		p.headBytes = defaultHeadBytes
	}
	return p
}

// pipelinedListener wraps each accepted connection in a pipelinedConn.
type pipelinedListener struct {
	net.Listener
	p *pipeline
}

// Accept implements net.Listener.
func (l pipelinedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newPipelinedConn(c, l.p), nil
}

// reserve takes n bytes of the memory if it has them.
func (p *pipeline) reserve(n int) bool {
	if p.memory.Add(int64(n)) > aheadMemory {
		p.memory.Add(-int64(n))
		return false
	}
	return true
}

// setTemplate keeps the settings that the server has made in an answer.
func (p *pipeline) setTemplate(empty *fasthttp.Response) {
	p.templateOnce.Do(func() { empty.CopyTo(&p.template) })
}

// awaitEnd waits until no request runs ahead and no answer is owed, or ctx ends.
func (p *pipeline) awaitEnd(ctx context.Context) {
	for p.running.Load() > 0 || p.owed.Load() > 0 {
		if wait.For(ctx, shutdownPoll) != nil {
			return
		}
	}
}

// stage says which part of a request the server reads next.
type stage uint8

const (
	// stageServed: the request is being served, or the server reads the next one.
	stageServed stage = iota
	// stageHead: the server reads the head.
	stageHead
	// stageBody: the server reads the body, of which left bytes remain.
	stageBody
	// stageUnknown: where requests end is not known, nor will it be.
	stageUnknown
)

// pipelinedConn is a client's connection that is read while a request is served. It
// delivers to the server the bytes of one request at a time, so that it knows where
// the next one begins, and runs idempotent requests behind the current one ahead. In
// place of one that has run ahead, the server reads a short one without a body, and its
// handler only hands over the answer. What has run ahead is owed its answer: if the
// server closes the connection, it does so with the last of these. A connection whose
// client has left cancels all its requests.
type pipelinedConn struct {
	net.Conn
	p *pipeline

	mu sync.Mutex
	// changed is signalled when bytes or an error have arrived, or fill has ended.
	changed sync.Cond
	// buf[start:end] has been read but not delivered.
	buf        []byte
	start, end int
	// err is the error that ended a read; all later reads return it.
	err error
	// filling says that fill runs, or a read into the buffer is pending. Nothing else
	// changes buf and end meanwhile.
	filling bool
	// cancel ends the request that is being served; nil while there is none.
	cancel context.CancelFunc
	// ended is closed when that request ends.
	ended chan struct{}

	stage stage
	left  int
	head  headReader
	// current is the request being read or served, if it has run ahead, and standIn what
	// the server has yet to read in its place.
	current *aheadRequest
	standIn []byte
	// ahead are the requests behind it that run, or have run, in order.
	ahead []*aheadRequest
	// aheadSize is the sum of their sizes, held the memory of these and current.
	aheadSize, held int
	// concurrent says that others may run beside the request being served.
	concurrent bool
	// blocked says that the first request behind those of ahead doesn't run ahead.
	blocked bool
	// closing says that nothing behind the requests of ahead is run or answered.
	closing bool

	small [readAheadSize]byte
}

func newPipelinedConn(c net.Conn, p *pipeline) *pipelinedConn {
	pc := &pipelinedConn{Conn: c, p: p}
	pc.changed.L = &pc.mu
	pc.buf = pc.small[:]
	return pc
}

// NetConn returns the wrapped connection.
func (c *pipelinedConn) NetConn() net.Conn { return c.Conn }

// serve answers a request that the server has read completely.
func (c *pipelinedConn) serve(rc *fasthttp.RequestCtx) {
	c.p.setTemplate(&rc.Response)
	concurrent := c.p.idempotent(&rc.Request)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := c.begin(cancel, concurrent, rc.Request.Header.ConnectionClose())
	if r != nil {
		<-r.done
		c.p.handOver(ctx, r, rc)
	} else {
		c.p.handle(ctx, rc)
	}
	closes := rc.Response.ConnectionClose()
	rc.Response.Header.ResetConnectionClose() // the last owed answer closes
	if c.finish(r, closes) {
		rc.SetConnectionClose()
	}
}

// begin starts the serving of a request. It returns the request if it has run ahead.
// Until finish, the connection is read and requests behind this one run ahead.
func (c *pipelinedConn) begin(cancel context.CancelFunc, concurrent, closes bool) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.stage == stageHead && c.head.ended || c.stage == stageBody && c.left == 0 && len(c.standIn) == 0
	r := c.current
	c.stage = stageServed
	if !known {
		c.stage = stageUnknown
		c.dropLocked()
	}
	c.head.reset()
	if r == nil {
		c.blocked = false // the request that did not run ahead is this one
	}
	c.concurrent = (concurrent || r != nil) && known
	c.closing = c.closing || closes
	c.cancel, c.ended = cancel, make(chan struct{})
	if c.err != nil {
		c.leaveLocked()
		return r
	}
	// Clear the deadline for sending the request, which has been read.
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.runAheadLocked()
	if !c.filling {
		c.compactLocked()
		c.filling = true
		go c.fill()
	}
	return r
}

// finish ends the serving of a request and reports whether its answer closes the
// connection. If the server closes it, it does so behind the answers of the requests that
// have run ahead.
func (c *pipelinedConn) finish(r *aheadRequest, closes bool) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.ended)
	c.cancel, c.ended, c.concurrent, c.current = nil, nil, false, nil
	if r != nil {
		c.releaseLocked(r)
		c.setOwedLocked()
	}
	c.closing = c.closing || closes || c.p.draining.Load()
	last = c.closing && len(c.ahead) == 0
	if c.filling && c.start == c.end && len(c.buf) > readAheadSize {
		// End the pending read, so that an idle connection keeps no large buffer. The
		// server sets the deadline anew before it reads; fill must have noticed this one
		// by then.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		for c.filling {
			c.changed.Wait()
		}
	}
	return last
}

// setOwedLocked tells the bound on connections whether answers to requests that have run
// ahead are owed.
func (c *pipelinedConn) setOwedLocked() {
	if g := guardOf(c); g != nil {
		g.setOwed(c.current != nil || len(c.ahead) > 0)
	}
}

// leaveLocked cancels all requests of a client that has left.
func (c *pipelinedConn) leaveLocked() {
	c.closing = true
	if c.cancel != nil {
		c.cancel()
	}
	if c.current != nil {
		c.current.cancel()
	}
	c.dropLocked()
}

// dropLocked cancels the requests of ahead: nobody waits for their answers any more.
func (c *pipelinedConn) dropLocked() {
	if len(c.ahead) == 0 {
		return
	}
	for _, r := range c.ahead {
		r.cancel()
		r.dropped = true
		c.aheadSize -= r.size
		c.releaseLocked(r)
	}
	c.ahead = c.ahead[:0]
	c.setOwedLocked()
}

// releaseLocked gives back the memory of a request whose turn has ended, or that was
// dropped, and its answer.
func (c *pipelinedConn) releaseLocked(r *aheadRequest) {
	c.p.owed.Add(-1)
	c.held -= r.held
	c.p.memory.Add(-int64(r.held))
	r.held = 0
}

// Close implements net.Conn. It cancels the requests that run ahead.
func (c *pipelinedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.leaveLocked()
	if r := c.current; r != nil && c.cancel == nil { // it will not be served
		r.dropped = true
		c.releaseLocked(r)
		c.current = nil
	}
	if !c.filling {
		c.shrinkLocked()
	}
	c.changed.Broadcast()
	return err
}
