package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	"heathershed/internal/contract"
	"heathershed/internal/contract/retry"
	"heathershed/internal/freshness"
	"heathershed/internal/ingress"
	"heathershed/internal/memory"
	"heathershed/internal/outcome"
	"heathershed/internal/poison"
	"heathershed/internal/routes"
	"heathershed/internal/upstream"
	"heathershed/internal/workspace"
	"heathershed/platform"
)

const (
	// defaultTimeout bounds requests for which neither the client nor the
	// route gives a timeout.
	defaultTimeout = 30 * time.Second
	// A request that returns is expected to take latencyMargin times the mean
	// latency of its kind.
	latencyMargin = 2
)

// call is one request that this node forwards, from its client or from the
// local upstream.
type call struct {
	attempt string
	route   *routes.Route
	service string
	// inner is set for a nested call: one that the local upstream makes. It is
	// called inner on the wire and in logs.
	inner bool
	// parentKind and parentID are the route and the attempt id of the request
	// that a nested call belongs to. Both are empty if that request is not
	// known.
	parentKind, parentID string
	// level is the priority level of the root request, and admitted the
	// threshold that it met at the ingress.
	level, admitted contract.Level
	// shared says that the rank within the level follows from the share of the
	// workspace.
	shared bool
	// workspace is the one that the root request belongs to; nil if it has none.
	workspace *workspace.Workspace
	received  time.Time
	deadline  time.Time
	method    string
	uri       string
	host      string
	headers   []*linkpb.Header
	body      []byte
	// upload is the body if it is passed on as it arrives; body is empty then.
	upload *ingress.Upload
	// key identifies the content; 0 until it is needed.
	key poison.Key
	// room is the memory for the answer; nil until the call is forwarded. roomPassed says
	// that it was passed on with the answer.
	room       *memory.Claim
	roomPassed bool
	// table is the configuration that the call is served by, and confirmed its newest
	// confirmation when the call arrived.
	table     *configuration
	confirmed freshness.Confirmation
}

// serveClient handles a request on the ingress, from a client or from the
// local upstream.
func (n *Node) serveClient(ctx context.Context, rc *fasthttp.RequestCtx) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, held := upstream.WithHeld(ctx)
	defer held.Release()
	began := time.Now()
	c, reply := n.accept(rc, began)
	if ingress.RunsAhead(ctx) {
		n.metrics.ahead.Inc(1)
		if reply == nil && !c.route.Idempotent { // the route has changed since mayRunAhead
			reply = outcome.NotRunReply(contract.ReasonNoUpstream, "the route has become one of orders")
		}
	}
	if reply == nil {
		reply = n.forward(ctx, c)
	}
	defer c.releaseRoom()
	n.writeReply(rc, c, reply)
	took := time.Since(began)
	n.metrics.calls.Record(reply, took)
	n.metrics.countEnd(c, reply)
	n.logEnd(c, reply, took)
}

// mayRunAhead reports whether a pipelined request may run before the answers to those in
// front of it are sent: it matches a route of idempotent requests.
func (n *Node) mayRunAhead(req *fasthttp.Request) bool {
	route, ok := n.routeOf(req)
	return ok && route.Idempotent
}

// routeOf returns the route that a request matches in the active configuration.
func (n *Node) routeOf(req *fasthttp.Request) (route *routes.Route, ok bool) {
	table := n.table.Load()
	if table == nil {
		return nil, false
	}
	path, _, _ := strings.Cut(string(req.Header.RequestURI()), "?")
	return table.Match(string(req.Host()), path)
}

// forward sends a call to an upstream of its service. A client's request below
// the threshold of its call tree is shed here, before it costs anything
// downstream, and one over the limit of its workspace is rejected.
func (n *Node) forward(ctx context.Context, c *call) *linkpb.CallReply {
	now := time.Now()
	if !c.inner {
		c.admitted = n.pressure.Threshold(now, c.service, c.route.Name)
		if c.level < c.admitted {
			n.logShed(c, c.admitted)
			n.metrics.countBeyondShare(c.shared)
			return outcome.NotRunReply(contract.ReasonOverload, overloadDetail("shed at the front", c.workspaceName(), c.shared))
		}
	}
	if reply := n.rejectCrashing(c); reply != nil {
		return reply
	}
	ctx, cancel := n.requestContext(ctx, c.deadline)
	defer cancel()
	if reply := n.reserveRoom(now, c); reply != nil {
		return reply
	}
	if reply := n.quotas.check(ctx, c); reply != nil {
		return reply
	}
	n.pressure.Sent(now, c.service, c.route.Name)
	reply := n.send(c.withUpload(c.withRoom(ctx)), c)
	n.pressure.Settled(time.Now(), c.service, c.route.Name)
	reply = c.checkUpload(reply)
	return n.settleRoom(ctx, c, reply)
}

// accept parses a request into a call. If the request is invalid or can't be
// served, the returned reply answers it.
func (n *Node) accept(rc *fasthttp.RequestCtx, now time.Time) (*call, *linkpb.CallReply) {
	c := &call{received: now}
	in, err := platform.ReadInbound(&rc.Request.Header)
	c.attempt = in.Attempt
	c.deadline = now.Add(defaultTimeout)
	if in.Remaining > 0 {
		c.deadline = now.Add(in.Remaining)
	}
	if err != nil {
		return c, outcome.NotRunReply(contract.ReasonBadRequest, err.Error())
	}
	if detail := ingress.Ambiguity(&rc.Request.Header); detail != "" {
		rc.SetConnectionClose()
		return c, outcome.NotRunReply(contract.ReasonBadRequest, detail)
	}
	if reply := n.findRoute(rc, c); reply != nil {
		return c, reply
	}
	if reply := n.findOrigin(&rc.Request.Header, now, c, in.Remaining); reply != nil {
		return c, reply
	}
	if !n.admits(now, c) {
		return c, outcome.NotRunReply(contract.ReasonLeaving, "the node stops")
	}
	c.method = string(rc.Method())
	c.headers = ingress.CopyHeadersIf(&rc.Request.Header, c.forwardsHeader)
	c.upload = ingress.UploadOf(rc)
	c.body = rc.Request.Body() // read by the ingress for this request alone
	return c, nil
}

// findRoute sets the route and the service of a call. If the request matches
// no route or is over a limit, the returned reply answers it.
func (n *Node) findRoute(rc *fasthttp.RequestCtx, c *call) *linkpb.CallReply {
	// Read before the table: an older confirmation never makes a newer table valid.
	c.confirmed, _ = n.freshness.Newest()
	table := n.table.Load()
	c.table = table
	if table == nil {
		return outcome.NotRunReply(contract.ReasonNoUpstream, "no configuration is known yet")
	}
	c.host = string(rc.Host())
	c.uri = string(rc.RequestURI())
	path, _, _ := strings.Cut(c.uri, "?")
	route, ok := table.Match(c.host, path)
	if !ok {
		return outcome.NotRunReply(contract.ReasonUnknownKind, n.noRouteDetail(table))
	}
	if reply := checkLimits(&rc.Request, table.Table); reply != nil {
		return reply
	}
	if route.Unavailable {
		return outcome.NotRunReply(contract.ReasonNoUpstream, "the entry of the route can't be read")
	}
	c.route = route
	c.service = n.split.Next(route)
	return nil
}

// checkLimits returns the reply to a request that is over a limit of the
// configuration, or nil.
func checkLimits(req *fasthttp.Request, table *routes.Table) *linkpb.CallReply {
	header := ingress.HeaderSize(&req.Header)
	if limit := table.Limits.HeaderBytes; limit > 0 && header > limit {
		return outcome.NotRunReply(contract.ReasonHeaderTooLarge, fmt.Sprintf("header of %d bytes, version %d allows %d", header, table.Version, limit))
	}
	if limit := table.Limits.BodyBytes; limit > 0 && len(req.Body()) > limit {
		return outcome.NotRunReply(contract.ReasonTooLarge, fmt.Sprintf("body of %d bytes, version %d allows %d", len(req.Body()), table.Version, limit))
	}
	return nil
}

// noRouteDetail says by which version a request has no route, and how old the
// knowledge is that it is the newest.
func (n *Node) noRouteDetail(table *configuration) string {
	return fmt.Sprintf("no route of this host and path in version %d, %s", table.Version, n.freshnessText(bootclock.Now()))
}

// findOrigin distinguishes a client's request from a nested call of the local
// upstream, sets the workspace and the priority level accordingly and applies the
// timeout of the route. If the client may not make the request, the returned reply
// answers it.
func (n *Node) findOrigin(h *fasthttp.RequestHeader, now time.Time, c *call, left time.Duration) *linkpb.CallReply {
	origin, reply := n.identify(h, now, c, left)
	if reply != nil {
		return reply
	}
	c.inner = origin.Nested
	if c.inner {
		c.parentKind, c.parentID = origin.Parent.Kind, origin.Parent.ID
		c.level, c.admitted = origin.Parent.Level, origin.Parent.Admitted
	} else {
		n.setLevel(now, c)
	}
	if t := c.route.Timeout; t > 0 && now.Add(t).Before(c.deadline) {
		c.deadline = now.Add(t)
	}
	return nil
}

// writeReply writes the reply of a call to its client. Clients take some
// statuses as a promise that the request has not run and send it again. If an
// order ran and the upstream answered with such a status, the client gets 502
// without the upstream's seal.
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
	c.setBody(rc, reply.Body)
}

// impliesNotRun reports whether clients take a status to mean that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeLocalReply writes an answer that comes from the node itself, not from
// an upstream.
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

// statusOf returns the HTTP status of an answer that comes from the node
// itself; docs/VERDICTS.md lists them. A request that has not run and may be
// sent again gets 503.
func statusOf(v contract.Verdict, r contract.Reason) int {
	switch r {
	case contract.ReasonUnknownKind, contract.ReasonBadRequest, contract.ReasonTooLarge, contract.ReasonHeaderTooLarge,
		contract.ReasonUnauthenticated, contract.ReasonQuota:
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

// retryAfter returns how long the client of a request that has not run should
// wait before it sends the request again.
func (n *Node) retryAfter(c *call, reply *linkpb.CallReply) time.Duration {
	back := retry.Return{
		Room: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Left: time.Until(c.deadline),
	}
	if c.route != nil {
		back.Takes = latencyMargin * n.fleet.Latency(time.Now(), c.service, c.route.Name)
	}
	return back.After(rand.Float64())
}
