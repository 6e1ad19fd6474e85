package node

import (
	"context"
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

// call is one call that this node sees through, from its caller's request to
// the answer.
type call struct {
	kind         *contract.Kind
	root         contract.RootID
	class        contract.Class
	depth        uint32
	order        contract.OrderID
	attempt      int
	attemptKnown bool
	budget       *retry.Budget
	under        *parent // nil for a root call
	catalogue    uint64
	method, uri  string
	headers      []*linkpb.Header
	body         []byte
	timeout      time.Duration // whole call, counted from its arrival
	received     time.Time
	// judged is set once the home of an order has decided: its verdict speaks
	// of the order id and not only of this copy.
	judged bool
}

func (c *call) level() contract.Level { return contract.LevelOf(c.class, c.root.Rank()) }

// orderIDPath hands out order ids.
const orderIDPath = "/.heathershed/order-id"

// serveCaller is the front handler: a root call of a caller, or a sub-call of
// the own upstream.
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
		reply = n.seeThrough(ctx, c, began)
	}
	c.extendToID(reply)
	n.metrics.calls.Record(reply, time.Since(began))
	n.recordEnd(c, reply)
	ingress.WriteReply(rc, reply, c.root.String())
}

// accept turns a request into a call, or into the reply that refuses it.
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

// extendToID makes a refusal of this copy of an order true of its id: another
// copy may have run unless the caller says that there is none.
func (c *call) extendToID(reply *linkpb.CallReply) {
	if c.kind == nil || !c.kind.IsOrder() || c.judged || c.order.IsZero() {
		return
	}
	if contract.Verdict(reply.Verdict) == contract.NotRun {
		reply.Verdict = uint32(order.UnreachableVerdict(c.attemptKnown, uint32(c.attempt), c.order, homes.Home{}))
	}
}

// check refuses what breaks the contract of the kind.
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

// adoptParent ties a sub-call to its parent, or opens the account of a root
// request.
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
	c.under = p
	c.root, c.depth, c.budget = p.root, p.depth+1, p.budget
	c.class = max(c.class, p.class)
	return nil
}

// seeThrough runs the call within its deadline.
func (n *Node) seeThrough(ctx context.Context, c *call, began time.Time) *linkpb.CallReply {
	ctx, release := n.untilAbort(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, began.Add(c.timeout))
	defer cancel()
	if c.under != nil {
		stop := context.AfterFunc(c.under.ctx, cancel)
		defer stop()
	}
	if reply := n.refuseEarly(c); reply != nil {
		return reply
	}
	if c.kind.IsOrder() {
		return n.sendOrder(ctx, c)
	}
	return n.send(ctx, c)
}

// refuseEarly refuses at the front door what the bottom would refuse.
func (n *Node) refuseEarly(c *call) *linkpb.CallReply {
	threshold := n.pressure.Threshold(time.Now(), c.kind.Service, c.kind.Name)
	if c.level() >= threshold || n.policy.IsBaseline() {
		return nil
	}
	reply := outcome.NotRunReply(contract.ReasonOverload, "shed at the front door: "+c.kind.Service+" sheds this level")
	reply.RetryAfterMs = n.comeBack(c)
	n.recordShed(c, reply)
	return reply
}

const (
	// comeBackBase and comeBackSpread give the time after which a request shed
	// at the front door may come back, spread by rank so that no wave returns.
	comeBackBase   = 500 * time.Millisecond
	comeBackSpread = 1500 * time.Millisecond
)

func (n *Node) comeBack(c *call) uint32 {
	part := time.Duration(c.root.Rank()) * comeBackSpread / contract.RanksPerClass
	return uint32((comeBackBase + part).Milliseconds())
}

func (n *Node) recordEnd(c *call, reply *linkpb.CallReply) {
	kind := timeline.KindCallEndedBadly
	if contract.Verdict(reply.Verdict) == contract.Ran && c.order.IsZero() {
		if c.class != contract.ClassOrder {
			return
		}
		kind = timeline.KindCall // below an order every hop is kept
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
