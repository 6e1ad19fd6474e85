package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/outcome"
	"heathershed/internal/routes"
	"heathershed/platform"
)

const (
	// defaultTimeout bounds requests where neither client nor route does.
	defaultTimeout = 30 * time.Second
	// retryAfter and comeBackSpread say when a refused request may come again,
	// where nothing better is known.
	retryAfter       = 150 * time.Millisecond
	retryAfterJitter = 350 * time.Millisecond
	// retryAfterDivisor is the part of the time left that a client waits at most.
	retryAfterDivisor = 3
)

// call is one request that this node sees through, from its client to the
// answer.
type call struct {
	attempt string
	route   *routes.Route
	service string
	// inner: the own upstream asks, not a client.
	inner bool
	// parent and parentID are the route and the attempt of the request that an
	// inner call belongs to; empty where that can't be told.
	parentKind, parentID string
	// level is that of the root request.
	level    contract.Level
	deadline time.Time
	// objectiveAt is until when the answer has its full worth; zero: the deadline.
	objectiveAt time.Time
	method      string
	uri         string
	host        string
	headers     []*linkpb.Header
	body        []byte
}

// serveClient is the front's handler.
func (n *Node) serveClient(ctx context.Context, rc *fasthttp.RequestCtx) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	c, reply := n.accept(rc, began)
	if reply == nil {
		reply = n.forward(ctx, c)
	}
	n.writeReply(rc, c, reply)
	took := time.Since(began)
	n.metrics.calls.Record(reply, took)
	n.logEnd(c, reply, took)
}

// forward sends a call, unless what it will meet on its way sheds it.
func (n *Node) forward(ctx context.Context, c *call) *linkpb.CallReply {
	now := time.Now()
	threshold := n.pressure.Threshold(now, c.service, c.route.Name)
	if !c.inner && c.level < threshold {
		n.logShed(c, threshold)
		return outcome.NotRunReply(contract.ReasonOverload, "shed at the front")
	}
	ctx, cancel := n.requestContext(ctx, c.deadline)
	defer cancel()
	n.pressure.Sent(now, c.service, c.route.Name)
	reply := n.send(ctx, c)
	n.pressure.Settled(time.Now(), c.service, c.route.Name)
	return reply
}

// accept turns a request into a call, or into the reply that ends it.
func (n *Node) accept(rc *fasthttp.RequestCtx, now time.Time) (*call, *linkpb.CallReply) {
	c := &call{}
	in, err := platform.ReadInbound(&rc.Request.Header)
	c.attempt = in.Attempt
	c.deadline = now.Add(defaultTimeout)
	if in.Remaining > 0 {
		c.deadline = now.Add(in.Remaining)
	}
	if err != nil {
		return c, outcome.NotRunReply(contract.ReasonBadRequest, err.Error())
	}
	if ingress.HasConflictingLengths(&rc.Request.Header) {
		rc.SetConnectionClose()
		return c, outcome.NotRunReply(contract.ReasonBadRequest, "both a length and chunks")
	}
	if reply := n.findRoute(rc, c); reply != nil {
		return c, reply
	}
	n.findOrigin(now, c, in.Remaining)
	if !c.inner && !n.admits(now, c.deadline) {
		return c, outcome.NotRunReply(contract.ReasonLeaving, "the node stops")
	}
	c.method = string(rc.Method())
	c.headers = ingress.CopyHeadersIf(&rc.Request.Header, platform.ForwardsRequestHeader)
	c.body = append([]byte(nil), rc.Request.Body()...)
	return c, nil
}

// findRoute finds the route and the service that a request is for, or returns
// the reply that ends it.
func (n *Node) findRoute(rc *fasthttp.RequestCtx, c *call) *linkpb.CallReply {
	table := n.table.Load()
	if table == nil {
		return outcome.NotRunReply(contract.ReasonNoUpstream, "no configuration is known yet")
	}
	c.host = string(rc.Host())
	c.uri = string(rc.RequestURI())
	path, _, _ := strings.Cut(c.uri, "?")
	route, ok := table.Match(c.host, path)
	if !ok {
		return outcome.NotRunReply(contract.ReasonUnknownKind, "no route of this host and path")
	}
	if limit := table.Limits.BodyBytes; limit > 0 && len(rc.Request.Body()) > limit {
		return outcome.NotRunReply(contract.ReasonTooLarge, "request body over the limit")
	}
	c.route = route
	c.service = n.split.Next(route)
	return nil
}

// findOrigin tells a client's request from a call of the own upstream, and sets
// the level and the times that follow.
func (n *Node) findOrigin(now time.Time, c *call, left time.Duration) {
	origin := n.correlation.Find(now, c.route.Name, left)
	c.inner = origin.Nested
	if c.inner {
		c.parentKind, c.parentID, c.level = origin.Parent.Kind, origin.Parent.ID, origin.Parent.Level
	} else {
		c.level = levelOf(c.route.Rank, c.attempt)
	}
	c.setTimes(now, origin.Elapsed)
}

// bound sets the times of a call whose client has waited before.
func (c *call) setTimes(now time.Time, elapsed time.Duration) {
	if t := c.route.Timeout; t > 0 && now.Add(t).Before(c.deadline) {
		c.deadline = now.Add(t)
	}
	if o := c.route.Objective - elapsed; o > 0 && c.route.Idempotent && !c.inner {
		c.objectiveAt = now.Add(o)
	}
}

// levelOf is the level of a client's request: by the urgency of its route and,
// within it, by a number that is the same at every hop.
func levelOf(rank int, attempt string) contract.Level {
	class := max(contract.NumClasses-1-max(rank, 0), 0)
	return contract.LevelOf(contract.Class(class), uint16(xxhash.Sum64String(attempt)%contract.RanksPerClass))
}

// answer writes the reply of a call to its client.
func (n *Node) writeReply(rc *fasthttp.RequestCtx, c *call, reply *linkpb.CallReply) {
	if !outcome.Ran(reply) {
		n.writeLocalReply(rc, c, reply)
		return
	}
	status := int(reply.Status)
	h := &rc.Response.Header
	misleading := !c.route.Idempotent && impliesNotRun(status)
	for _, header := range reply.Headers {
		if !(misleading && platform.IsSeal(header.Name)) {
			h.AddBytesKV(header.Name, header.Value)
		}
	}
	if misleading {
		status = fasthttp.StatusBadGateway
	}
	rc.SetStatusCode(status)
	rc.SetBody(reply.Body)
}

// impliesNotRun reports whether clients take a status for "not run".
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeLocalReply writes an answer of the node's own.
func (n *Node) writeLocalReply(rc *fasthttp.RequestCtx, c *call, reply *linkpb.CallReply) {
	verdict, reason := contract.Verdict(reply.Verdict), contract.Reason(reply.Reason)
	rc.SetStatusCode(statusOf(verdict, reason))
	if verdict == contract.NotRun {
		wait := n.retryAfter(c, reply)
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, platform.RetryAfter(wait))
	}
	rc.SetContentType("text/plain; charset=utf-8")
	rc.SetBodyString(verdict.String() + ": " + reason.String() + ": " + reply.Detail + "\n")
}

// statusOf is the status of an answer of the node's own, see docs/VERDICTS.md.
// Whatever has not run and may be sent again is 503.
func statusOf(v contract.Verdict, r contract.Reason) int {
	switch r {
	case contract.ReasonUnknownKind, contract.ReasonBadRequest, contract.ReasonTooLarge:
		return contract.Status(v, r)
	}
	switch {
	case v == contract.NotRun:
		return fasthttp.StatusServiceUnavailable
	case r == contract.ReasonDeadline, r == contract.ReasonCancelled:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// retryAfter is when a request that has not run may come again: when room is
// expected, spread, and within the part of its time that clients wait.
func (n *Node) retryAfter(c *call, reply *linkpb.CallReply) time.Duration {
	wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
	wait = max(wait, retryAfter) + rand.N(retryAfterJitter)
	left := time.Until(c.deadline) / retryAfterDivisor
	return max(min(wait, left), 0)
}
