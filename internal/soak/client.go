package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"heathershed/internal/wait"
	"heathershed/platform/platformtest"
)

const (
	// requestTimeout is the time that a client allows for a request. The answer
	// may arrive up to answerSlack later.
	requestTimeout = 6 * time.Second
	answerSlack    = time.Second
	// probeTimeout is the timeout of requests that check a node's state.
	probeTimeout = 2 * time.Second
	// shutdownNotice is the time that clients take to notice that their node shuts
	// down.
	shutdownNotice = time.Second
	// callBodySize is the body size of answers to upstreams' calls, in bytes.
	callBodySize = 200
	// maxBodySize, in bytes, bounds the random part of an answer's body size,
	// maxWorkMS, in ms, that of a request's work.
	maxBodySize = 60_000
	maxWorkMS   = 60
	// longWorkMS is the work, in ms, of requests that their client cancels.
	longWorkMS = 1500
	// orderShare, callShare and cancelShare are the fractions of requests that
	// are orders, make a nested call, and are cancelled by their client.
	orderShare  = 0.3
	callShare   = 0.3
	cancelShare = 0.05
	// thinkTime is the longest wait between two requests of one client, unless
	// an answer asks for a longer one.
	thinkTime = 40 * time.Millisecond
	// maxRetryAfter is the longest that a client waits because an answer asks
	// it to.
	maxRetryAfter = time.Second
)

// request is one request of a client or an upstream.
type request struct {
	addr, path, attempt string
	order               bool
	work, size          int
	call, crash         bool
	timeout             time.Duration
	key                 string // empty for none
}

func (r request) build(ctx context.Context) (*http.Request, error) {
	method := http.MethodGet
	if r.order {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s%s?work=%d&size=%d", r.addr, r.path, r.work, r.size)
	if r.call {
		url += "&call"
	}
	if r.crash {
		url += "&crash"
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, r.attempt)
	req.Header.Set(platformtest.HeaderRemaining, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
		req.Header.Set(platformtest.HeaderTenant, "forged")
	}
	return req, nil
}

// send sends a request and records its outcome for the client. It returns the
// status, 0 where there was no complete answer, and how long to wait before the
// next request.
func send(ctx context.Context, transport http.RoundTripper, l *Ledger, r request) (status int, retryAfter time.Duration) {
	req, err := r.build(ctx)
	if err != nil {
		l.AddViolation(Lost, r.attempt, err.Error())
		return 0, 0
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		l.RecordOutcome(r.attempt, OutcomeUnknown)
		return 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, readLimit))
	if err != nil {
		l.RecordOutcome(r.attempt, OutcomeUnknown)
		return 0, 0
	}
	l.workspaces.checkAnswer(r.attempt, resp.StatusCode)
	outcome := outcomeOf(resp.StatusCode)
	l.RecordOutcome(r.attempt, outcome)
	sentTo, _ := l.Dispatched(r.attempt)
	l.notices.recordPassedOn(sentTo, resp.Header)
	if resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout {
		l.RecordGiveUp(r.attempt)
	}
	if outcome == OutcomeComplete && !bytes.Equal(body, Body(r.attempt, r.size)) {
		l.AddViolation(Partial, r.attempt, fmt.Sprintf("%d bytes of %d, beginning %.40q", len(body), r.size, body))
	}
	if got := resp.Header.Get(platformtest.HeaderSeal); outcome == OutcomeComplete && got != seal(r.attempt) {
		l.AddViolation(Partial, r.attempt, fmt.Sprintf("seal %.40q, want %q", got, seal(r.attempt)))
	}
	return resp.StatusCode, retryAfterOf(resp)
}

// outcomeOf returns what a status code promises to the client.
func outcomeOf(status int) Outcome {
	switch status {
	case http.StatusOK:
		return OutcomeComplete
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusNotFound, http.StatusUnauthorized:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// retryAfterOf returns the wait that an answer asks for, at most maxRetryAfter.
func retryAfterOf(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// client sends requests to one node until its context ends. It sends none from
// shutdownNotice after the start of the node's graceful shutdown until the node
// is started again.
type client struct {
	name   string
	target *vm
	rng    *rand.Rand
	ledger *Ledger
}

func (c *client) run(ctx context.Context) {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		var retryAfter time.Duration
		if !c.target.shutdownStartedBefore(time.Now().Add(-shutdownNotice)) {
			retryAfter = c.sendOne(transport, n)
		}
		_ = wait.For(ctx, max(retryAfter, time.Duration(c.rng.Int64N(int64(thinkTime)))))
	}
}

// sendOne sends one request and returns the wait before the next one.
func (c *client) sendOne(transport *http.Transport, n int) time.Duration {
	r := c.nextRequest(n)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+answerSlack)
	defer cancel()
	c.ledger.RecordSent(r.attempt, r.order)
	key, workspace := c.ledger.workspaces.draw(c.rng)
	r.key = key
	c.ledger.workspaces.recordSent(r.attempt, key, workspace)
	c.ledger.RecordDispatch(r.attempt, c.target.name, time.Now().Add(requestTimeout))
	if cancels := c.rng.Float64() < cancelShare; cancels {
		r.work = longWorkMS
		timer := time.AfterFunc(time.Duration(5+c.rng.IntN(100))*time.Millisecond, func() {
			c.ledger.RecordCancel(r.attempt)
			cancel()
		})
		defer timer.Stop()
	}
	began := time.Now()
	status, retryAfter := send(ctx, transport, c.ledger, r)
	c.checkUnanswered(r, began, status, ctx)
	return retryAfter
}

func (c *client) nextRequest(n int) request {
	path := services[c.rng.IntN(len(services))]
	r := request{
		addr:    c.target.clientAddr,
		attempt: fmt.Sprintf("%s-%d", c.name, n),
		order:   c.rng.Float64() < orderShare,
		work:    5 + c.rng.IntN(maxWorkMS),
		size:    100 + c.rng.IntN(maxBodySize),
		call:    c.rng.Float64() < callShare,
		timeout: requestTimeout,
	}
	r.path = "/" + path + "/x"
	if r.order {
		r.path = "/" + path + "-order/x"
	}
	return r
}

// checkUnanswered reports a violation for a request without an answer: Lost if
// its time ran out, Cut if it was sent before the node's graceful shutdown or
// within shutdownNotice after it began. A request that its client cancelled, or
// that a fault of the node explains, is no violation, and neither is any other
// failed connection.
func (c *client) checkUnanswered(r request, began time.Time, status int, ctx context.Context) {
	if status != 0 || !c.ledger.CancelledAt(r.attempt).IsZero() {
		return
	}
	if ctx.Err() != nil {
		if c.ledger.NoFaultSince(began, faultPause, downFault(c.target.name)) {
			c.ledger.AddViolation(Lost, r.attempt, fmt.Sprintf("no answer after %v", time.Since(began).Round(time.Millisecond)))
		}
		return
	}
	if shutdownStart := c.target.shutdownStarted(); !shutdownStart.IsZero() && began.Before(shutdownStart.Add(shutdownNotice)) && c.ledger.NoFaultSince(began, downFault(c.target.name)) {
		c.ledger.AddViolation(Cut, r.attempt, fmt.Sprintf("sent %v after the planned stop of %s", began.Sub(shutdownStart).Round(time.Millisecond), c.target.name))
	}
}
