package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ending"
	"heathershed/internal/fleet"
)

const (
	// maxDoors bounds the doors that one request is offered to without a run.
	maxDoors = 4
	// awaitPoll and awaitMost are how often and how long a request waits for an
	// upstream of its service to become known.
	awaitPoll = 20 * time.Millisecond
	awaitMost = 400 * time.Millisecond
	// awaitPart is the part of its time that it waits at most.
	awaitPart = 4
)

// send sees a call through: it offers it to doors until one takes it, and sends
// it again where that is allowed.
func (n *Node) send(ctx context.Context, c *call) *linkpb.CallReply {
	n.budget.request(time.Now(), c.inner)
	var tried []string
	var last *linkpb.CallReply
	var failed ending.Attempts
	for len(tried) < maxDoors {
		choice, ok := n.choose(ctx, c, tried)
		if !ok {
			break
		}
		tried = append(tried, choice.VM)
		reply := n.offer(ctx, c, choice)
		if ending.Ran(reply) {
			return reply
		}
		last = worse(last, reply)
		failed.Add(reply)
		if !n.again(ctx, c, failed) {
			break
		}
		n.logAgain(c, choice.VM, reply, failed.Arrived)
	}
	if last == nil {
		return ending.Refused(contract.ReasonNoUpstream, "no upstream of the service can be reached")
	}
	return failed.Conclude(last)
}

// worse keeps the reply that says more about what happened.
func worse(a, b *linkpb.CallReply) *linkpb.CallReply {
	if a != nil && ending.MayHaveRun(a) && !ending.MayHaveRun(b) {
		return a
	}
	return b
}

// again decides on another attempt. What no upstream has seen costs nothing;
// else the attempts of the route and the budget bound it.
func (n *Node) again(ctx context.Context, c *call, failed ending.Attempts) bool {
	if ctx.Err() != nil || (failed.MayHaveRun && !c.route.Idempotent) {
		return false
	}
	if failed.Arrived == 0 {
		return true
	}
	if failed.Arrived >= c.route.Attempts || !n.budget.repeat(time.Now(), c.inner) {
		return false
	}
	n.metrics.repeats.Inc(1)
	return true
}

// choose picks an upstream. Where none is known it waits a little: links open
// within that time after a start.
func (n *Node) choose(ctx context.Context, c *call, tried []string) (fleet.Choice, bool) {
	until := time.Now().Add(min(awaitMost, time.Until(c.deadline)/awaitPart))
	for {
		choice, ok := n.fleet.Pick(time.Now(), fleet.Query{
			Service: c.service,
			Kind:    c.route.Name,
			Exclude: tried,
			Random:  rand.Uint64(),
		})
		if ok || len(tried) > 0 || time.Now().After(until) {
			return choice, ok
		}
		select {
		case <-ctx.Done():
			return fleet.Choice{}, false
		case <-time.After(awaitPoll):
		}
	}
}

// offer offers the call to one door.
func (n *Node) offer(ctx context.Context, c *call, choice fleet.Choice) *linkpb.CallReply {
	req := n.request(c, choice)
	var reply *linkpb.CallReply
	if choice.VM == n.cfg.VM {
		reply = n.serveOwn(ctx, req)
	} else {
		reply, _ = n.links.Call(ctx, choice.VM, req, nil)
	}
	now := time.Now()
	n.fleet.Done(now, choice, resultOf(c, reply))
	n.observe(now, c, reply)
	return reply
}

// observe notes the threshold that rides back on an answer.
func (n *Node) observe(now time.Time, c *call, reply *linkpb.CallReply) {
	if reply.Load == nil {
		return
	}
	n.lineage.Told(c.route.Name, reply.CallsOnly)
	level := contract.Level(reply.Load.ChainLevel)
	if c.inner {
		n.pressure.ObserveUnder(now, c.parent, c.service, c.route.Name, level)
		return
	}
	n.pressure.Observe(now, c.service, c.route.Name, level)
}

func (n *Node) request(c *call, choice fleet.Choice) *linkpb.CallRequest {
	now := time.Now()
	req := &linkpb.CallRequest{
		Kind:        c.route.Name,
		Rank:        uint32(c.route.Rank),
		TimeoutUs:   c.deadline.Sub(now).Microseconds(),
		FromVm:      n.cfg.VM,
		FromService: n.target.service(),
		Method:      c.method,
		Uri:         c.uri,
		Host:        c.host,
		Headers:     c.headers,
		Body:        c.body,
		Service:     choice.Service,
		AttemptId:   c.attempt,
		Inner:       c.inner,
		Level:       uint32(c.level),
		Idempotent:  c.route.Idempotent,
	}
	if !c.useful.IsZero() {
		req.ObjectiveUs = max(c.useful.Sub(now).Microseconds(), 1)
	}
	return req
}

func resultOf(c *call, reply *linkpb.CallReply) fleet.Result {
	r := fleet.Result{
		Verdict: contract.Verdict(reply.Verdict),
		Reason:  contract.Reason(reply.Reason),
		Kind:    c.route.Name,
	}
	if reply.Load != nil {
		load := loadOf(reply.Load)
		r.Load = &load
	}
	return r
}

func loadOf(l *linkpb.Load) fleet.Load {
	return fleet.Load{
		InFlight: int(l.InFlight),
		Waiting:  int(l.Waiting),
		Slots:    int(l.Limit),
		Latency:  time.Duration(l.LatencyUs) * time.Microsecond,
		Leaving:  l.Leaving,
		Cold:     l.Cold,
	}
}
