package outcome

import (
	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Attempts summarises those attempts of one call that ended without an answer of
// an upstream.
type Attempts struct {
	// ReachedUpstream counts the attempts that reached or may have reached an
	// upstream: those that may have run, that the upstream refused, or whose
	// target was stale.
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

// reachedUpstream reports whether an attempt without an answer reached or may
// have reached an upstream.
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
