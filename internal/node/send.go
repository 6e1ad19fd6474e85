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

// maxExclude is the number of recently tried VMs that a call does not choose
// again.
const maxExclude = 4

// sendState records the attempts that one call has made.
type sendState struct {
	// number counts the attempts made so far.
	number int
	tried  [maxExclude]string
	failed outcome.Attempts
}

// recordChoice records that the next attempt goes to vm.
func (s *sendState) recordChoice(vm string) {
	s.tried[s.number%maxExclude] = vm
	s.number++
}

// send calls an upstream of the call's service. It tries another upstream where
// the outcome of an attempt allows a retry and the root request has retry
// budget left.
func (n *Node) send(ctx context.Context, c *call) *linkpb.CallReply {
	return n.sendOn(ctx, c, &sendState{})
}

// sendOn continues a call that may already have made attempts.
func (n *Node) sendOn(ctx context.Context, c *call, s *sendState) *linkpb.CallReply {
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
		if !n.allowRetry(ctx, c, s.number-1, reply) {
			return s.failed.MergeInto(reply)
		}
	}
}

// allowRetry decides whether the call is attempted again. If so, it takes a
// retry from the budget, waits for the backoff and returns true.
func (n *Node) allowRetry(ctx context.Context, c *call, number int, reply *linkpb.CallReply) bool {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	pause, allowRetry := n.policy.ShouldRetry(retry.Attempt{
		Kind:           c.kind,
		Verdict:        contract.Verdict(reply.Verdict),
		Reason:         contract.Reason(reply.Reason),
		Number:         number,
		RetryAfter:     time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Left:           deadline.Sub(now),
		ShedEverywhere: n.router.ShedsEverywhere(now, c.kind.Service, c.level()),
	}, rand.Uint64())
	if !allowRetry {
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

// attempt chooses an upstream and sends the call to it once. Where the link to
// the chosen VM is suspected to have failed while the call waits, the call is
// hedged: it is also tried at another upstream. The first attempt that ran then
// gives the reply; if neither ran, the reply is the one that says more about
// what may have run. Orders are not hedged; they wait.
func (n *Node) attempt(ctx context.Context, c *call, s *sendState, role linkpb.OrderRole) (reply *linkpb.CallReply, suspected bool) {
	n.demand.service(time.Now(), c.kind.Service)
	choice, reason := n.pick(ctx, routing.Query{
		Service: c.kind.Service,
		Order:   c.kind.IsOrder(),
		Exclude: s.tried,
		Random:  rand.Uint64(),
	})
	if reason != contract.ReasonNone {
		s.recordChoice("")
		return outcome.NotRunReply(reason, "no upstream of "+c.kind.Service+" can be chosen"), false
	}
	number, vm := s.number, choice.Target.VM
	s.recordChoice(vm)
	n.awaitOpening(ctx, c.kind.Service, vm)
	firstAttempt := func(ctx context.Context, suspect func()) (*linkpb.CallReply, bool) {
		return n.sendTo(ctx, c, choice, number, role, suspect)
	}
	if vm == n.cfg.VM || c.kind.IsOrder() {
		return firstAttempt(ctx, nil)
	}
	return hedge.Run(ctx, firstAttempt, func(ctx context.Context) *linkpb.CallReply {
		suspectedReply := outcome.Reply(contract.MayHaveRun, contract.ReasonLinkLost, "link to "+vm+" taken for dead")
		if !n.allowRetry(ctx, c, number, suspectedReply) {
			return nil
		}
		return n.sendOn(ctx, c, s)
	})
}

// sendTo sends the call to the chosen upstream and reports the result to the
// router; suspect is as for link.Set.Call.
func (n *Node) sendTo(ctx context.Context, c *call, choice routing.Choice, number int, role linkpb.OrderRole, suspect func()) (*linkpb.CallReply, bool) {
	began := time.Now()
	reply, suspected := n.callVM(ctx, c, choice.Target.VM, choice.Target.Incarnation, number, role, suspect)
	now := time.Now()
	n.router.Done(now, choice, resultOf(reply, now.Sub(began)))
	n.observePressure(now, c, reply)
	return reply, suspected
}

// pick chooses an upstream. If the first use of the service was so recent that
// its upstreams may not be known yet, pick waits up to linkWait for one.
func (n *Node) pick(ctx context.Context, q routing.Query) (routing.Choice, contract.Reason) {
	for {
		now := time.Now()
		choice, reason := n.router.Pick(now, q)
		if reason != contract.ReasonNoUpstream || !n.demand.opening(now, q.Service) || !sleep(ctx, linkPoll) {
			return choice, reason
		}
	}
}

// awaitOpening waits up to linkWait for the link to a chosen VM if the first
// use of the service was so recent that the link may still be opening.
func (n *Node) awaitOpening(ctx context.Context, service, vm string) {
	for vm != n.cfg.VM && !n.links.Up(vm) && n.demand.opening(time.Now(), service) {
		if !sleep(ctx, linkPoll) {
			return
		}
	}
}

// callVM runs one attempt at a VM, which may be this one, and settles the retry
// grant that the attempt carried; suspect is as for link.Set.Call.
func (n *Node) callVM(ctx context.Context, c *call, vm string, incarnation uint64, number int, role linkpb.OrderRole, suspect func()) (reply *linkpb.CallReply, suspected bool) {
	grant := c.budget.Draw()
	req := n.request(c, incarnation, number, role)
	req.Retries = uint32(grant)
	if vm == n.cfg.VM {
		if deadline, ok := ctx.Deadline(); ok {
			req.TimeoutUs = time.Until(deadline).Microseconds()
		}
		reply = n.serveLocal(ctx, req)
	} else {
		reply, suspected = n.links.Call(ctx, vm, req, suspect)
	}
	c.budget.Settle(grant, int(reply.RetriesSpent), spendKnown(reply))
	return reply, suspected
}

// serveLocal serves a call at this node, according to its order role.
func (n *Node) serveLocal(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	if req.OrderRole == linkpb.OrderRole_ORDER_ROLE_HOME {
		return n.serveHome(ctx, req)
	}
	return n.serve(ctx, req)
}

// spendKnown reports whether the retries that the call spent are known: the
// receiving node reported them, or nothing ran.
func spendKnown(reply *linkpb.CallReply) bool {
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

// observePressure records the admission thresholds that a reply carries.
func (n *Node) observePressure(now time.Time, c *call, reply *linkpb.CallReply) {
	if reply.Load == nil {
		return
	}
	level := contract.Level(max(reply.Load.Level, reply.Load.ChainLevel))
	if c.parentCall != nil {
		n.pressure.ObserveNested(now, c.parentCall.kind.Name, c.kind.Service, c.kind.Name, level)
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

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) == nil }
