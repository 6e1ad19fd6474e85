// Package outcome makes the replies with which calls end on links, and reads
// from them what happened to a call.
package outcome

import (
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/upstream"
)

// Reply is the reply of a call that has no answer of an upstream.
func Reply(v contract.Verdict, r contract.Reason, detail string) *linkpb.CallReply {
	return &linkpb.CallReply{Verdict: uint32(v), Reason: uint32(r), Detail: detail}
}

// NotRunReply is the reply of a call that has not run.
func NotRunReply(r contract.Reason, detail string) *linkpb.CallReply {
	return Reply(contract.NotRun, r, detail)
}

// RetryAfterReply is Refused with the wait after which the call may come again.
func RetryAfterReply(wait time.Duration, r contract.Reason, detail string) *linkpb.CallReply {
	reply := NotRunReply(r, detail)
	reply.RetryAfterMs = Milliseconds(wait)
	return reply
}

// Milliseconds is a time as replies carry it; a negative one is 0.
func Milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

// UpstreamReply is the reply of a call that was handed to the upstream. Of its
// answer's headers those are copied that pass.
func UpstreamReply(out upstream.Outcome, answer *fasthttp.Response, pass func(name []byte) bool) *linkpb.CallReply {
	reply := Reply(out.Verdict, out.Reason, out.Detail)
	reply.RetryAfterMs = Milliseconds(out.RetryAfter)
	if out.Verdict != contract.Ran {
		return reply
	}
	reply.Status = uint32(answer.StatusCode())
	reply.Headers = ingress.CopyHeadersIf(&answer.Header, pass)
	reply.Body = append([]byte(nil), answer.Body()...)
	return reply
}

// Ran reports whether a call has run and has an answer.
func Ran(reply *linkpb.CallReply) bool { return contract.Verdict(reply.Verdict) == contract.Ran }

// MayHaveRun reports whether it is unknown if a call has run.
func MayHaveRun(reply *linkpb.CallReply) bool {
	return contract.Verdict(reply.Verdict) == contract.MayHaveRun
}
