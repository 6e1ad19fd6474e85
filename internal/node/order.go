package node

import (
	"context"
	"crypto/rand"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
	"heathershed/internal/outcome"
)

const (
	// homeRetryAfter is the Retry-After of an order whose home can't decide on
	// it now, and the least one of an order that is running.
	homeRetryAfter = time.Second
	// linkWait bounds the wait for a link that is still opening, such as one to
	// a home that was not used recently.
	linkWait = 500 * time.Millisecond
	// linkPoll is the polling interval of that wait.
	linkPoll = 5 * time.Millisecond
)

// sendOrder sends an order to its home node, once: only the home may retry.
func (n *Node) sendOrder(ctx context.Context, c *call) *linkpb.CallReply {
	home, ok := n.responsibleHome(c.kind.Service, c.order)
	if !ok {
		return refuseHome("no home of this order id is known")
	}
	if home.VM != n.cfg.VM && !n.awaitLink(ctx, home.VM) {
		return refuseHome("no link to " + home.VM + ", the home of this order id")
	}
	reply, _ := n.callVM(ctx, c, home.VM, home.Incarnation, 0, linkpb.OrderRole_ORDER_ROLE_HOME, nil)
	c.homeDecided = reply.Load != nil
	n.observePressure(time.Now(), c, reply)
	return reply
}

// refuseHome returns a not-run reply with a Retry-After for an order whose home
// can't decide on it now.
func refuseHome(detail string) *linkpb.CallReply {
	return outcome.RetryAfterReply(homeRetryAfter, contract.ReasonOrderHome, detail)
}

// responsibleHome returns the home of an order id, or the home's successor if
// the home is known to have ended.
func (n *Node) responsibleHome(service string, id contract.OrderID) (homes.Home, bool) {
	document := n.homes.Current()
	home, ok := document.Home(service, id)
	if !ok || home == n.self() || n.memberUp(home) {
		return home, ok
	}
	if successor, ok := document.Successor(service, id); ok && n.gone(home) {
		return successor, true
	}
	return home, true
}

// memberUp reports whether this incarnation of a VM is live.
func (n *Node) memberUp(h homes.Home) bool {
	m := n.control.members.Load().byVM[h.VM]
	return m != nil && m.Incarnation == h.Incarnation && membership.IsLive(m)
}

// gone reports whether this incarnation of a VM is known to have ended. It is
// false for a VM that is not known.
func (n *Node) gone(h homes.Home) bool {
	m := n.control.members.Load().byVM[h.VM]
	return m != nil && (m.Incarnation > h.Incarnation || !membership.IsLive(m))
}

// awaitLink requests a link to a VM and waits up to linkWait for it.
func (n *Node) awaitLink(ctx context.Context, vm string) bool {
	n.demand.vm(time.Now(), vm)
	for waited := time.Duration(0); !n.links.Up(vm); waited += linkPoll {
		if waited >= linkWait || !sleep(ctx, linkPoll) {
			return false
		}
	}
	return true
}

// serveHome serves an order as its home, or as the successor of its home.
func (n *Node) serveHome(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	reply := n.decideOrder(ctx, req)
	reply.Load = n.load(req.Kind)
	if reply.Vm == "" {
		reply.Vm = n.cfg.VM
	}
	return reply
}

func (n *Node) decideOrder(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	attempt := order.Attempt{
		Known:    req.CallerAttemptKnown,
		Number:   req.CallerAttempt,
		Received: time.UnixMicro(req.ReceivedUnixUs),
	}
	kind, reply := n.checkHome(req)
	if reply != nil {
		reply.Verdict = uint32(attempt.UnrecordedVerdict())
		return reply
	}
	id := contract.OrderID(req.OrderId)
	now := time.Now()
	var d order.Decision
	if _, own, limit := n.homes.HomeOf(id); own {
		d = n.orders.Begin(now, id, kind.Owner, kind.Name, fingerprint(req), limit, attempt)
	} else if n.isSuccessor(kind.Service, id) {
		d = n.orders.Lookup(now, id, kind.Owner, kind.Name, fingerprint(req), attempt)
	} else {
		reply := refuseHome(n.cfg.VM + " is not the home of this order id")
		reply.Verdict = uint32(attempt.UnrecordedVerdict())
		return reply
	}
	if d.Kind == order.DecisionRun {
		n.recordOrderBegun(req, kind)
		return n.runOrder(ctx, req, kind)
	}
	return replyOfDecision(d)
}

// isSuccessor reports whether this node answers for an order id whose home has
// left.
func (n *Node) isSuccessor(service string, id contract.OrderID) bool {
	successor, ok := n.homes.Current().Successor(service, id)
	return ok && successor == n.self()
}

// checkHome rejects an order that this node can't decide on.
func (n *Node) checkHome(req *linkpb.CallRequest) (*contract.Kind, *linkpb.CallReply) {
	if req.TargetIncarnation != 0 && req.TargetIncarnation != n.incarnation {
		return nil, outcome.NotRunReply(contract.ReasonStaleTarget, n.cfg.VM+" was restarted")
	}
	if n.phase() == phaseSuperseded {
		return nil, outcome.NotRunReply(contract.ReasonStaleTarget, n.cfg.VM+" has a newer process")
	}
	current, _ := n.catalogue.Current()
	kind, ok := current.Kind(req.Kind)
	if !ok || kind.Service != n.cfg.Service || !kind.IsOrder() {
		return nil, outcome.NotRunReply(contract.ReasonUnknownKind, "catalogue of "+n.cfg.VM+" has no order kind "+req.Kind)
	}
	if len(req.OrderId) != len(contract.OrderID{}) || len(req.RootId) != len(contract.RootID{}) {
		return nil, outcome.NotRunReply(contract.ReasonBadRequest, "order id or root id")
	}
	return kind, nil
}

// fingerprint hashes the content of an order. A repetition under the same order
// id must have the same content.
func fingerprint(req *linkpb.CallRequest) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(req.Method)
	_, _ = h.WriteString("\x00" + req.Uri + "\x00")
	_, _ = h.Write(req.Body)
	return h.Sum64()
}

// runOrder runs an order that the home has recorded. The order runs to
// completion even if the caller disconnects, so that a repetition finds the
// recorded answer.
func (n *Node) runOrder(ctx context.Context, req *linkpb.CallRequest, kind *contract.Kind) *linkpb.CallReply {
	deadline, bounded := ctx.Deadline()
	ctx, release := n.untilAbort(context.WithoutCancel(ctx))
	defer release()
	if bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	id := contract.OrderID(req.OrderId)
	n.orders.MarkSent(time.Now(), id, kind.Owner, kind.Name)
	c := n.callOf(req, kind)
	reply := n.execute(ctx, c)
	n.orders.End(time.Now(), id, kind.Owner, kind.Name, answerOf(reply))
	reply.RetriesSpent = uint32(c.budget.Close())
	return reply
}

// callOf returns the call that the home runs on behalf of the order's caller.
func (n *Node) callOf(req *linkpb.CallRequest, kind *contract.Kind) *call {
	return &call{
		kind:         kind,
		root:         contract.RootID(req.RootId),
		class:        contract.Class(req.Class),
		depth:        req.Depth,
		order:        contract.OrderID(req.OrderId),
		attempt:      int(req.CallerAttempt),
		attemptKnown: req.CallerAttemptKnown,
		budget:       n.policy.NewBudget(int(req.Retries)),
		received:     time.UnixMicro(req.ReceivedUnixUs),
		catalogue:    req.CatalogueVersion,
		method:       req.Method,
		uri:          req.Uri,
		headers:      req.Headers,
		body:         req.Body,
	}
}

// execute runs the order at the local upstream or, if the local upstream takes
// no requests or rejects the order without running it, at another one.
func (n *Node) execute(ctx context.Context, c *call) *linkpb.CallReply {
	const role = linkpb.OrderRole_ORDER_ROLE_EXECUTE
	s := &sendState{}
	for {
		var reply *linkpb.CallReply
		if s.number == 0 && n.takesWork() {
			s.recordChoice(n.cfg.VM)
			reply, _ = n.callVM(ctx, c, n.cfg.VM, n.incarnation, 0, role, nil)
		} else {
			reply, _ = n.attempt(ctx, c, s, role)
		}
		if outcome.Ran(reply) {
			n.ratio.Success()
			return reply
		}
		if !n.allowRetry(ctx, c, s.number-1, reply) {
			return reply
		}
	}
}

// deduplicateExecution passes a dispatch of an order's home to order.Executor. If
// the dispatch must not run, for example because it is a duplicate, it returns
// the reply. It returns nil for any other request.
func (n *Node) deduplicateExecution(req *linkpb.CallRequest, kind *contract.Kind, notAfter time.Time) *linkpb.CallReply {
	if req.OrderRole != linkpb.OrderRole_ORDER_ROLE_EXECUTE {
		return nil
	}
	if notAfter.IsZero() {
		notAfter = time.Unix(math.MaxInt32, 0)
	}
	id := contract.OrderID(req.OrderId)
	received := time.UnixMicro(req.ReceivedUnixUs)
	d := n.executor.Accept(time.Now(), id, kind.Owner, kind.Name, req.Attempt, received, notAfter)
	if d.Kind == order.DecisionRun {
		return nil
	}
	return replyOfDecision(d)
}

func replyOfDecision(d order.Decision) *linkpb.CallReply {
	if d.Kind == order.DecisionRecorded {
		return replyOfAnswer(d.Answer)
	}
	reply := outcome.Reply(d.Verdict, d.Reason, "")
	reply.RetryAfterMs = outcome.Milliseconds(d.RetryAfter)
	if d.Kind == order.DecisionRunning {
		reply.RetryAfterMs = max(reply.RetryAfterMs, outcome.Milliseconds(homeRetryAfter))
	}
	return reply
}

func answerOf(reply *linkpb.CallReply) order.Answer {
	a := order.Answer{
		Verdict: contract.Verdict(reply.Verdict),
		Reason:  contract.Reason(reply.Reason),
		Status:  int(reply.Status),
		Body:    reply.Body,
		VM:      reply.Vm,
	}
	for _, h := range reply.Headers {
		a.Headers = append(a.Headers, [2][]byte{h.Name, h.Value})
	}
	return a
}

func replyOfAnswer(a order.Answer) *linkpb.CallReply {
	reply := outcome.Reply(a.Verdict, a.Reason, "")
	reply.Status, reply.Body, reply.Vm = uint32(a.Status), a.Body, a.VM
	for _, h := range a.Headers {
		reply.Headers = append(reply.Headers, &linkpb.Header{Name: h[0], Value: h[1]})
	}
	return reply
}

// serveOrderID issues an order id whose home is reachable.
func (n *Node) serveOrderID(rc *fasthttp.RequestCtx) {
	service := string(rc.QueryArgs().Peek("service"))
	id, ok := order.FreshID(time.Now(), n.homes.Current(), service, n.reachable, rand.Reader)
	if !ok {
		rc.Error("no home of service "+service+" can be reached; ask again in a second\n", fasthttp.StatusServiceUnavailable)
		return
	}
	rc.SetContentType("text/plain; charset=utf-8")
	rc.SetBodyString(id.String())
}

// reachable reports whether a home is expected to answer: it is live, and its
// link is up or no link to it has been requested.
func (n *Node) reachable(h homes.Home) bool {
	if h == n.self() {
		return true
	}
	return n.memberUp(h) && (n.links.Up(h.VM) || !n.links.HasTarget(h.VM))
}
