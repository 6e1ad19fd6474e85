// Package upstream sends one request to the upstream beside a node and reports
// whether it may have run.
//
// The package uses fasthttp's HTTP codec but manages the connections itself:
// fasthttp's HostClient retries requests on its own, cannot be cancelled and
// does not report whether any byte was sent. A connection carries one request at
// a time and is closed whenever its state is in doubt, so that an answer can
// never reach another request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
	"heathershed/internal/endpoint"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdleAge is the idle time after which a connection is no longer used.
	maxIdleAge = 8 * time.Second
	// maxIdleAgeOrder is the same for orders. It is shorter because an order
	// cannot be retried if the upstream closes the connection as it is sent.
	maxIdleAgeOrder = 2 * time.Second
	// cancelOffset is how far in the past the connection's deadline is set to
	// unblock a cancelled exchange.
	cancelOffset = time.Millisecond
	// connQueue is what the kernel may hold for one connection, each way, in bytes. An
	// answer waits at the upstream where the node has no memory for it.
	connQueue = 64 << 10
)

// Request is one request to the upstream. HTTP is only read.
type Request struct {
	// HTTP must not be reused if its body is a stream: that may still be read when Do has
	// returned.
	HTTP *fasthttp.Request
	// Order marks a request that must run at most once.
	Order bool
	// MaxAnswer bounds the body of the answer in bytes.
	MaxAnswer int
	// Classify returns the outcome that a complete answer stands for. If nil, the
	// Heathershed-Verdict header decides.
	Classify func(*fasthttp.Response) Outcome
	// Matches reports whether an answer belongs to this request, because an
	// upstream may send a late second answer to an earlier one. nil accepts every
	// answer.
	Matches func(*fasthttp.Response) Match
	// AllowUntilClose accepts answers without a length that end with a clean
	// close of their connection.
	AllowUntilClose bool
	// OnSent, if not nil, is called once the complete request has been handed to
	// the connection.
	OnSent func()
}

// Match says whether an answer belongs to a request.
type Match uint8

// The matches.
const (
	// MatchNone: the answer belongs to another request, or to none.
	MatchNone Match = iota
	// MatchUnnamed: the answer names no request. It belongs to the one that is
	// expected next, unless the answer before it named none either and was sent
	// again.
	MatchUnnamed
	// MatchNamed: the answer names the request.
	MatchNamed
)

// match returns whether an answer belongs to the request.
func (r *Request) match(answer *fasthttp.Response) Match {
	if r.Matches == nil {
		return MatchNamed
	}
	return r.Matches(answer)
}

// Outcome describes how a request ended. Reason is ReasonNone if the upstream
// gave a complete answer.
type Outcome struct {
	Verdict contract.Verdict
	Reason  contract.Reason
	// Detail describes a failure in words. It contains no data of the caller.
	Detail string
	// RetryAfter is the wait that an upstream asks for when it refuses a request;
	// 0 for none.
	RetryAfter time.Duration
}

// Client holds the connections to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	maxIdle int
	memory  *memory
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle []*conn // most recently used last
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	usedAt  time.Time
	written atomic.Int64
	// unnamed says that the last answer named no request. The upstream might send it
	// again where the next one is expected.
	unnamed bool
	// foreign says that an answer belonged to another request.
	foreign bool
	// readable is the number of bytes that may still be read for the current
	// answer.
	readable int
	// keepAlive is how long the upstream keeps an idle connection open; 0 if
	// unknown.
	keepAlive time.Duration
}

// keepAliveMargin is how much earlier than the upstream this end stops using an
// idle connection.
const keepAliveMargin = time.Second

// recordKeepAlive reads the idle timeout that the upstream announces in its
// Keep-Alive header, in whole seconds.
func (c *conn) recordKeepAlive(answer *fasthttp.Response) {
	_, text, found := strings.Cut(string(answer.Header.Peek("Keep-Alive")), "timeout=")
	if !found {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && s > 0 {
		c.keepAlive = time.Duration(s) * time.Second
	}
}

// maxAge returns the idle time after which the connection is no longer used.
func (c *conn) maxAge(order bool) time.Duration {
	age := maxIdleAge
	if order {
		age = maxIdleAgeOrder
	}
	if c.keepAlive > 0 {
		age = min(age, c.keepAlive-keepAliveMargin)
	}
	return age
}

// Write writes to the connection and counts the bytes handed to the kernel.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// New returns a client that keeps up to maxIdle idle connections to the upstream
// at address, an ip:port. memory bounds the bytes that all bodies being read hold
// together, but for a small part of each; it must be above 0.
func New(address string, maxIdle int, memory int64) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		address: address,
		maxIdle: maxIdle,
		memory:  newMemory(memory),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil {
				endpoint.SetQueues(c, connQueue)
			}
			return c, err
		},
	}
}

// Do sends the request and reads the complete answer into answer. It returns
// when the answer is complete, the context ends or the connection fails.
func (c *Client) Do(ctx context.Context, req Request, answer *fasthttp.Response) Outcome {
	if ctx.Err() != nil {
		return contextOutcome(ctx, contract.NotRun)
	}
	cn, err := c.take(ctx, req.Order)
	if err != nil {
		if ctx.Err() != nil {
			return contextOutcome(ctx, contract.NotRun)
		}
		return Outcome{Verdict: contract.NotRun, Reason: contract.ReasonUpstreamFailed, Detail: "connect: " + err.Error()}
	}
	out, reusable := c.exchange(ctx, cn, req, answer)
	if reusable {
		c.put(cn)
	} else {
		_ = cn.Close()
	}
	return out
}

// Refuses reports whether nothing listens at the address of the upstream.
func (c *Client) Refuses(ctx context.Context) bool {
	cn, err := c.dial(ctx, c.address)
	if err == nil {
		_ = cn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// exchange runs one request over the connection and reports whether the
// connection can be reused.
func (c *Client) exchange(ctx context.Context, cn *conn, req Request, answer *fasthttp.Response) (Outcome, bool) {
	cn.written.Store(0)
	afterUnnamed := cn.unnamed
	if deadline, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(deadline)
	} else {
		_ = cn.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Now().Add(-cancelOffset)) })
	step, err := c.sendAndRead(ctx, cn, req, answer)
	notCancelled := stop()
	if err != nil && step == stepSend {
		return failed(ctx, cn.written.Load(), step, err), false
	}
	if err == nil && step == stepEarly && req.endsWithConnection(answer) {
		err = errUnprovenEnd
	}
	if err != nil {
		return readFailed(ctx, cn.written.Load(), answer, err), false
	}
	framed := answer.Header.ContentLength() != untilClose
	reusable := notCancelled && step == stepDone && framed && !cn.foreign && !answer.ConnectionClose() && cn.r.Buffered() == 0
	cn.recordKeepAlive(answer)
	cn.shrink()
	if afterUnnamed && cn.unnamed {
		return Outcome{Verdict: contract.MayHaveRun, Reason: contract.ReasonUpstreamRefused, Detail: "may be an earlier answer"}, reusable
	}
	out := req.classify(answer)
	return out, reusable && out.Reason != contract.ReasonPartialAnswer
}

// endsWithConnection reports whether the end of an answer is that of the connection. While
// the request is sent, that end proves nothing: the write may get the error of an abort
// that the read would have got.
func (r *Request) endsWithConnection(answer *fasthttp.Response) bool {
	return r.hasBody(answer) && answer.Header.ContentLength() == untilClose
}

// hasBody reports whether an answer has a body, which may be empty.
func (r *Request) hasBody(answer *fasthttp.Response) bool {
	return !r.HTTP.Header.IsHead() && mayHaveBody(answer.StatusCode())
}

// classify returns the outcome that a complete answer stands for.
func (r *Request) classify(answer *fasthttp.Response) Outcome {
	if r.Classify != nil {
		return r.Classify(answer)
	}
	return classify(answer)
}

// The steps at which an exchange can end. After stepEarly the answer is complete
// but the request may not have been sent completely.
const (
	stepSend  = "send"
	stepRead  = "read"
	stepEarly = "early"
	stepDone  = "done"
)

// sendAndRead sends the request and reads its answer. A body that may not fit
// into the buffers on the way is sent while the answer is read, because an
// upstream may answer before it has read the body, and then close the connection
// or stop reading.
func (c *Client) sendAndRead(ctx context.Context, cn *conn, req Request, answer *fasthttp.Response) (step string, err error) {
	if req.HTTP.IsBodyStream() {
		return c.streamAndRead(ctx, cn, req, answer)
	}
	if len(req.HTTP.Body()) <= bufferSize {
		if err := send(cn, req); err != nil {
			return stepSend, err
		}
		if err := c.readMatching(ctx, cn, req, answer); err != nil {
			return stepRead, err
		}
		return stepDone, nil
	}
	sent := make(chan error, 1)
	go func() { sent <- send(cn, req) }()
	if err := c.readMatching(ctx, cn, req, answer); err != nil {
		_ = cn.Close() // sending the rest of the request is pointless
		<-sent
		return stepRead, err
	}
	select {
	case err := <-sent:
		if err == nil {
			return stepDone, nil
		}
	default:
		_ = cn.Close()
		<-sent
	}
	return stepEarly, nil
}

func send(cn *conn, req Request) error {
	cn.w.Reset(cn)
	if err := req.HTTP.Write(cn.w); err != nil {
		return err
	}
	if err := cn.w.Flush(); err != nil {
		return err
	}
	if req.OnSent != nil {
		req.OnSent()
	}
	return nil
}

// classify returns the outcome that a complete answer stands for by
// Heathershed's own headers.
func classify(answer *fasthttp.Response) Outcome {
	if contract.ParseVerdict(string(answer.Header.Peek(contract.HeaderVerdict))) == contract.NotRun {
		return Outcome{
			Verdict:    contract.NotRun,
			Reason:     contract.ReasonUpstreamRefused,
			RetryAfter: retryAfter(answer),
		}
	}
	return Outcome{Verdict: contract.Ran}
}

// retryAfter returns the wait that a refusing upstream asks for, from Heathershed's
// own header in milliseconds or else from Retry-After in seconds.
func retryAfter(answer *fasthttp.Response) time.Duration {
	if ms, err := strconv.Atoi(string(answer.Header.Peek(contract.HeaderRetryAfter))); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(string(answer.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}
