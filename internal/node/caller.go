package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/contract/retry"
	"heathershed/internal/ingress"
	"heathershed/internal/order"
	"heathershed/internal/order/homes"
	"heathershed/internal/outcome"
	"heathershed/internal/timeline"
)

// call is one call that this node handles from its caller's request to the
// reply.
type call struct {
	kind         *contract.Kind
	root         contract.RootID
	class        contract.Class
	depth        uint32
	order        contract.OrderID
	attempt      int
	attemptKnown bool
	budget       *retry.Budget
	parentCall   *parent // nil for a root call
	catalogue    uint64
	method, uri  string
	headers      []*linkpb.Header
	body         []byte
	timeout      time.Duration // for all attempts together, from the arrival of the call
	received     time.Time
	// homeDecided is set once the home of an order has decided. The verdict
	// then applies to the order id, not only to this copy of the order.
	homeDecided bool
}

func (c *call) level() contract.Level { return contract.LevelOf(c.class, c.root.Rank()) }

// orderIDPath is the path that issues order ids.
const orderIDPath = "/.heathershed/order-id"

// serveCaller is the ingress handler. It serves a root call of a client or a
// nested call of the local upstream.
func (n *Node) serveCaller(ctx context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == orderIDPath {
		n.serveOrderID(rc)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	c, reply := n.accept(rc)
	if reply == nil {
		reply = n.runCall(ctx, c, began)
	}
	c.extendToOrderID(reply)
	n.metrics.calls.Record(reply, time.Since(began))
	n.recordEnd(c, reply)
	ingress.WriteReply(rc, reply, c.root.String())
}

// accept turns a request into a call, or returns the reply that rejects it.
func (n *Node) accept(rc *fasthttp.RequestCtx) (*call, *linkpb.CallReply) {
	c := &call{root: contract.NewRootID(), received: time.Now()}
	if phase := n.phase(); phase == phaseStarting || phase == phaseSuperseded {
		return c, outcome.NotRunReply(contract.ReasonNoUpstream, "this node is not serving")
	}
	in, err := ingress.ReadHeaders(&rc.Request.Header)
	if err != nil {
		return c, outcome.NotRunReply(contract.ReasonBadRequest, err.Error())
	}
	current, version := n.catalogue.Current()
	kind, ok := current.Match(rc.Method(), rc.Path())
	if !ok {
		return c, outcome.NotRunReply(contract.ReasonUnknownKind, "no catalogue entry for this method and path")
	}
	c.kind, c.catalogue = kind, version
	c.class = kind.Class
	c.timeout = kind.Timeout
	if in.Timeout > 0 {
		c.timeout = min(c.timeout, in.Timeout)
	}
	c.order, c.attempt, c.attemptKnown = in.Order, in.Attempt, in.AttemptKnown
	if reply := c.check(len(rc.Request.Body())); reply != nil {
		return c, reply
	}
	if reply := n.adoptParent(c, in); reply != nil {
		return c, reply
	}
	c.method = string(rc.Method())
	c.uri = string(rc.RequestURI())
	c.headers = ingress.CopyHeaders(&rc.Request.Header)
	c.body = append([]byte(nil), rc.Request.Body()...)
	return c, nil
}

// extendToOrderID turns the not-run verdict of this copy of an order into the
// verdict for its order id. Another copy may have run, unless the caller's
// attempt number rules that out.
func (c *call) extendToOrderID(reply *linkpb.CallReply) {
	if c.kind == nil || !c.kind.IsOrder() || c.homeDecided || c.order.IsZero() {
		return
	}
	if contract.Verdict(reply.Verdict) == contract.NotRun {
		reply.Verdict = uint32(order.UnreachableVerdict(c.attemptKnown, uint32(c.attempt), c.order, homes.Home{}))
	}
}

// check rejects a call that violates the contract of its kind.
func (c *call) check(bodySize int) *linkpb.CallReply {
	if bodySize > c.kind.MaxRequest {
		return outcome.NotRunReply(contract.ReasonTooLarge, "request body over the limit of "+c.kind.Name)
	}
	if c.kind.IsOrder() && c.order.IsZero() {
		return outcome.NotRunReply(contract.ReasonBadRequest,
			c.kind.Name+" runs at most once: give "+contract.HeaderOrder+", a UUID of version 7, or ask "+orderIDPath)
	}
	return nil
}

// adoptParent attaches a nested call to its parent, or creates the retry budget
// of a root request.
func (n *Node) adoptParent(c *call, in ingress.Headers) *linkpb.CallReply {
	if in.CallID == "" {
		grant, ok := n.policy.RootGrant(c.kind.Retries, in.Attempt)
		if !ok {
			return outcome.NotRunReply(contract.ReasonRetryBudget, "repeats of this request are spent")
		}
		c.budget = n.policy.NewBudget(grant)
		return nil
	}
	p := n.parents.find(in.CallID)
	if p == nil {
		return outcome.NotRunReply(contract.ReasonParentEnded, "the request that this call belongs to has ended")
	}
	c.parentCall = p
	c.root, c.depth, c.budget = p.root, p.depth+1, p.budget
	c.class = max(c.class, p.class)
	return nil
}

// runCall runs the call within its deadline.
func (n *Node) runCall(ctx context.Context, c *call, began time.Time) *linkpb.CallReply {
	ctx, release := n.untilAbort(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, began.Add(c.timeout))
	defer cancel()
	if c.parentCall != nil {
		stop := context.AfterFunc(c.parentCall.ctx, cancel)
		defer stop()
	}
	if reply := n.shedAtIngress(c); reply != nil {
		return reply
	}
	if c.kind.IsOrder() {
		return n.sendOrder(ctx, c)
	}
	return n.send(ctx, c)
}

// shedAtIngress sheds a call at the ingress if its priority level is below the
// threshold that the pressure table derives from recent replies. Shedding here
// avoids work that would be shed further down the call tree.
func (n *Node) shedAtIngress(c *call) *linkpb.CallReply {
	threshold := n.pressure.Threshold(time.Now(), c.kind.Service, c.kind.Name)
	if c.level() >= threshold || n.policy.IsBaseline() {
		return nil
	}
	reply := outcome.NotRunReply(contract.ReasonOverload, "shed at the front door: "+c.kind.Service+" sheds this level")
	back := retry.Return{Left: c.timeout - time.Since(c.received)}
	reply.RetryAfterMs = outcome.Milliseconds(back.After(rand.Float64()))
	n.recordShed(c, reply)
	return reply
}

func (n *Node) recordEnd(c *call, reply *linkpb.CallReply) {
	kind := timeline.KindCallEndedBadly
	if contract.Verdict(reply.Verdict) == contract.Ran && c.order.IsZero() {
		if c.class != contract.ClassOrder {
			return
		}
		kind = timeline.KindCall // every hop below an order is recorded
	}
	e := timeline.Event{
		Kind:    kind,
		Root:    c.root,
		Order:   c.order,
		Depth:   uint8(c.depth),
		Verdict: contract.Verdict(reply.Verdict),
		Reason:  contract.Reason(reply.Reason),
		Peer:    reply.Vm,
		Detail:  reply.Detail,
	}
	if c.kind != nil {
		e.Service, e.RequestKind = c.kind.Service, c.kind.Name
	}
	if !c.order.IsZero() {
		e.Kind = timeline.KindOrderVerdict
	}
	n.record(e)
}

func (n *Node) recordShed(c *call, reply *linkpb.CallReply) {
	n.record(timeline.Event{
		Kind:        timeline.KindShed,
		Root:        c.root,
		Order:       c.order,
		Depth:       uint8(c.depth),
		Service:     c.kind.Service,
		RequestKind: c.kind.Name,
		Verdict:     contract.Verdict(reply.Verdict),
		Reason:      contract.Reason(reply.Reason),
		Detail:      strings.Clone(reply.Detail),
	})
}
