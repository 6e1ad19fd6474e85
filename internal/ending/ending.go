// Package ending makes the replies with which calls end on links, and reads
// from them what happened to a call.
package ending

import (
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/front"
	"heathershed/internal/upstream"
)

// Of is the reply of a call that has no answer of an upstream.
func Of(v contract.Verdict, r contract.Reason, detail string) *linkpb.CallReply {
	return &linkpb.CallReply{Verdict: uint32(v), Reason: uint32(r), Detail: detail}
}

// Refused is the reply of a call that has not run.
func Refused(r contract.Reason, detail string) *linkpb.CallReply {
	return Of(contract.NotRun, r, detail)
}

// RefusedFor is Refused with the wait after which the call may come again.
func RefusedFor(wait time.Duration, r contract.Reason, detail string) *linkpb.CallReply {
	reply := Refused(r, detail)
	reply.RetryAfterMs = Milliseconds(wait)
	return reply
}

// Milliseconds is a time as replies carry it; a negative one is 0.
func Milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

// AtUpstream is the reply of a call that was handed to the upstream. Of its
// answer's headers those are copied that pass.
func AtUpstream(out upstream.Outcome, answer *fasthttp.Response, pass func(name []byte) bool) *linkpb.CallReply {
	reply := Of(out.Verdict, out.Reason, out.Detail)
	reply.RetryAfterMs = Milliseconds(out.RetryAfter)
	if out.Verdict != contract.Ran {
		return reply
	}
	reply.Status = uint32(answer.StatusCode())
	reply.Headers = front.CopyHeadersIf(&answer.Header, pass)
	reply.Body = append([]byte(nil), answer.Body()...)
	return reply
}

// Ran reports whether a call has run and has an answer.
func Ran(reply *linkpb.CallReply) bool { return contract.Verdict(reply.Verdict) == contract.Ran }

// MayHaveRun reports whether it is unknown if a call has run.
func MayHaveRun(reply *linkpb.CallReply) bool {
	return contract.Verdict(reply.Verdict) == contract.MayHaveRun
}
