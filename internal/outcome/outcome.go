// Package outcome represents the outcome of a call as a CallReply: it builds the
// replies that links carry, and reads from them whether a call has run.
package outcome

import (
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/upstream"
)

// Reply returns the reply of a call without an answer of an upstream.
func Reply(v contract.Verdict, r contract.Reason, detail string) *linkpb.CallReply {
	return &linkpb.CallReply{Verdict: uint32(v), Reason: uint32(r), Detail: detail}
}

// NotRunReply returns the reply of a call that has not run.
func NotRunReply(r contract.Reason, detail string) *linkpb.CallReply {
	return Reply(contract.NotRun, r, detail)
}

// RetryAfterReply returns a NotRunReply that asks the caller to wait before it
// sends the call again.
func RetryAfterReply(wait time.Duration, r contract.Reason, detail string) *linkpb.CallReply {
	reply := NotRunReply(r, detail)
	reply.RetryAfterMs = Milliseconds(wait)
	return reply
}

// Milliseconds converts d to the unit of replies. Negative values become 0.
func Milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

// UpstreamReply returns the reply of a call that was handed to the upstream. If
// the call ran, the reply takes the body of the answer, which may be large, and copies
// those headers for which pass returns true.
func UpstreamReply(out upstream.Outcome, answer *fasthttp.Response, pass func(name []byte) bool) *linkpb.CallReply {
	reply := Reply(out.Verdict, out.Reason, out.Detail)
	reply.RetryAfterMs = Milliseconds(out.RetryAfter)
	if out.Verdict != contract.Ran {
		return reply
	}
	reply.Status = uint32(answer.StatusCode())
	reply.Headers = ingress.CopyHeadersIf(&answer.Header, pass)
	reply.Body = answer.Body()
	answer.SwapBody(nil) // the answer keeps nothing that it might use again
	return reply
}

// Ran reports whether a call has run and has a complete answer.
func Ran(reply *linkpb.CallReply) bool { return contract.Verdict(reply.Verdict) == contract.Ran }

// MayHaveRun reports whether it is unknown if a call has run.
func MayHaveRun(reply *linkpb.CallReply) bool {
	return contract.Verdict(reply.Verdict) == contract.MayHaveRun
}
