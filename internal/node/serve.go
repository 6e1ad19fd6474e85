package node

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/outcome"
	"heathershed/internal/timeline"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/admission"
)

// Call implements link.Handler: it serves a call from another node.
func (n *Node) Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, release := n.untilAbort(ctx)
	defer release()
	if req.TimeoutUs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.TimeoutUs)*time.Microsecond)
		defer cancel()
	}
	return n.serveLocal(ctx, req)
}

// serve runs a request at the local upstream if it is admitted.
func (n *Node) serve(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	reply := n.serveAdmitted(ctx, req)
	reply.Vm = n.cfg.VM
	reply.Load = n.load(req.Kind)
	return reply
}

func (n *Node) serveAdmitted(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	kind, reply := n.checkRequest(req)
	if reply != nil {
		return reply
	}
	deadline, _ := ctx.Deadline()
	if reply := n.deduplicateExecution(req, kind, deadline); reply != nil {
		return reply
	}
	release, retryAfter, ok := n.quota.Reserve(kind, n.gate.Load().Limit)
	if !ok {
		reply := outcome.RetryAfterReply(retryAfter, contract.ReasonLimit, "limit of "+kind.Name+" or of its owner "+kind.Owner)
		n.recordRefusal(req, kind, reply)
		return reply
	}
	defer release()
	permit, refusal := n.gate.Acquire(ctx, admission.Request{
		Kind:     kind,
		Level:    contract.LevelOf(contract.Class(req.Class), uint16(req.Rank)),
		Depth:    req.Depth,
		Deadline: deadline,
	})
	if refusal != nil {
		reply := outcome.RetryAfterReply(refusal.RetryAfter, refusal.Reason, "not admitted at "+n.cfg.VM)
		n.recordRefusal(req, kind, reply)
		return reply
	}
	return n.runAtUpstream(ctx, req, kind, permit)
}

// checkRequest rejects a request that this node must not run.
func (n *Node) checkRequest(req *linkpb.CallRequest) (*contract.Kind, *linkpb.CallReply) {
	if req.TargetIncarnation != 0 && req.TargetIncarnation != n.incarnation {
		return nil, outcome.NotRunReply(contract.ReasonStaleTarget, n.cfg.VM+" was restarted")
	}
	switch n.phase() {
	case phaseSuperseded:
		return nil, outcome.NotRunReply(contract.ReasonStaleTarget, n.cfg.VM+" has a newer process")
	case phaseLeaving:
		if !n.inLeaveNotice() {
			return nil, outcome.NotRunReply(contract.ReasonLeaving, n.cfg.VM+" is leaving")
		}
	}
	current, version := n.catalogue.Current()
	kind, ok := current.Kind(req.Kind)
	if !ok && req.CatalogueVersion > version {
		return nil, outcome.NotRunReply(contract.ReasonStaleTarget, "catalogue of "+n.cfg.VM+" is older than the call's")
	}
	if !ok || kind.Service != n.cfg.Service {
		return nil, outcome.NotRunReply(contract.ReasonUnknownKind, "catalogue of "+n.cfg.VM+" has no kind "+req.Kind+" of "+n.cfg.Service)
	}
	if len(req.RootId) != len(contract.RootID{}) {
		return nil, outcome.NotRunReply(contract.ReasonBadRequest, "root id")
	}
	return kind, nil
}

// runAtUpstream sends an admitted request to the upstream. From this point on,
// the upstream client alone determines the verdict.
func (n *Node) runAtUpstream(ctx context.Context, req *linkpb.CallRequest, kind *contract.Kind, permit *admission.Permit) *linkpb.CallReply {
	began := time.Now()
	n.metrics.admit(contract.Class(req.Class))
	budget := n.policy.NewBudget(int(req.Retries))
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &parent{
		ctx:    runCtx,
		kind:   kind,
		class:  contract.Class(req.Class),
		depth:  req.Depth,
		budget: budget,
	}
	copy(p.root[:], req.RootId)
	id, text := n.parents.begin(p)
	hreq := fasthttp.AcquireRequest()
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hreq)
	defer fasthttp.ReleaseResponse(answer)
	n.buildRequest(ctx, hreq, req, text)
	out := n.upstream.Do(runCtx, upstream.Request{HTTP: hreq, Order: kind.IsOrder(), MaxAnswer: kind.MaxAnswer}, answer)
	n.parents.end(id)
	spent := budget.Close()
	permit.Release(admission.Result{Verdict: out.Verdict, Reason: out.Reason, Latency: time.Since(began)})
	reply := outcome.UpstreamReply(out, answer, ingress.IsForwarded)
	reply.RetriesSpent = uint32(spent)
	return reply
}

func (n *Node) buildRequest(ctx context.Context, hreq *fasthttp.Request, req *linkpb.CallRequest, callID string) {
	hreq.Header.SetMethod(req.Method)
	hreq.SetRequestURI(req.Uri)
	hreq.Header.SetHost(n.cfg.Upstream)
	for _, h := range req.Headers {
		hreq.Header.AddBytesKV(h.Name, h.Value)
	}
	hreq.Header.Set(contract.HeaderCall, callID)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline), time.Millisecond)
		hreq.Header.Set(contract.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
		hreq.Header.Set(contract.HeaderNotAfter, strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	if len(req.OrderId) == len(contract.OrderID{}) {
		hreq.Header.Set(contract.HeaderOrder, contract.OrderID(req.OrderId).String())
	}
	hreq.SetBody(req.Body)
}

// load returns the load report that each reply carries.
func (n *Node) load(kind string) *linkpb.Load {
	l := n.gate.Load()
	return &linkpb.Load{
		InFlight:    uint32(l.InFlight),
		Limit:       uint32(l.Limit),
		QueueWaitUs: uint32(l.QueueWait.Microseconds()),
		Level:       uint32(l.Threshold),
		ChainLevel:  uint32(max(l.Threshold, n.pressure.ChainThreshold(time.Now(), kind))),
		LatencyUs:   uint32(l.Latency.Microseconds()),
		Leaving:     !n.takesWork(),
		Cold:        l.Cold,
	}
}

func (n *Node) recordRefusal(req *linkpb.CallRequest, kind *contract.Kind, reply *linkpb.CallReply) {
	n.metrics.shed(contract.Class(req.Class), contract.Reason(reply.Reason))
	e := timeline.Event{
		Kind:        timeline.KindShed,
		Depth:       uint8(req.Depth),
		Service:     kind.Service,
		RequestKind: kind.Name,
		Peer:        req.FromVm,
		Verdict:     contract.Verdict(reply.Verdict),
		Reason:      contract.Reason(reply.Reason),
	}
	copy(e.Root[:], req.RootId)
	copy(e.Order[:], req.OrderId)
	n.record(e)
}
