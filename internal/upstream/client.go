// Package upstream sends one request to the upstream beside a node and says
// whether it may have run.
//
// The HTTP codec is fasthttp's, the connections are kept here: its HostClient
// repeats requests by itself, can't be cancelled and doesn't tell whether a
// byte left. A connection is used by one request at a time and closed at any
// doubt, so an answer can never go to another request.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdleAge is the age at which an idle connection is no longer used.
	maxIdleAge = 8 * time.Second
	// maxIdleAgeOrder is the same for orders, which can't be sent again when
	// the upstream closes an idle connection under them.
	maxIdleAgeOrder = 2 * time.Second
	// bufferSize is the size of each connection's two buffers, in bytes.
	bufferSize = 4096
	// minCancelWait is the deadline that unblocks a cancelled read.
	minCancelWait = time.Millisecond
)

// Request is one request to the upstream. HTTP is read only.
type Request struct {
	HTTP *fasthttp.Request
	// Order is set for requests that run at most once.
	Order bool
	// MaxAnswer bounds the body of the answer, in bytes.
	MaxAnswer int
	// Classify says what a whole answer means; nil stands for the product's own
	// headers.
	Classify func(*fasthttp.Response) Outcome
	// Matches reports whether an answer is to this request: an upstream may
	// send a late second answer to an earlier one. nil: every answer is.
	Matches func(*fasthttp.Response) bool
	// AllowUntilClose accepts answers without a length that end with a clean close
	// of their connection.
	AllowUntilClose bool
	// OnSent is called once the whole request was handed to the connection; nil
	// for nothing.
	OnSent func()
}

// Outcome says how a request ended. Reason is ReasonNone where the upstream
// answered whole.
type Outcome struct {
	Verdict contract.Verdict
	Reason  contract.Reason
	// Detail explains a failure in words; it holds no caller's data.
	Detail string
	// RetryAfter is the upstream's wish, where it refused; 0 for none.
	RetryAfter time.Duration
}

// Client keeps the connections to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	maxIdle int
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle []*conn // most recently used last
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	usedAt  time.Time
	written int
	// keep is how long the upstream keeps the connection idle; 0 is unknown.
	keep time.Duration
}

// keepMargin is how much earlier than the upstream an idle connection is given
// up.
const keepMargin = time.Second

// noteKeepAlive reads the idle time that the upstream tells, in whole seconds.
func (c *conn) noteKeepAlive(answer *fasthttp.Response) {
	_, text, found := strings.Cut(string(answer.Header.Peek("Keep-Alive")), "timeout=")
	if !found {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && s > 0 {
		c.keep = time.Duration(s) * time.Second
	}
}

// maxAge is the age at which the idle connection is no longer used.
func (c *conn) maxAge(order bool) time.Duration {
	age := maxIdleAge
	if order {
		age = maxIdleAgeOrder
	}
	if c.keep > 0 {
		age = min(age, c.keep-keepMargin)
	}
	return age
}

// Write counts the bytes handed to the kernel.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// New returns a client that keeps up to maxIdle idle connections to the
// upstream at address, an ip:port.
func New(address string, maxIdle int) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		address: address,
		maxIdle: maxIdle,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Do sends the request and reads the whole answer into answer. It returns when
// the answer is whole, the context ends or the connection fails.
func (c *Client) Do(ctx context.Context, req Request, answer *fasthttp.Response) Outcome {
	if ctx.Err() != nil {
		return ended(ctx, contract.NotRun)
	}
	cn, err := c.take(ctx, req.Order)
	if err != nil {
		if ctx.Err() != nil {
			return ended(ctx, contract.NotRun)
		}
		return Outcome{Verdict: contract.NotRun, Reason: contract.ReasonUpstreamFailed, Detail: "connect: " + err.Error()}
	}
	out, reusable := exchange(ctx, cn, req, answer)
	if reusable {
		c.put(cn)
	} else {
		_ = cn.Close()
	}
	return out
}

// exchange runs one request over the connection and reports whether the
// connection can be used again.
func exchange(ctx context.Context, cn *conn, req Request, answer *fasthttp.Response) (Outcome, bool) {
	cn.written = 0
	if deadline, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(deadline)
	} else {
		_ = cn.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Now().Add(-minCancelWait)) })
	step, err := converse(cn, req, answer)
	untouched := stop()
	if err != nil && step == stepSend {
		return failed(ctx, cn.written, step, err), false
	}
	if err != nil {
		return readFailed(ctx, cn.written, answer, err), false
	}
	framed := answer.Header.ContentLength() != untilClose
	reusable := untouched && step == stepDone && framed && !answer.ConnectionClose() && cn.r.Buffered() == 0
	cn.noteKeepAlive(answer)
	if req.Classify != nil {
		return req.Classify(answer), reusable
	}
	return judge(answer), reusable
}

// The step at which an exchange ended. One that stopped early has its answer,
// but not all of its request was sent.
const (
	stepSend  = "send"
	stepRead  = "read"
	stepEarly = "early"
	stepDone  = "done"
)

// converse sends the request and reads its answer. A body that may not fit the
// buffers on the way is sent beside the reading: an upstream may answer before
// it has read it, and then close or stop reading.
func converse(cn *conn, req Request, answer *fasthttp.Response) (step string, err error) {
	if len(req.HTTP.Body()) <= bufferSize {
		if err := send(cn, req); err != nil {
			return stepSend, err
		}
		if err := readOwn(cn.r, req, answer); err != nil {
			return stepRead, err
		}
		return stepDone, nil
	}
	sent := make(chan error, 1)
	go func() { sent <- send(cn, req) }()
	if err := readOwn(cn.r, req, answer); err != nil {
		_ = cn.Close() // the rest of the request is in vain
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

// maxForeign bounds the answers to earlier requests that are skipped.
const maxForeign = 2

// errForeign means that only answers to other requests came.
var errForeign = errors.New("answers belong to other requests")

// readOwn reads answers until one belongs to the request.
func readOwn(r *bufio.Reader, req Request, answer *fasthttp.Response) error {
	for range maxForeign + 1 {
		if err := read(r, req, answer); err != nil {
			return err
		}
		if req.Matches == nil || req.Matches(answer) {
			return nil
		}
		if answer.ConnectionClose() {
			break
		}
	}
	answer.Reset()
	return errForeign
}

// errNoEnd means that the end of an answer can't be told from a cut.
var errNoEnd = errors.New("answer with neither a length nor chunks")

// untilClose is fasthttp's content length for such an answer.
const untilClose = -2

// read reads an answer and refuses one whose end can't be known. fasthttp's
// ReadLimitBody takes the close of a connection for such an end.
func read(r *bufio.Reader, req Request, answer *fasthttp.Response) error {
	answer.Reset()
	answer.SkipBody = true // head only; the body follows below
	if err := answer.ReadLimitBody(r, req.MaxAnswer); err != nil {
		return err
	}
	if req.HTTP.Header.IsHead() || !mayHaveBody(answer.StatusCode()) {
		return nil
	}
	answer.SkipBody = false
	length := answer.Header.ContentLength()
	if length == untilClose && !req.AllowUntilClose {
		return errNoEnd
	}
	if err := answer.ReadBody(r, req.MaxAnswer); err != nil {
		return err
	}
	const chunked = -1
	if length != chunked {
		return nil
	}
	err := answer.Header.ReadTrailer(r)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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

// judge decides what a whole answer means.
func judge(answer *fasthttp.Response) Outcome {
	if contract.ParseVerdict(string(answer.Header.Peek(contract.HeaderVerdict))) == contract.NotRun {
		return Outcome{
			Verdict:    contract.NotRun,
			Reason:     contract.ReasonUpstreamRefused,
			RetryAfter: retryAfter(answer),
		}
	}
	return Outcome{Verdict: contract.Ran}
}

func mayHaveBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

func retryAfter(answer *fasthttp.Response) time.Duration {
	if ms, err := strconv.Atoi(string(answer.Header.Peek(contract.HeaderRetryAfter))); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(string(answer.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}

func readFailed(ctx context.Context, written int, answer *fasthttp.Response, err error) Outcome {
	out := failed(ctx, written, stepRead, err)
	if out.Reason != contract.ReasonUpstreamFailed {
		return out
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		out.Reason = contract.ReasonTooLarge
	} else if errors.Is(err, errNoEnd) || answer.Header.ContentLength() != 0 || len(answer.Body()) > 0 {
		out.Reason = contract.ReasonPartialAnswer
	}
	return out
}

// failed judges an error of the connection: a request of which no byte left
// was not run.
func failed(ctx context.Context, written int, step string, err error) Outcome {
	verdict := contract.MayHaveRun
	if written == 0 {
		verdict = contract.NotRun
	}
	var timeout interface{ Timeout() bool } // fasthttp's is no net.Error
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return ended(ctx, verdict)
	}
	return Outcome{Verdict: verdict, Reason: contract.ReasonUpstreamFailed, Detail: step + ": " + err.Error()}
}

func ended(ctx context.Context, verdict contract.Verdict) Outcome {
	reason := contract.ReasonDeadline
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = contract.ReasonCancelled
	}
	return Outcome{Verdict: verdict, Reason: reason}
}
