package outcome

import (
	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Attempts summarises the attempts of one call that returned no answer of
// an upstream.
type Attempts struct {
	// ReachedUpstream counts the attempts that reached or may have reached an
	// upstream, whether they ran or not.
	ReachedUpstream int
	// MayHaveRun is set if at least one attempt may have run.
	MayHaveRun bool
}

// Add records the reply of one more attempt.
func (a *Attempts) Add(reply *linkpb.CallReply) {
	if reachedUpstream(reply) {
		a.ReachedUpstream++
	}
	a.MayHaveRun = a.MayHaveRun || MayHaveRun(reply)
}

// MergeInto turns the reply of one attempt into that of the call and returns
// it: if any attempt may have run, so may the call.
func (a *Attempts) MergeInto(reply *linkpb.CallReply) *linkpb.CallReply {
	if a.MayHaveRun {
		reply.Verdict = uint32(contract.MayHaveRun)
	}
	return reply
}

// reachedUpstream reports whether an attempt reached or may have reached an
// upstream, whether it ran or not.
func reachedUpstream(reply *linkpb.CallReply) bool {
	if MayHaveRun(reply) {
		return true
	}
	switch contract.Reason(reply.Reason) {
	case contract.ReasonUpstreamRefused, contract.ReasonStaleTarget:
		return true
	}
	return false
}
