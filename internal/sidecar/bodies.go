package sidecar

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/outcome"
	"heathershed/platform"
)

const (
	// wholeBodyDivisor gives the part of the memory that one body may hold.
	wholeBodyDivisor = 32
	// freeCallBody is the size in bytes up to which the body of a call from another
	// node needs no share of the memory.
	freeCallBody = 64 << 10
	// defaultMaxBody bounds the body of a request in bytes where the configuration
	// has no limit.
	defaultMaxBody = 8 << 20
)

// ingressOptions returns the options of the server for clients.
func (n *Node) ingressOptions() ingress.Options {
	return ingress.Options{
		HeaderBytes: maxHeaderBytes,
		IdleTimeout: clientIdleTimeout,
		Log:         connLog{n.log},
		Bodies: &ingress.BodyOptions{
			Budget:  n.budgets.bodies,
			Limit:   n.maxBody,
			Whole:   wholeBody(n.cfg.Memory),
			IsOrder: n.isOrder,
			Refuse:  n.refuseBody,
		},
		Responses:   n.budgets.responses,
		SmallQueues: true,
		MaxConns:    maxClientConns(n.cfg.Memory),
		Idempotent:  n.mayRunAhead,
		AnswerSize:  n.expectedAnswer,
	}
}

// maxBody returns the bound on the body of a request in bytes: that of the active
// configuration.
func (n *Node) maxBody() int {
	limit := defaultMaxBody
	if table := n.table.Load(); table != nil && table.Limits.BodyBytes > 0 {
		limit = table.Limits.BodyBytes
	}
	return limit
}

// wholeBody returns the size in bytes up to which a body is held completely, so that its
// request can be sent again; a larger one is passed on as it arrives.
func wholeBody(size int64) int { return int(min(ingress.MaxBody, size/wholeBodyDivisor)) }

// isOrder reports whether a request matches a route for orders. Without a route it
// is none, and will be rejected.
func (n *Node) isOrder(rc *fasthttp.RequestCtx) bool {
	route, ok := n.routeOf(&rc.Request)
	return ok && !route.Idempotent
}

// refuseBody answers a request whose body was not read completely. It has not run.
func (n *Node) refuseBody(rc *fasthttp.RequestCtx, err error) {
	now := time.Now()
	c := &call{received: now, deadline: now.Add(defaultTimeout)}
	if in, err := platform.ReadInbound(&rc.Request.Header); err == nil {
		c.attempt = in.Attempt
	}
	reply := n.bodyRefusal(rc, err)
	n.writeLocalReply(rc, c, reply)
	if err == ingress.ErrBodySlow {
		rc.SetStatusCode(fasthttp.StatusRequestTimeout)
	}
	n.metrics.calls.Record(reply, 0)
	n.metrics.countEnd(c, reply)
	n.logEnd(c, reply, 0)
}

func (n *Node) bodyRefusal(rc *fasthttp.RequestCtx, err error) *linkpb.CallReply {
	switch err {
	case ingress.ErrBodyTooLarge:
		size := "more bytes"
		if declared := ingress.DeclaredLength(&rc.Request.Header); declared > 0 {
			size = fmt.Sprint(declared, " bytes")
		}
		return outcome.NotRunReply(contract.ReasonTooLarge, fmt.Sprintf("body of %s, %d are allowed", size, n.maxBody()))
	case ingress.ErrNoMemory:
		return outcome.NotRunReply(contract.ReasonOverload, "no memory is left for the body")
	case ingress.ErrBodySlow:
		return outcome.NotRunReply(contract.ReasonDeadline, "the body was not received in time")
	}
	return outcome.NotRunReply(contract.ReasonBadRequest, "the body is incomplete or malformed")
}

// holdBody reserves memory for the body of a call from another node until release is
// called, as the call may wait for a slot. Without memory the returned reply rejects
// it; its sender may offer it to another node.
func (n *Node) holdBody(req *linkpb.CallRequest) (release func(), rejection *linkpb.CallReply) {
	size := int64(len(req.Body))
	if isUpload(req) {
		size = ingress.UploadMemory
	}
	if size <= freeCallBody {
		return func() {}, nil
	}
	claim := n.budgets.bodies.Claim(time.Now(), !req.Idempotent, nil)
	if !claim.Acquire(size, abortWait) {
		n.metrics.countRejected(contract.ReasonOverload)
		return nil, outcome.NotRunReply(contract.ReasonOverload, "no memory is left for the body")
	}
	return claim.Release, nil
}
