package node

import (
	"context"
	"math/rand/v2"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/contract/retry"
	"heathershed/internal/datacentre/routing"
	"heathershed/internal/hedge"
	"heathershed/internal/outcome"
	"heathershed/internal/timeline"
	"heathershed/internal/wait"
)

// maxExclude is how many VMs a call remembers not to try again.
const maxExclude = 4

// sending is what the attempts of one call have come to.
type sending struct {
	// number counts the attempts that were made.
	number int
	tried  [maxExclude]string
	failed outcome.Attempts
}

// chosen notes that an attempt goes to a VM.
func (s *sending) chosen(vm string) {
	s.tried[s.number%maxExclude] = vm
	s.number++
}

// send finds an upstream for the call, and another one where the first answer
// allows it and the budget of the root request has a retry left.
func (n *Node) send(ctx context.Context, c *call) *linkpb.CallReply {
	return n.sendOn(ctx, c, &sending{})
}

// sendOn goes on with a call of which some attempts may have been made.
func (n *Node) sendOn(ctx context.Context, c *call, s *sending) *linkpb.CallReply {
	for {
		reply, suspected := n.attempt(ctx, c, s, linkpb.OrderRole_ORDER_ROLE_NONE)
		if outcome.Ran(reply) {
			n.ratio.Success()
			return reply
		}
		if suspected {
			return s.failed.MergeInto(reply)
		}
		s.failed.Add(reply)
		if !n.again(ctx, c, s.number-1, reply) {
			return s.failed.MergeInto(reply)
		}
	}
}

// again decides on another attempt, takes it from the budget and waits as long
// as the decision says.
func (n *Node) again(ctx context.Context, c *call, number int, reply *linkpb.CallReply) bool {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	pause, again := n.policy.ShouldRetry(retry.Attempt{
		Kind:           c.kind,
		Verdict:        contract.Verdict(reply.Verdict),
		Reason:         contract.Reason(reply.Reason),
		Number:         number,
		RetryAfter:     time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Left:           deadline.Sub(now),
		ShedEverywhere: n.router.ShedsEverywhere(now, c.kind.Service, c.level()),
	}, rand.Uint64())
	if !again {
		return false
	}
	if !c.budget.TakeRetry() {
		return false
	}
	if !n.policy.IsBaseline() && !n.ratio.Allow() {
		return false
	}
	n.metrics.retries.Inc(1)
	n.recordRetry(c, number, reply)
	return sleep(ctx, pause)
}

// attempt sends the call once. Where the link to the chosen VM is taken for
// dead, a lookup goes on elsewhere beside it, and the reply is that of all; an
// order waits.
func (n *Node) attempt(ctx context.Context, c *call, s *sending, role linkpb.OrderRole) (reply *linkpb.CallReply, suspected bool) {
	n.demand.service(time.Now(), c.kind.Service)
	choice, reason := n.pick(ctx, routing.Query{
		Service: c.kind.Service,
		Order:   c.kind.IsOrder(),
		Exclude: s.tried,
		Random:  rand.Uint64(),
	})
	if reason != contract.ReasonNone {
		s.chosen("")
		return outcome.NotRunReply(reason, "no upstream of "+c.kind.Service+" can be chosen"), false
	}
	number, vm := s.number, choice.Target.VM
	s.chosen(vm)
	n.awaitOpening(ctx, c.kind.Service, vm)
	first := func(ctx context.Context, suspect func()) (*linkpb.CallReply, bool) {
		return n.try(ctx, c, choice, number, role, suspect)
	}
	if vm == n.cfg.VM || c.kind.IsOrder() {
		return first(ctx, nil)
	}
	return hedge.Run(ctx, first, func(ctx context.Context) *linkpb.CallReply {
		doubtful := outcome.Reply(contract.MayHaveRun, contract.ReasonLinkLost, "link to "+vm+" taken for dead")
		if !n.again(ctx, c, number, doubtful) {
			return nil
		}
		return n.sendOn(ctx, c, s)
	})
}

// try sends the call to the chosen upstream; suspect is as for link.Set.Call.
func (n *Node) try(ctx context.Context, c *call, choice routing.Choice, number int, role linkpb.OrderRole, suspect func()) (*linkpb.CallReply, bool) {
	began := time.Now()
	reply, suspected := n.at(ctx, c, choice.Target.VM, choice.Target.Incarnation, number, role, suspect)
	now := time.Now()
	n.router.Done(now, choice, resultOf(reply, now.Sub(began)))
	n.observe(now, c, reply)
	return reply, suspected
}

// pick chooses an upstream. Where the service was first used so lately that its
// upstreams may not be known yet, it waits a little for one.
func (n *Node) pick(ctx context.Context, q routing.Query) (routing.Choice, contract.Reason) {
	for {
		now := time.Now()
		choice, reason := n.router.Pick(now, q)
		if reason != contract.ReasonNoUpstream || !n.demand.opening(now, q.Service) || !sleep(ctx, linkPoll) {
			return choice, reason
		}
	}
}

// awaitOpening waits a little for the link to a chosen VM where the service was
// first used so lately that the link is still on its way.
func (n *Node) awaitOpening(ctx context.Context, service, vm string) {
	for vm != n.cfg.VM && !n.links.Up(vm) && n.demand.opening(time.Now(), service) {
		if !sleep(ctx, linkPoll) {
			return
		}
	}
}

// at runs one attempt at a VM, which may be this one, and settles the grant it
// carried; suspect is as for link.Set.Call.
func (n *Node) at(ctx context.Context, c *call, vm string, incarnation uint64, number int, role linkpb.OrderRole, suspect func()) (reply *linkpb.CallReply, suspected bool) {
	grant := c.budget.Draw()
	req := n.request(c, incarnation, number, role)
	req.Retries = uint32(grant)
	if vm == n.cfg.VM {
		if deadline, ok := ctx.Deadline(); ok {
			req.TimeoutUs = time.Until(deadline).Microseconds()
		}
		reply = n.serveOwn(ctx, req)
	} else {
		reply, suspected = n.links.Call(ctx, vm, req, suspect)
	}
	c.budget.Settle(grant, int(reply.RetriesSpent), answered(reply))
	return reply, suspected
}

// serveOwn serves a call of this node at this node.
func (n *Node) serveOwn(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	if req.OrderRole == linkpb.OrderRole_ORDER_ROLE_HOME {
		return n.serveHome(ctx, req)
	}
	return n.serve(ctx, req)
}

// answered reports whether it is known what the call spent: the other end told,
// or nothing ran.
func answered(reply *linkpb.CallReply) bool {
	return reply.Load != nil || contract.Verdict(reply.Verdict) == contract.NotRun
}

func (n *Node) request(c *call, incarnation uint64, number int, role linkpb.OrderRole) *linkpb.CallRequest {
	req := &linkpb.CallRequest{
		RootId:             c.root[:],
		Kind:               c.kind.Name,
		CatalogueVersion:   c.catalogue,
		Class:              uint32(c.class),
		Rank:               uint32(c.root.Rank()),
		Depth:              c.depth,
		Attempt:            uint32(number),
		OrderRole:          role,
		CallerAttempt:      uint32(c.attempt),
		CallerAttemptKnown: c.attemptKnown,
		FromVm:             n.cfg.VM,
		TargetIncarnation:  incarnation,
		Method:             c.method,
		Uri:                c.uri,
		Headers:            c.headers,
		Body:               c.body,
	}
	if !c.order.IsZero() {
		req.OrderId = c.order[:]
		req.HomesVersion = n.homes.Current().Version
		req.ReceivedUnixUs = c.received.UnixMicro()
	}
	return req
}

func resultOf(reply *linkpb.CallReply, latency time.Duration) routing.Result {
	r := routing.Result{
		Latency: latency,
		Verdict: contract.Verdict(reply.Verdict),
		Reason:  contract.Reason(reply.Reason),
	}
	if reply.Load == nil {
		return r
	}
	r.HasLoad = true
	r.Load = routing.Load{
		InFlight:  reply.Load.InFlight,
		Limit:     reply.Load.Limit,
		QueueWait: time.Duration(reply.Load.QueueWaitUs) * time.Microsecond,
		Latency:   time.Duration(reply.Load.LatencyUs) * time.Microsecond,
		Level:     contract.Level(reply.Load.Level),
		Leaving:   reply.Load.Leaving,
		Cold:      reply.Load.Cold,
	}
	return r
}

// observe notes the thresholds that ride back on an answer.
func (n *Node) observe(now time.Time, c *call, reply *linkpb.CallReply) {
	if reply.Load == nil {
		return
	}
	level := contract.Level(max(reply.Load.Level, reply.Load.ChainLevel))
	if c.under != nil {
		n.pressure.ObserveNested(now, c.under.kind.Name, c.kind.Service, c.kind.Name, level)
		return
	}
	n.pressure.Observe(now, c.kind.Service, c.kind.Name, level)
}

func (n *Node) recordRetry(c *call, number int, reply *linkpb.CallReply) {
	n.record(timeline.Event{
		Kind:        timeline.KindRetry,
		Root:        c.root,
		Order:       c.order,
		Depth:       uint8(c.depth),
		Service:     c.kind.Service,
		RequestKind: c.kind.Name,
		Peer:        reply.Vm,
		Verdict:     contract.Verdict(reply.Verdict),
		Reason:      contract.Reason(reply.Reason),
		Detail:      reply.Detail,
	})
}

// sleep waits for d and reports whether the context still goes on.
func sleep(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) == nil }
