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
	// patience is what a client leaves a request, and lateBound how much later
	// its answer may come.
	patience  = 6 * time.Second
	lateBound = time.Second
	// probePatience is the same for requests that look at a node's state.
	probePatience = 2 * time.Second
	// noticeTime is how long clients take to see that their node stops.
	noticeTime = time.Second
	// callSize is the length of the answers to calls of upstreams, in bytes.
	callSize = 200
	// maxSize and maxWork bound the answers and the work asked for.
	maxSize = 60_000
	maxWork = 60
	// longWork is the work of requests that their client gives up, in ms.
	longWork = 1500
	// orderShare, callShare and leaveShare are the parts of requests that are
	// orders, have a call below them, and are given up by their client.
	orderShare = 0.3
	callShare  = 0.3
	leaveShare = 0.05
	// thinkTime is the longest wait between two requests of one client.
	thinkTime = 40 * time.Millisecond
	// maxAgain bounds a wait that a client was told.
	maxAgain = time.Second
)

// request is one request of a client or an upstream.
type request struct {
	at, path, attempt string
	order             bool
	work, size        int
	call              bool
	left              time.Duration
}

func (r request) build(ctx context.Context) (*http.Request, error) {
	method := http.MethodGet
	if r.order {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s%s?work=%d&size=%d", r.at, r.path, r.work, r.size)
	if r.call {
		url += "&call"
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, r.attempt)
	req.Header.Set(platformtest.HeaderRemaining, strconv.FormatInt(r.left.Milliseconds(), 10))
	return req, nil
}

// ask sends a request and notes what its client was told. It returns the status,
// 0 where there was no whole answer, and how long to wait before the next one.
func ask(ctx context.Context, way http.RoundTripper, l *Ledger, r request) (status int, again time.Duration) {
	req, err := r.build(ctx)
	if err != nil {
		l.AddViolation(Lost, r.attempt, err.Error())
		return 0, 0
	}
	resp, err := way.RoundTrip(req)
	if err != nil {
		l.RecordOutcome(r.attempt, OutcomeUnknown)
		return 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		l.RecordOutcome(r.attempt, OutcomeUnknown)
		return 0, 0
	}
	told := meaning(resp.StatusCode)
	l.RecordOutcome(r.attempt, told)
	if resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout {
		l.RecordGiveUp(r.attempt)
	}
	if told == OutcomeComplete && !bytes.Equal(body, Body(r.attempt, r.size)) {
		l.AddViolation(Partial, r.attempt, fmt.Sprintf("%d bytes of %d, beginning %.40q", len(body), r.size, body))
	}
	return resp.StatusCode, againOf(resp)
}

// meaning is what a status promises.
func meaning(status int) Outcome {
	switch status {
	case http.StatusOK:
		return OutcomeComplete
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusNotFound:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// againOf is the wait that an answer asks for.
func againOf(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxAgain)
}

// client sends requests to one node until the context ends. It keeps its
// connection in use until the node's process is gone.
type client struct {
	name   string
	m      *machine
	random *rand.Rand
	ledger *Ledger
}

func (c *client) run(ctx context.Context) {
	way := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	defer way.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		var pause time.Duration
		if !c.m.leftSince(time.Now().Add(-noticeTime)) {
			pause = c.one(way, n)
		}
		_ = wait.For(ctx, max(pause, time.Duration(c.random.Int64N(int64(thinkTime)))))
	}
}

// one sends one request and returns the wait before the next.
func (c *client) one(way *http.Transport, n int) time.Duration {
	r := c.draw(n)
	ctx, cancel := context.WithTimeout(context.Background(), patience+lateBound)
	defer cancel()
	c.ledger.RecordSent(r.attempt, r.order)
	c.ledger.RecordDispatch(r.attempt, c.m.name, time.Now().Add(patience))
	if leaves := c.random.Float64() < leaveShare; leaves {
		r.work = longWork
		timer := time.AfterFunc(time.Duration(5+c.random.IntN(100))*time.Millisecond, func() {
			c.ledger.RecordCancel(r.attempt)
			cancel()
		})
		defer timer.Stop()
	}
	began := time.Now()
	status, again := ask(ctx, way, c.ledger, r)
	c.check(r, began, status, ctx)
	return again
}

func (c *client) draw(n int) request {
	path := services[c.random.IntN(len(services))]
	r := request{
		at:      c.m.clients,
		attempt: fmt.Sprintf("%s-%d", c.name, n),
		order:   c.random.Float64() < orderShare,
		work:    5 + c.random.IntN(maxWork),
		size:    100 + c.random.IntN(maxSize),
		call:    c.random.Float64() < callShare,
		left:    patience,
	}
	r.path = "/" + path + "/x"
	if r.order {
		r.path = "/" + path + "-order/x"
	}
	return r
}

// check looks for a request without an answer where its node had no reason.
func (c *client) check(r request, began time.Time, status int, ctx context.Context) {
	if status != 0 || !c.ledger.CancelledAt(r.attempt).IsZero() {
		return
	}
	if ctx.Err() != nil {
		if c.ledger.NoFaultSince(began, faultPause, downFault(c.m.name)) {
			c.ledger.AddViolation(Lost, r.attempt, fmt.Sprintf("no answer after %v", time.Since(began).Round(time.Millisecond)))
		}
		return
	}
	if at := c.m.stopped(); !at.IsZero() && began.Before(at.Add(noticeTime)) && c.ledger.NoFaultSince(began, downFault(c.m.name)) {
		c.ledger.AddViolation(Cut, r.attempt, fmt.Sprintf("sent %v after the planned stop of %s", began.Sub(at).Round(time.Millisecond), c.m.name))
	}
}
