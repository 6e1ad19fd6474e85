package ingress

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// aheadKey is the context key of requests that run ahead.
type aheadKey struct{}

// RunsAhead reports whether a request runs before its answer is due, because it was
// found idempotent. ctx is that of its handler.
func RunsAhead(ctx context.Context) bool { return ctx.Value(aheadKey{}) != nil }

// aheadRequest is a request that runs before its answer is due.
type aheadRequest struct {
	rc     fasthttp.RequestCtx
	size   int // as received, in bytes
	cancel context.CancelFunc
	// standIn is what the server reads in its place.
	standIn []byte
	// done is closed when the answer is ready.
	done chan struct{}
	// held is the memory of the request and its answer. Guarded by the connection.
	held int
	// expected is the part of held that is for the answer until it is ready.
	expected int
	// dropped says that the answer is not needed. Guarded by the connection.
	dropped bool
}

// handOver moves the answer of a request that has run ahead to the server's. A large one
// waits for memory.
func (p *pipeline) handOver(ctx context.Context, r *aheadRequest, rc *fasthttp.RequestCtx) {
	from, to := &r.rc.Response, &rc.Response
	body := from.Body()
	from.Header.CopyTo(&to.Header)
	to.SkipBody = from.SkipBody
	if p.responses == nil || len(body) <= FreeAnswer {
		to.SetBodyRaw(body)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	room := p.responses.Claim(time.Now(), false, nil)
	if err := room.Await(ctx, int64(len(body))); err != nil {
		room.Release()
		rc.Error("no memory was left for the answer", fasthttp.StatusBadGateway)
		rc.SetConnectionClose()
		return
	}
	room.Settle(int64(len(body)))
	SetAnswer(rc, body, room)
}

// runAheadLocked starts the requests behind the current one that may run beside it.
func (c *pipelinedConn) runAheadLocked() {
	for c.concurrent && !c.closing && !c.blocked && c.stage == stageServed && len(c.ahead) < maxAheadRequests &&
		c.held < maxHeldBytes && !c.p.draining.Load() {
		data := c.buf[c.start+c.aheadSize : c.end]
		if len(data) == 0 {
			return
		}
		r := &aheadRequest{done: make(chan struct{})}
		size, state := readRequest(data, c.p.headBytes, &r.rc.Request)
		if state == incomplete {
			return
		}
		if state == invalid || !c.p.mayRunAhead(&r.rc.Request) {
			c.blocked = true
			return
		}
		expected := int(c.p.answerSize(&r.rc.Request))
		cost := requestCost + size + expected
		if !c.p.admit(cost) {
			return
		}
		r.size, r.held, r.expected = size, cost, expected
		r.standIn = standInFor(&r.rc.Request.Header)
		c.held += cost
		c.ahead = append(c.ahead, r)
		c.aheadSize += size
		c.blocked = r.rc.Request.Header.ConnectionClose() // nothing behind it is read
		c.setOwedLocked()
		c.startLocked(r)
	}
}

// admit counts a request that is to run ahead and takes its memory, if there is room for it.
func (p *pipeline) admit(cost int) bool {
	if !p.reserve(cost) {
		return false
	}
	if p.running.Add(1) <= maxAheadRunning && p.owe() {
		return true
	}
	p.running.Add(-1)
	p.memory.Add(-int64(cost))
	return false
}

// owe counts an answer that is owed, unless the server drains. It is counted before that is
// checked, so that a Shutdown which finds none owed has none begin after that.
func (p *pipeline) owe() bool {
	p.owed.Add(1)
	if p.draining.Load() {
		p.owed.Add(-1)
		return false
	}
	return true
}

// mayRunAhead reports whether a request that was received completely may run before its
// turn: it is idempotent, and the server would not refuse it.
func (p *pipeline) mayRunAhead(req *fasthttp.Request) bool {
	return len(req.Body()) <= p.bodyLimit() && Ambiguity(&req.Header) == "" && p.idempotent(req)
}

// standInFor returns the request that the server reads in place of one that has run
// ahead. The method, protocol and connection option decide how its answer is written. It
// has no body, so none of the bounds on bodies can refuse it.
func standInFor(h *fasthttp.RequestHeader) []byte {
	option := "keep-alive"
	if h.ConnectionClose() {
		option = "close"
	}
	return fmt.Appendf(nil, "%s / %s\r\nHost: h\r\nContent-Length: 0\r\nConnection: %s\r\n\r\n", h.Method(), h.Protocol(), option)
}

// startLocked starts a request.
func (c *pipelinedConn) startLocked(r *aheadRequest) {
	c.p.started.Add(1)
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), aheadKey{}, true))
	r.cancel = cancel
	const reduceMemory = true // as the server
	r.rc.Init2(c, discardLog{}, reduceMemory)
	c.p.template.CopyTo(&r.rc.Response)
	go func() {
		defer c.p.running.Add(-1)
		defer cancel()
		c.p.handle(ctx, &r.rc)
		c.ready(r)
		close(r.done)
	}()
}

// ready records that the answer of a request is ready. If it closes the connection, no
// further requests run ahead; those that do are answered first.
func (c *pipelinedConn) ready(r *aheadRequest) {
	size, closes := len(r.rc.Response.Body()), r.rc.Response.ConnectionClose()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.dropped {
		return
	}
	more := size - r.expected
	r.held += more
	c.held += more
	c.p.memory.Add(int64(more))
	c.closing = c.closing || closes
}

// discardLog is the logger of requests that run ahead. Their handlers log by
// themselves.
type discardLog struct{}

// Printf implements fasthttp.Logger.
func (discardLog) Printf(string, ...any) {}
