package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/fleet"
	"heathershed/internal/hedge"
	"heathershed/internal/outcome"
	"heathershed/internal/poison"
	"heathershed/internal/wait"
)

const (
	// maxNodesTried bounds the receiving nodes that one call is offered to
	// without a run.
	maxNodesTried = 4
	// upstreamPoll and maxUpstreamWait are how often and how long a call waits
	// for an upstream of its service to become known.
	upstreamPoll    = 20 * time.Millisecond
	maxUpstreamWait = 400 * time.Millisecond
	// A call waits for an upstream at most its remaining time divided by
	// upstreamWaitDivisor.
	upstreamWaitDivisor = 4
)

// sendState holds the outcomes of the attempts of one call: the VMs that were
// tried, what the failed attempts have shown, and the most informative failed
// reply.
type sendState struct {
	tried  []string
	failed outcome.Attempts
	last   *linkpb.CallReply
	// limited says that an upstream had no room within the limit that it names.
	limited bool
}

// send offers a call to nodes with an upstream of its service until one runs
// it, and retries it where the route and the retry budget allow that.
func (n *Node) send(ctx context.Context, c *call) *linkpb.CallReply {
	n.budget.deposit(time.Now(), c.inner)
	return n.sendAttempts(ctx, c, &sendState{})
}

// sendAttempts makes the remaining attempts of a call; s holds those that were
// made before.
func (n *Node) sendAttempts(ctx context.Context, c *call, s *sendState) *linkpb.CallReply {
	for len(s.tried) < maxNodesTried {
		choice, ok := n.choose(ctx, c, s)
		if !ok {
			break
		}
		s.tried = append(s.tried, choice.VM)
		reply, suspected := n.attempt(ctx, c, choice, s)
		if outcome.Ran(reply) {
			return reply
		}
		if suspected {
			return s.failed.MergeInto(reply)
		}
		s.last = hedge.MoreInformative(s.last, reply)
		s.failed.Add(reply)
		s.limited = s.limited || contract.Reason(reply.Reason) == contract.ReasonUpstreamLimit
		if !n.mayRetry(ctx, c, s.failed) {
			break
		}
		n.logRetry(c, choice.VM, reply, s.failed.ReachedUpstream)
	}
	if s.last == nil {
		return outcome.NotRunReply(contract.ReasonNoUpstream, "no upstream of the service can be reached")
	}
	return s.failed.MergeInto(s.last)
}

// attempt offers the call to one node. If the link to that node is suspected
// to have failed, a lookup is hedged: attempts at other nodes run beside this
// one, and the reply covers all of them. Orders, uploads and attempts at the local
// upstream are not hedged; an order waits for its attempt to end.
func (n *Node) attempt(ctx context.Context, c *call, choice fleet.Choice, s *sendState) (reply *linkpb.CallReply, suspected bool) {
	if choice.VM == n.cfg.VM || !c.route.Idempotent || c.upload != nil || n.standing(c).State != poison.Free {
		return n.offer(ctx, c, choice, nil)
	}
	first := func(ctx context.Context, suspect func()) (*linkpb.CallReply, bool) {
		return n.offer(ctx, c, choice, suspect)
	}
	second := func(ctx context.Context) *linkpb.CallReply {
		suspectReply := outcome.Reply(contract.MayHaveRun, contract.ReasonLinkLost, "link to "+choice.VM+" taken for dead")
		s.failed.ReachedUpstream++ // the suspected attempt may have reached an upstream
		if !n.mayRetry(ctx, c, s.failed) {
			return nil
		}
		n.logRetry(c, choice.VM, suspectReply, s.failed.ReachedUpstream)
		return n.sendAttempts(ctx, c, s)
	}
	return hedge.Run(ctx, first, second)
}

// mayRetry reports whether another attempt may be made. An order that may have
// run is never retried, nor a request that may crash upstreams. Attempts that reached no
// upstream are free; once one has, the attempts of the route, the retry budget and the
// limit of the workspace bound the rest.
func (n *Node) mayRetry(ctx context.Context, c *call, failed outcome.Attempts) bool {
	if ctx.Err() != nil || (failed.MayHaveRun && !c.route.Idempotent) || n.standing(c).State != poison.Free {
		return false
	}
	if c.upload != nil && c.upload.Begun() {
		return false // a part of its body is gone
	}
	if failed.ReachedUpstream == 0 {
		return true
	}
	if failed.ReachedUpstream >= c.route.Attempts || !n.budget.withdraw(time.Now(), c.inner) {
		return false
	}
	if n.quotas.check(ctx, c) != nil {
		return false
	}
	n.metrics.retries.Inc(1)
	return true
}

// choose picks an upstream. If none is known yet, it polls for up to
// maxUpstreamWait, or the remaining time divided by upstreamWaitDivisor if
// that is less, since links open within that time after a start.
func (n *Node) choose(ctx context.Context, c *call, s *sendState) (fleet.Choice, bool) {
	until := time.Now().Add(min(maxUpstreamWait, time.Until(c.deadline)/upstreamWaitDivisor))
	for {
		choice, ok := n.fleet.Pick(time.Now(), fleet.Query{
			Service:      c.service,
			Kind:         c.route.Name,
			Order:        !c.route.Idempotent || c.level.Class() == contract.ClassOrder,
			Exclude:      s.tried,
			Only:         n.onlyVM(c),
			AvoidLimited: s.limited,
			Random:       rand.Uint64(),
		})
		if ok || len(s.tried) > 0 || time.Now().After(until) {
			return choice, ok
		}
		if wait.For(ctx, upstreamPoll) != nil {
			return fleet.Choice{}, false
		}
	}
}

// onlyVM returns the VM that alone may run a call that may crash upstreams; empty
// for other calls.
func (n *Node) onlyVM(c *call) string {
	if n.standing(c).State == poison.Free {
		return ""
	}
	return n.fleet.Owner(c.service, uint64(n.keyOfCall(c)))
}

// offer sends the call to one node, or runs it at the local upstream if that
// was chosen. See link.Set.Call for suspect.
func (n *Node) offer(ctx context.Context, c *call, choice fleet.Choice, suspect func()) (reply *linkpb.CallReply, suspected bool) {
	req := n.callRequest(c, choice)
	if choice.VM == n.cfg.VM {
		reply = n.serveLocal(ctx, req)
	} else {
		reply, suspected = n.links.Call(ctx, choice.VM, req, suspect)
	}
	now := time.Now()
	if n.fleet.Done(now, choice, n.resultOf(c, reply)) {
		n.logNotice(choice.VM)
	}
	n.observeReply(now, c, reply)
	n.mergeCrashReports(reply.CrashReport)
	return reply, suspected
}

// observeReply records the priority threshold that a reply carries, and
// whether only upstreams call the route.
func (n *Node) observeReply(now time.Time, c *call, reply *linkpb.CallReply) {
	if reply.Load == nil {
		return
	}
	n.correlation.SetCallsOnly(c.route.Name, reply.CallsOnly)
	level := contract.Level(reply.Load.ChainLevel)
	if c.inner {
		n.pressure.ObserveNested(now, c.parentKind, c.service, c.route.Name, level)
		return
	}
	n.pressure.Observe(now, c.service, c.route.Name, level)
}

func (n *Node) callRequest(c *call, choice fleet.Choice) *linkpb.CallRequest {
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
		Admitted:    uint32(c.admitted),
		Idempotent:  c.route.Idempotent,
		NoWait:      choice.NoWait,
		Workspace:   c.workspaceName(),
		AnswerRoom:  c.answerRoom(),

		UploadLength: c.uploadLength(),
	}
	if choice.Report.Restricts() {
		req.Notice = noticeMessage(choice.Report)
	}
	return req
}

func (n *Node) resultOf(c *call, reply *linkpb.CallReply) fleet.Result {
	r := fleet.Result{
		Verdict: contract.Verdict(reply.Verdict),
		Reason:  contract.Reason(reply.Reason),
		Kind:    c.route.Name,
	}
	if reply.Load != nil {
		load := n.loadOf(reply.Load)
		r.Load = &load
	}
	return r
}

func (n *Node) loadOf(l *linkpb.Load) fleet.Load {
	return fleet.Load{
		InFlight: int(l.InFlight),
		Waiting:  int(l.Waiting),
		Slots:    int(l.Limit),
		Latency:  time.Duration(l.LatencyUs) * time.Microsecond,
		Draining: l.Leaving,
		Cold:     l.Cold,
		LossRate: float64(l.LossPermille) / permille,

		PacedUntil: time.Now().Add(time.Duration(l.PaceWaitUs) * time.Microsecond),
		Report:     reportOf(l.Notice),
		Upstream:   n.loadReportOf(l),
	}
}
