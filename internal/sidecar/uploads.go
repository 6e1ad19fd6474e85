package sidecar

import (
	"context"
	"fmt"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/link"
	"heathershed/internal/outcome"
)

const (
	// uploadDivisor gives the part of the upstream's slots that uploads may hold, one at
	// least: a client that sends slowly keeps its slot meanwhile.
	uploadDivisor = 4
	// uploadRetryAfter is the Retry-After of an upload that finds no such slot.
	uploadRetryAfter = time.Second
)

// admitUpload counts an upload at the local upstream until release is called. The returned
// reply rejects it if too many run there.
func (n *Node) admitUpload(req *linkpb.CallRequest) (release func(), rejection *linkpb.CallReply) {
	if !isUpload(req) {
		return func() {}, nil
	}
	most := max(n.target.state().Slots/uploadDivisor, 1)
	if n.uploads.Add(1) > int64(most) {
		n.uploads.Add(-1)
		n.metrics.countRejected(contract.ReasonOverload)
		return nil, outcome.RetryAfterReply(uploadRetryAfter, contract.ReasonOverload, fmt.Sprintf("%d other large bodies are sent to the upstream, as many as may be", most))
	}
	return func() { n.uploads.Add(-1) }, nil
}

// withUpload returns a context in which the body of a call is passed on as it arrives, if
// it is too large to be held.
func (c *call) withUpload(ctx context.Context) context.Context {
	if c.upload == nil {
		return ctx
	}
	return link.WithUpload(ctx, c.upload)
}

// uploadLength returns the length of a body that is passed on as it arrives, in bytes; -1
// if it is not known, 0 if there is no such body.
func (c *call) uploadLength() int64 {
	if c.upload == nil {
		return 0
	}
	return int64(c.upload.Length)
}

// checkUpload replaces the reply to a call whose body has ended early by one that names
// the reason. The upstream may have begun to run it.
func (c *call) checkUpload(reply *linkpb.CallReply) *linkpb.CallReply {
	if c.upload == nil || outcome.Ran(reply) {
		return reply
	}
	switch c.upload.Err() {
	case ingress.ErrBodyTooLarge:
		return outcome.Reply(contract.MayHaveRun, contract.ReasonTooLarge, "the body is over the limit")
	case ingress.ErrBodySlow:
		return outcome.Reply(contract.MayHaveRun, contract.ReasonDeadline, "the body was not received in time")
	case ingress.ErrNoMemory:
		return outcome.Reply(contract.MayHaveRun, contract.ReasonOverload, "the body has stalled and gave way to another one")
	}
	return reply
}

// isUpload reports whether the body of a call is passed on as it arrives.
func isUpload(req *linkpb.CallRequest) bool { return req.UploadLength != 0 }
