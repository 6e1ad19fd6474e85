package sidecar

import (
	"context"
	"math"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/link"
	"heathershed/internal/outcome"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/correlation"
	"heathershed/internal/vm/instance"
	"heathershed/internal/vm/scheduler"
	"heathershed/platform"
)

// Call implements link.Handler. It serves a call from another node.
func (n *Node) Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	release, rejection := n.holdBody(req)
	if rejection != nil {
		return rejection
	}
	defer release()
	ctx, held := upstream.WithHeld(ctx)
	reply := n.serveLocal(ctx, req)
	if !link.OnSent(ctx, held.Release) {
		held.Release()
	}
	return reply
}

// serveLocal runs a call at the local upstream if the scheduler admits it. The
// reply carries the load of the upstream and whether only upstreams call the
// route.
func (n *Node) serveLocal(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	now := time.Now()
	deadline := now.Add(time.Duration(req.TimeoutUs) * time.Microsecond)
	n.recall(req.Notice)
	reply := n.admitAndRun(ctx, req, now, deadline)
	reply.Vm = n.cfg.VM
	reply.Load = n.load(req.Kind)
	reply.CallsOnly = n.callers.Record(now, req.Kind, req.FromService)
	return reply
}

// admitAndRun waits for a slot of the local upstream and runs the call on it.
// A rejected call has not run.
func (n *Node) admitAndRun(ctx context.Context, req *linkpb.CallRequest, now, deadline time.Time) *linkpb.CallReply {
	if n.stopping.Load() {
		return outcome.NotRunReply(contract.ReasonLeaving, "the node stops")
	}
	if state := n.target.state(); !state.Ready || state.Service != req.Service {
		return outcome.NotRunReply(contract.ReasonLeaving, "no upstream of the service takes work here")
	}
	alone, rejection := n.admitCrashing(req)
	if rejection != nil {
		n.metrics.countRejected(contract.ReasonCrashesUpstream)
		return rejection
	}
	if alone {
		defer n.onProbation.Store(false)
	}
	release, rejection := n.admitUpload(req)
	if rejection != nil {
		return rejection
	}
	defer release()
	r := schedulerRequest(req, deadline)
	r.MakesCalls = n.pressure.HasCalls(req.Kind)
	permit, refusal := n.sched.Acquire(ctx, now, r)
	if refusal != nil {
		n.metrics.countRejected(refusal.Reason)
		n.metrics.countBeyondShare(lacksShare(refusal))
		return outcome.RetryAfterReply(refusal.RetryAfter, refusal.Reason, n.refusalDetail(refusal, req.Workspace))
	}
	started := time.Now()
	reply := n.run(ctx, req, deadline, alone)
	ended := time.Now()
	n.sched.Release(ended, permit, outcome.Ran(reply))
	n.metrics.observeRun(started.Sub(now), ended.Sub(started))
	n.logRun(req, reply, started.Sub(now), ended.Sub(started))
	return reply
}

// schedulerRequest returns the scheduler's view of a call. Calls are ranked by
// the class of their root request. Within a class, nested calls rank before
// requests of clients, because the work that they belong to has already been
// admitted.
func schedulerRequest(req *linkpb.CallRequest, deadline time.Time) scheduler.Request {
	const ranksPerClass = 2
	level := contract.Level(req.Level)
	r := scheduler.Request{
		Kind:       req.Kind,
		Rank:       ranksPerClass * (contract.NumClasses - int(level.Class())),
		Level:      level,
		Admitted:   contract.Level(req.Admitted),
		Deadline:   deadline,
		Idempotent: req.Idempotent,
		Nested:     req.Inner,
		Shared:     req.Workspace != "",
	}
	// A sender that does not know of a limit may know an upstream without one.
	r.NoWait = req.NoWait || !req.Notice.GetLimited()
	if req.Inner {
		r.Rank--
	}
	return r
}

// run sends an admitted call to the upstream. From here on only the upstream
// client can tell whether the call may have run.
// alone says that no other request on probation runs there.
func (n *Node) run(ctx context.Context, req *linkpb.CallRequest, deadline time.Time, alone bool) *linkpb.CallReply {
	state := n.target.state()
	if !state.Ready || state.Service != req.Service {
		return outcome.NotRunReply(contract.ReasonLeaving, "the upstream has left")
	}
	if rejection := n.reserveAnswer(ctx, req); rejection != nil {
		return rejection
	}
	body := link.UploadOf(ctx)
	if body != nil {
		if err := body.Begin(); err != nil {
			return outcome.NotRunReply(contract.ReasonLinkLost, "the body can't be had")
		}
	}
	if !req.Idempotent {
		if !n.dedup.add(req.AttemptId) {
			return outcome.Reply(contract.MayHaveRun, contract.ReasonOrderRunning, "an order of this id was handed over already")
		}
		// A client that disconnects does not abort an order that has begun.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := n.requestContext(ctx, deadline)
	defer cancel()
	hreq, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	if body == nil {
		defer fasthttp.ReleaseRequest(hreq)
	}
	left := time.Until(deadline).Truncate(time.Millisecond)
	n.buildRequest(hreq, req, state, left)
	if body != nil {
		hreq.SetBodyStream(upstream.Stream(body), int(req.UploadLength))
	}
	number := n.correlation.Begin(correlation.Parent{
		ID: req.AttemptId, Kind: req.Kind, Deadline: time.Now().Add(left),
		Level: contract.Level(req.Level), Admitted: contract.Level(req.Admitted),
		Workspace: req.Workspace,
	})
	defer n.correlation.End(number)
	sent := time.Now()
	out := n.upstream.Do(ctx, upstream.Request{
		HTTP:            hreq,
		Order:           !req.Idempotent,
		MaxAnswer:       maxAnswer,
		Classify:        platform.Classify,
		Matches:         func(a *fasthttp.Response) upstream.Match { return platform.Matches(a, req.AttemptId) },
		AllowUntilClose: true,
	}, answer)
	n.observeOutcome(state, out, answer)
	n.observeLoss(out)
	if out.Verdict == contract.Ran {
		n.lostRuns.answered(state.ID, sent)
	}
	n.observeNotice(state.ID, sent, out, answer)
	// Only an answer that names the request is certain not to be a late one of another.
	if platform.Matches(answer, req.AttemptId) == upstream.MatchNamed {
		n.observeServerLoad(state.ID, sent, out, answer)
	}
	if out.Verdict == contract.NotRun && !req.Idempotent {
		n.dedup.remove(req.AttemptId)
	}
	reply := outcome.UpstreamReply(out, answer, platform.ForwardsResponseHeader)
	if outcome.Ran(reply) {
		n.answerSizes.Observe(time.Now(), req.Kind, int64(len(reply.Body)))
	}
	n.observeCrash(ctx, req, state, alone, out, reply)
	return reply
}

// permille is the unit in which links carry shares.
const permille = 1000

// maxAnswer bounds the body of an answer, in bytes, so that it fits in one
// message of a link.
const maxAnswer = 9 << 20

func (n *Node) buildRequest(hreq *fasthttp.Request, req *linkpb.CallRequest, state instance.State, left time.Duration) {
	hreq.Header.DisableNormalizing()
	hreq.Header.SetMethod(req.Method)
	hreq.Header.SetRequestURI(req.Uri)
	for _, h := range req.Headers {
		hreq.Header.AddBytesKV(h.Name, h.Value)
	}
	hreq.Header.SetHost(req.Host)
	platform.SetOutbound(&hreq.Header, platform.Outbound{
		Attempt:   req.AttemptId,
		Remaining: left,
		Instance:  instance.IDOf(state.ID),
		Caller:    req.FromService,
		Workspace: req.Workspace,
	})
	hreq.SetBodyRaw(req.Body) // not copied: it may be large
}

// observeOutcome updates the state of the upstream: a request answered by
// another instance, or a refused connection, shows that the expected instance
// is gone.
func (n *Node) observeOutcome(state instance.State, out upstream.Outcome, answer *fasthttp.Response) {
	switch {
	case out.Reason == contract.ReasonStaleTarget:
		actual := platform.InstanceOf(answer)
		n.target.update("answer", func(tr *instance.Tracker) instance.Change { return tr.Misdirected(state.ID, actual) })
	case out.Reason == contract.ReasonUpstreamFailed && out.Verdict == contract.NotRun:
		n.target.update("connection", func(tr *instance.Tracker) instance.Change { return tr.ConnectionRefused(state.ID) })
	}
}

// observeLoss records whether the upstream has answered a request. One that its
// caller cancelled, or that another instance rejected, says nothing of it.
func (n *Node) observeLoss(out upstream.Outcome) {
	switch out.Reason {
	case contract.ReasonCancelled, contract.ReasonStaleTarget:
	default:
		n.losses.Record(time.Now(), out.Verdict != contract.Ran)
	}
}

// load returns the load report that each reply carries. ChainLevel is the
// highest of the local threshold and the thresholds of the nested calls that
// requests of this kind make.
func (n *Node) load(kind string) *linkpb.Load {
	l := n.sched.Load(time.Now(), kind)
	return &linkpb.Load{
		InFlight:     uint32(l.InFlight),
		Waiting:      uint32(l.Waiting),
		Limit:        uint32(l.Reported),
		LatencyUs:    uint32(l.Latency.Microseconds()),
		Leaving:      n.stopping.Load() || !n.target.state().Ready,
		Cold:         l.Cold,
		Level:        uint32(l.Threshold),
		ChainLevel:   uint32(max(l.Threshold, n.pressure.ChainThreshold(time.Now(), kind))),
		LossPermille: uint32(permille * n.losses.Rate(time.Now())),
		PaceWaitUs:   uint32(min(l.PaceWait.Microseconds(), math.MaxUint32)),
		Notice:       noticeMessage(n.target.report()),
		Upstream:     n.loadReportMessage(),
	}
}
